#include "framework/global/signals.h"
#include "framework/global/log.h"
#include <csignal>
#include <system_error>

namespace yp {

namespace {

void
ChangeMask(int aHow, int aSignal)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, aSignal);
  const int failure = pthread_sigmask(aHow, &signals, nullptr);
  if (failure != 0) {
    LogEvent(LogLevel::kWarning,
             "signal_mask_failed",
             { { "signal", aSignal }, { "reason", std::generic_category().message(failure) } });
  }
}

} // namespace

void
HoldSignal(int aSignal)
{
  ChangeMask(SIG_BLOCK, aSignal);
}

void
ReleaseSignal(int aSignal)
{
  ChangeMask(SIG_UNBLOCK, aSignal);
}

} // namespace yp
