#include "gossip/internal/gossipmessages.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kRecordFields = 11;
constexpr std::size_t kMessageFields = 8;

Json
ToJson(const PeerRecord& aRecord)
{
  return Json::array({ aRecord.host,
                       aRecord.peerEndpoint.address,
                       aRecord.peerEndpoint.port,
                       aRecord.callerEndpoint.port,
                       aRecord.failureDomain,
                       aRecord.region,
                       aRecord.capacity,
                       aRecord.started,
                       aRecord.sequence,
                       static_cast<std::uint8_t>(aRecord.state),
                       aRecord.sourceUnreachable });
}

PeerRecord
RecordOf(const Json& aValue)
{
  PeerRecord record;
  if (!aValue.is_array() || aValue.size() != kRecordFields) {
    throw std::runtime_error("a record has another number of fields");
  }
  record.host = aValue[0].get<std::string>();
  record.peerEndpoint = Endpoint{ aValue[1].get<std::string>(), aValue[2].get<std::uint16_t>() };
  // Callers and peers reach a node under the same address.
  record.callerEndpoint = Endpoint{ record.peerEndpoint.address, aValue[3].get<std::uint16_t>() };
  record.failureDomain = aValue[4].get<std::string>();
  record.region = aValue[5].get<std::string>();
  record.capacity = aValue[6].get<std::uint32_t>();
  record.started = aValue[7].get<std::uint64_t>();
  record.sequence = aValue[8].get<std::uint64_t>();
  const auto state = aValue[9].get<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(PeerState::kDown)) {
    throw std::runtime_error("unknown state");
  }
  record.state = static_cast<PeerState>(state);
  record.sourceUnreachable = aValue[10].get<bool>();
  return record;
}

GossipMessage
MessageOf(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kMessageFields || !aValue[6].is_array()) {
    throw std::runtime_error("not a message");
  }
  GossipMessage message;
  const auto kind = aValue[0].get<std::uint8_t>();
  if (kind > static_cast<std::uint8_t>(GossipKind::kRecords)) {
    throw std::runtime_error("unknown kind");
  }
  message.kind = static_cast<GossipKind>(kind);
  message.number = aValue[1].get<std::uint64_t>();
  message.hash = aValue[2].get<std::uint64_t>();
  message.feedRevision = aValue[3].get<std::uint64_t>();
  message.feedAge = std::chrono::milliseconds(aValue[4].get<std::int64_t>());
  message.sender = RecordOf(aValue[5]);
  for (const Json& record : aValue[6]) {
    message.records.push_back(RecordOf(record));
  }
  message.bucketHashes = aValue[7].get<std::vector<std::uint64_t>>();
  return message;
}

} // namespace

std::string
EncodeGossip(const GossipMessage& aMessage)
{
  Json records = Json::array();
  for (const PeerRecord& record : aMessage.records) {
    records.push_back(ToJson(record));
  }
  return EncodeCbor(Json::array({ static_cast<std::uint8_t>(aMessage.kind),
                                  aMessage.number,
                                  aMessage.hash,
                                  aMessage.feedRevision,
                                  aMessage.feedAge.count(),
                                  ToJson(aMessage.sender),
                                  std::move(records),
                                  aMessage.bucketHashes }));
}

Result<GossipMessage>
DecodeGossip(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes));
  try {
    return MessageOf(value);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kBadInput, "gossip.decode", "", error.what());
  }
}

} // namespace yp
