#ifndef YP_FRAMEWORK_GLOBAL_INVARIANT_H
#define YP_FRAMEWORK_GLOBAL_INVARIANT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace yp {

/// Records a broken invariant: counts it, logs it, and ends the process in builds with YP_FATAL_INVARIANTS.
void
InvariantBroken(std::string_view aName, const std::string& aDetail);

/// \return number of broken invariants in this process
std::uint64_t
BrokenInvariants();

} // namespace yp

/// Checks a promise at the place where it could break. The detail is only evaluated on failure.
#define YP_INVARIANT(aCondition, aName, aDetail)                                                             \
  do {                                                                                                       \
    if (!(aCondition)) {                                                                                     \
      ::yp::InvariantBroken(aName, aDetail);                                                                 \
    }                                                                                                        \
  } while (false)

#endif
