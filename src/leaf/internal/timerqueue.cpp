#include "leaf/internal/timerqueue.h"

namespace yp {

TimerQueue::TimerQueue(boost::asio::io_context& aContext, const IClock& aClock)
  : clock(aClock)
  , timer(aContext)
{
}

void
TimerQueue::Set(TimerEntry& aEntry, TimePoint aWhen)
{
  aEntry.ClearTimer();
  aEntry.when = aWhen;
  this->entries.insert(aEntry);
  this->Arm();
}

void
TimerQueue::Stop()
{
  this->stopped = true;
  this->timer.cancel();
}

void
TimerQueue::Arm()
{
  // The system timer is not rearmed when an entry is cancelled: one early expiry costs less than rearming.
  if (this->stopped || this->entries.empty() || this->entries.begin()->when >= this->armed) {
    return;
  }
  this->armed = this->entries.begin()->when;
  this->timer.expires_at(this->armed);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Run();
    }
  });
}

void
TimerQueue::Run()
{
  const TimePoint now = this->clock.Now();
  while (!this->entries.empty() && this->entries.begin()->when <= now) {
    TimerEntry& entry = *this->entries.begin();
    entry.ClearTimer();
    entry.OnTimer();
  }
  this->armed = TimePoint::max();
  this->Arm();
}

} // namespace yp
