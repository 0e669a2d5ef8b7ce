#ifndef YP_MEMBERSHIP_MEMBERSHIPTYPES_H
#define YP_MEMBERSHIP_MEMBERSHIPTYPES_H

#include "framework/global/global.h"
#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// What a node says of itself.
enum class MemberState
{
  kJoining, ///< started, not yet serving
  kReady,   ///< serving
  kLeaving, ///< finishes what is in flight; gets nothing new
  kGone     ///< stopped
};

/// \return the lower-case name of a state
const char*
ToString(MemberState aState);

/// Identity, place and state of one node.
struct MemberRecord
{
  std::string host;
  std::string failureDomain;
  std::string region;
  Endpoint peerEndpoint;
  Endpoint callerEndpoint;
  Endpoint adminEndpoint;
  Incarnation incarnation;    ///< zero when only the host list names the host
  std::uint64_t sequence = 0; ///< raised by the node itself with each change within an incarnation
  MemberState state = MemberState::kJoining;
};

/// A member as seen from this node.
struct MemberStatus
{
  MemberRecord record;
  bool unreachable = false;   ///< not to be handed to callers
  bool placed = true;         ///< counts for placement
  bool listedLeaving = false; ///< the host list says that the host is leaving
};

/// This node's view of the fleet. Immutable; published on the blackboard.
struct MemberView : RefCounted<MemberView>
{
  std::vector<MemberStatus> members;       ///< sorted by host; includes this node
  std::string self;                        ///< host of this node
  TimePoint stableSince;                   ///< since when the set of placed hosts is unchanged
  std::vector<std::string> leavingServers; ///< backend servers that the host list says are leaving; sorted

  /// \return the member of a host, or null
  const MemberStatus* Find(const std::string& aHost) const;
};

/// A row of the host list.
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

/// A reading of the host list.
struct HostListing
{
  std::uint64_t version = 0; ///< grows with each change of the list
  std::vector<ListedHost> hosts;
  std::vector<std::string> leavingServers; ///< backend servers
};

} // namespace yp

#endif
