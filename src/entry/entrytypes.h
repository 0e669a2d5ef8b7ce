#ifndef YP_ENTRY_ENTRYTYPES_H
#define YP_ENTRY_ENTRYTYPES_H

#include "framework/global/global.h"
#include <atomic>
#include <chrono>

namespace yp {

/// Whether this node serves callers. Written by the control thread, read by the request threads.
class ServingState
{
public:
  /// The control thread ticks ten times a second; a longer gap means that the process was paused, and what it
  /// knew before may be outdated.
  static constexpr std::chrono::milliseconds kMaxTickAge{ 1000 };

  explicit ServingState(const IClock& aClock)
    : clock(aClock)
  {
  }

  /// Notes a tick of the control thread.
  void Tick(bool aReady)
  {
    this->ready.store(aReady, std::memory_order_relaxed);
    this->lastTick.store(this->clock.Now().time_since_epoch().count(), std::memory_order_release);
  }

  /// \return whether requests may be served now
  bool Serving() const
  {
    const TimePoint last{ TimePoint::duration(this->lastTick.load(std::memory_order_acquire)) };
    return this->ready.load(std::memory_order_relaxed) && this->clock.Now() - last <= kMaxTickAge;
  }

private:
  const IClock& clock;
  std::atomic<bool> ready{ false };
  std::atomic<TimePoint::rep> lastTick{ 0 };
};

/// Counts of requests by how they were treated, over all request threads.
struct EntryStats
{
  std::atomic<std::uint64_t> lookups{ 0 };
  std::atomic<std::uint64_t> executes{ 0 };
  std::atomic<std::uint64_t> forwarded{ 0 };
  std::atomic<std::uint64_t> servedForOthers{ 0 };
  std::atomic<std::uint64_t> badRequests{ 0 };
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> notRun{ 0 };
  std::atomic<std::uint64_t> unknown{ 0 };
  std::atomic<std::uint64_t> addressAnswers{ 0 };
};

} // namespace yp

#endif
