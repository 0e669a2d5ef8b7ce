#ifndef YP_FRAMEWORK_GLOBAL_INCARNATION_H
#define YP_FRAMEWORK_GLOBAL_INCARNATION_H

#include "framework/global/clock.h"
#include "framework/global/errors.h"
#include "framework/global/random.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace yp {

/// Identity of one run of a daemon. A restarted process, also under the same address, has another one.
struct Incarnation
{
  std::chrono::milliseconds started{
    0
  };                      ///< wall-clock time of the start since the epoch; orders runs of one host
  std::uint64_t high = 0; ///< random
  std::uint64_t low = 0;  ///< random

  bool operator==(const Incarnation& aOther) const
  {
    return this->started == aOther.started && this->high == aOther.high && this->low == aOther.low;
  }
  bool operator!=(const Incarnation& aOther) const { return !(*this == aOther); }
  bool operator<(const Incarnation& aOther) const
  {
    if (this->started != aOther.started) {
      return this->started < aOther.started;
    }
    return this->high != aOther.high ? this->high < aOther.high : this->low < aOther.low;
  }
};

/// \return a new identity
Incarnation
MakeIncarnation(const IClock& aClock, IRandom& aRandom);

/// \return "<started ms, hex>-<32 hexadecimal digits>"
std::string
ToString(const Incarnation& aIncarnation);

/// Parses the form written by ToString.
Result<Incarnation>
ParseIncarnation(std::string_view aText);

} // namespace yp

#endif
