#include "framework/global/invariant.h"
#include "framework/global/log.h"
#include <atomic>
#include <cstdlib>

namespace yp {

namespace {

std::atomic<std::uint64_t> gBrokenInvariants{ 0 };

} // namespace

void
InvariantBroken(std::string_view aName, const std::string& aDetail)
{
  gBrokenInvariants.fetch_add(1);
  LogEvent(LogLevel::kError, "invariant_broken", { { "invariant", aName }, { "detail", aDetail } });
#ifdef YP_FATAL_INVARIANTS
  std::abort();
#endif
}

std::uint64_t
BrokenInvariants()
{
  return gBrokenInvariants.load();
}

} // namespace yp
