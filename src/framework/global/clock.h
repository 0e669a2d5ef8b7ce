#ifndef YP_FRAMEWORK_GLOBAL_CLOCK_H
#define YP_FRAMEWORK_GLOBAL_CLOCK_H

#include <atomic>
#include <chrono>

namespace yp {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time for all decisions, so that tests can control it.
class IClock
{
public:
  virtual ~IClock() = default;

  /// \return monotonic time of this process; never goes back
  virtual TimePoint Now() const = 0;

  /// \return wall-clock time, for logs and audit records only
  virtual WallTime Wall() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public IClock
{
public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTime Wall() const override { return std::chrono::system_clock::now(); }
};

/// A clock that only moves when told to, for tests.
class ManualClock final : public IClock
{
public:
  TimePoint Now() const override { return TimePoint(std::chrono::nanoseconds(this->elapsed.load())); }
  WallTime Wall() const override
  {
    return WallTime(
      std::chrono::duration_cast<WallTime::duration>(std::chrono::nanoseconds(this->elapsed.load())));
  }

  /// Moves the clock forward.
  void Advance(Duration aStep) { this->elapsed += aStep.count(); }

private:
  std::atomic<std::int64_t> elapsed{ std::chrono::nanoseconds(std::chrono::hours(1)).count() };
};

} // namespace yp

#endif
