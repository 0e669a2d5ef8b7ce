#ifndef YP_GOSSIP_INTERNAL_GOSSIPMESSAGES_H
#define YP_GOSSIP_INTERNAL_GOSSIPMESSAGES_H

#include "gossip/gossiptypes.h"

namespace yp {

/// Kinds of messages. The values are sent on the wire.
enum class GossipKind : std::uint8_t
{
  kProbe,       ///< requests an acknowledgement
  kAck,         ///< acknowledges a probe
  kSyncRequest, ///< requests the records in which the tables differ
  kRecords      ///< sends records; not answered
};

/// A datagram between nodes, encoded in CBOR.
struct GossipMessage
{
  GossipKind kind = GossipKind::kProbe;
  std::uint64_t number = 0;               ///< number of a probe; its acknowledgement carries the same number
  std::uint64_t hash = 0;                 ///< hash of the sender's table
  std::uint64_t feedRevision = 0;         ///< revision of the change feed that the sender knows
  std::chrono::milliseconds feedAge{ 0 }; ///< time since feedRevision was confirmed as current
  PeerRecord sender;
  std::vector<PeerRecord> records;
  std::vector<std::uint64_t> bucketHashes; ///< hashes of the sender's table by bucket
};

std::string
EncodeGossip(const GossipMessage& aMessage);

/// \return the message; kBadInput when it is malformed
Result<GossipMessage>
DecodeGossip(std::string_view aBytes);

} // namespace yp

#endif
