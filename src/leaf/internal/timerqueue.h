#ifndef YP_LEAF_INTERNAL_TIMERQUEUE_H
#define YP_LEAF_INTERNAL_TIMERQUEUE_H

#include "framework/global/global.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/set.hpp>

namespace yp {

using TimerHook = boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Base class of objects with one timer. Destruction cancels the timer.
class TimerEntry : public TimerHook
{
public:
  TimerEntry() = default;
  virtual ~TimerEntry() = default;
  TimerEntry(const TimerEntry&) = delete;
  TimerEntry& operator=(const TimerEntry&) = delete;

  /// Called once, at or after the time that was set.
  virtual void OnTimer() = 0;

  /// Cancels the timer if it is set.
  void ClearTimer()
  {
    if (this->is_linked()) {
      this->unlink();
    }
  }

  bool operator<(const TimerEntry& aOther) const { return this->when < aOther.when; }

private:
  friend class TimerQueue;
  TimePoint when;
};

/// Multiplexes the timers of one thread onto a single system timer, without an allocation per timer.
class TimerQueue
{
public:
  TimerQueue(boost::asio::io_context& aContext, const IClock& aClock);

  /// Sets the timer of an entry, or moves it if it is already set.
  void Set(TimerEntry& aEntry, TimePoint aWhen);

  /// Cancels the system timer; no entry fires afterwards.
  void Stop();

private:
  void Arm();
  void Run();

  const IClock& clock;
  boost::asio::steady_timer timer;
  TimePoint armed = TimePoint::max();
  bool stopped = false;
  boost::intrusive::multiset<TimerEntry, boost::intrusive::constant_time_size<false>> entries;
};

} // namespace yp

#endif
