#ifndef YP_GOSSIP_INTERNAL_GOSSIPMESSAGES_H
#define YP_GOSSIP_INTERNAL_GOSSIPMESSAGES_H

#include "gossip/gossiptypes.h"

namespace yp {

enum class GossipKind : std::uint8_t
{
  kProbe,  ///< asks for an acknowledgement
  kAck,    ///< answers a probe
  kAsk,    ///< asks for the records that differ
  kRecords ///< some records, without an answer
};

/// A datagram between nodes, in CBOR.
struct GossipMessage
{
  GossipKind kind = GossipKind::kProbe;
  std::uint64_t number = 0;               ///< of a probe; repeated in its acknowledgement
  std::uint64_t hash = 0;                 ///< of the sender's table
  std::uint64_t feedRevision = 0;         ///< what the sender knows of the published changes
  std::chrono::milliseconds feedAge{ 0 }; ///< since that was confirmed
  PeerRecord sender;
  std::vector<PeerRecord> records;
  std::vector<std::uint64_t> bucketHashes; ///< of the sender's table, when it asks for what differs
};

std::string
EncodeGossip(const GossipMessage& aMessage);

/// \return the message; kBadInput when it is malformed
Result<GossipMessage>
DecodeGossip(std::string_view aBytes);

} // namespace yp

#endif
