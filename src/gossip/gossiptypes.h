#ifndef YP_GOSSIP_GOSSIPTYPES_H
#define YP_GOSSIP_GOSSIPTYPES_H

#include "framework/global/global.h"
#include <string>
#include <vector>

namespace yp {

/// What a node says of itself, or others of it when it does not answer.
enum class PeerState : std::uint8_t
{
  kJoining, ///< does not serve yet
  kReady,   ///< serves callers
  kLeaving, ///< finishes what is in progress
  kDown     ///< does not answer its peers
};

/// \return the lower-case name used in logs
const char*
ToString(PeerState aState);

/// One node of the fleet. A higher start replaces a record, then a higher sequence, then a higher state.
struct PeerRecord
{
  std::string host;
  Endpoint peerEndpoint;   ///< datagrams from other nodes
  Endpoint callerEndpoint; ///< connections from callers
  std::string failureDomain;
  std::string region;
  std::uint32_t capacity = 1; ///< processor share in thousandths of a core
  std::uint64_t started = 0;  ///< orders the runs of a host
  std::uint64_t sequence = 0; ///< raised by the node itself with each change
  PeerState state = PeerState::kJoining;
  bool sourceUnreachable = false; ///< it reads the source of changes, but cannot reach it
  bool suspected = false;         ///< it did not answer this node\'s last probe; not passed on

  /// \return whether this record replaces another of the same host
  bool Replaces(const PeerRecord& aOther) const;
};

/// How far a node knows what is published. Sent with each message, but not passed on by others.
struct FeedPosition
{
  std::uint64_t revision = 0;
  TimePoint confirmed; ///< when a reader last heard that nothing newer is there
};

/// Settings of a node's gossip.
struct GossipOptions
{
  std::vector<Endpoint> seeds;                             ///< nodes that may know others; may be stale
  Duration interval = std::chrono::milliseconds(400);      ///< between two probes of this node
  Duration answerTimeout = std::chrono::milliseconds(150); ///< of a probe; nodes are a few ms apart
  std::uint32_t probesToDown = 2;                          ///< unanswered probes in a row
  std::size_t piggybackedRecords = 6;                      ///< records a message carries besides the own
};

} // namespace yp

#endif
