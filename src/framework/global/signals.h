#ifndef YP_FRAMEWORK_GLOBAL_SIGNALS_H
#define YP_FRAMEWORK_GLOBAL_SIGNALS_H

namespace yp {

/// Holds a signal back from this thread and those that it starts later. It stays pending, so that a signal
/// which comes before its handler is there neither ends the process nor is lost.
void
HoldSignal(int aSignal);

/// Lets a signal through that was held back; called once its handler is there.
void
ReleaseSignal(int aSignal);

} // namespace yp

#endif
