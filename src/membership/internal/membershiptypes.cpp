#include "membership/membershiptypes.h"
#include <algorithm>

namespace yp {

const char*
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kReady:
      return "ready";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "unknown";
}

const MemberStatus*
MemberView::Find(const std::string& aHost) const
{
  const auto found = std::lower_bound(
    this->members.begin(),
    this->members.end(),
    aHost,
    [](const MemberStatus& aStatus, const std::string& aName) { return aStatus.record.host < aName; });
  return found != this->members.end() && found->record.host == aHost ? &*found : nullptr;
}

} // namespace yp
