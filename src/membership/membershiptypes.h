#ifndef YP_MEMBERSHIP_MEMBERSHIPTYPES_H
#define YP_MEMBERSHIP_MEMBERSHIPTYPES_H

#include "framework/global/global.h"
#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// State that a node announces for itself.
enum class MemberState
{
  kJoining, ///< started, not yet serving
  kReady,   ///< serving
  kLeaving, ///< finishes requests in flight; receives no new ones
  kGone     ///< stopped
};

/// \return the lower-case name of a state
const char*
ToString(MemberState aState);

/// Identity, location, endpoints and state of one node.
struct MemberRecord
{
  std::string host;
  std::string failureDomain;
  std::string region;
  Endpoint peerEndpoint;
  Endpoint callerEndpoint;
  Endpoint adminEndpoint;
  Incarnation incarnation;    ///< zero if the node is known from the host list only
  std::uint64_t sequence = 0; ///< raised by the node with each change within an incarnation
  MemberState state = MemberState::kJoining;
};

/// A member as seen from this node.
struct MemberStatus
{
  MemberRecord record;
  bool unreachable = false;   ///< must not be returned to callers
  bool placed = true;         ///< takes part in placement
  bool listedLeaving = false; ///< the host list marks the host as leaving
};

/// This node's view of the fleet. Immutable; published on the blackboard.
struct MemberView : RefCounted<MemberView>
{
  std::vector<MemberStatus> members;       ///< sorted by host; includes this node
  std::string self;                        ///< host of this node
  TimePoint stableSince;                   ///< time of the last change to the set of hosts in placement
  std::vector<std::string> leavingServers; ///< backend servers that the host list marks as leaving; sorted

  /// \return the member of a host, or null
  const MemberStatus* Find(const std::string& aHost) const;
};

/// Entry of the host list.
struct ListedHost
{
  std::string host;
  std::string failureDomain;
  std::string region;
  Endpoint peerEndpoint;
  Endpoint callerEndpoint;
  Endpoint adminEndpoint;
  bool leaving = false;
};

/// One version of the host list.
struct HostListing
{
  std::uint64_t version = 0; ///< increases with each change of the list
  std::vector<ListedHost> hosts;
  std::vector<std::string> leavingServers; ///< backend servers that are leaving
};

} // namespace yp

#endif
