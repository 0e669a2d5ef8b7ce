#ifndef YP_GOSSIP_GOSSIPTYPES_H
#define YP_GOSSIP_GOSSIPTYPES_H

#include "framework/global/global.h"
#include <string>
#include <vector>

namespace yp {

/// State of a node. A node reports its own state, except kDown, which its peers set when it does not answer.
enum class PeerState : std::uint8_t
{
  kJoining, ///< does not serve callers yet
  kReady,   ///< serves callers
  kLeaving, ///< finishes the requests in progress
  kDown     ///< does not answer probes
};

/// \return the lower-case name used in logs
const char*
ToString(PeerState aState);

/// Record of one node of the fleet. Of two records of a host the one with the higher started, then the higher
/// sequence, then the higher state is valid.
struct PeerRecord
{
  std::string host;
  Endpoint peerEndpoint;   ///< receives datagrams and change requests of other nodes
  Endpoint callerEndpoint; ///< accepts connections from callers
  std::string failureDomain;
  std::string region;
  std::uint32_t capacity = 1; ///< processor share in thousandths of a core
  std::uint64_t started = 0;  ///< orders the process runs of a host
  std::uint64_t sequence = 0; ///< incremented by the node with each change of its own record
  PeerState state = PeerState::kJoining;
  bool sourceUnreachable = false; ///< the node tries to read the source of changes, but cannot reach it
  bool suspected = false;         ///< did not answer this node's last probe; not sent to peers

  /// \return whether this record replaces another of the same host
  bool Replaces(const PeerRecord& aOther) const;
};

/// A node's position in the change feed. Sent with each of the node's messages and not forwarded by peers.
struct FeedPosition
{
  std::uint64_t revision = 0;
  TimePoint confirmed; ///< when a reader of the source last verified that the revision is current
};

/// Settings of the gossip protocol.
struct GossipOptions
{
  std::vector<Endpoint> seeds;                             ///< peers to contact at start; may be outdated
  Duration interval = std::chrono::milliseconds(400);      ///< usual time between probes of this node
  Duration answerTimeout = std::chrono::milliseconds(150); ///< of a probe; latency between nodes is a few ms
  std::uint32_t probesToDown = 2;     ///< unanswered probes in a row that mark a node down
  std::size_t piggybackedRecords = 6; ///< limit of changed records in a probe or its ack
};

} // namespace yp

#endif
