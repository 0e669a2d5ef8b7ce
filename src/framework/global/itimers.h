#ifndef YP_FRAMEWORK_GLOBAL_ITIMERS_H
#define YP_FRAMEWORK_GLOBAL_ITIMERS_H

#include "framework/global/clock.h"
#include <cstdint>
#include <functional>

namespace yp {

using TimerId = std::uint64_t;

/// Timers and deferred calls of one thread.
class ITimers
{
public:
  virtual ~ITimers() = default;

  /// Calls a function once at or after a time, on this object's thread, never from within the call.
  /// \return id for Cancel; never 0
  virtual TimerId At(TimePoint aWhen, std::function<void()> aFunction) = 0;

  /// Cancels a timer; does nothing when it has fired or was cancelled.
  virtual void Cancel(TimerId aTimer) = 0;
};

} // namespace yp

#endif
