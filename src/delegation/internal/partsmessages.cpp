#include "delegation/delegation.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kRequestFields = 11;
constexpr std::size_t kReplyFields = 4;
constexpr CodecLimits kLimits{ 8 * 1024 * 1024, 8 };

Json
ToBinary(const std::string& aBytes)
{
  return Json::binary(Json::binary_t({ aBytes.begin(), aBytes.end() }));
}

std::string
FromBinary(const Json& aValue)
{
  const Json::binary_t& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

PartsRequest
RequestOf(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kRequestFields) {
    throw std::runtime_error("not a request for parts");
  }
  auto message = std::make_shared<ForwardedRequest>();
  message->id = aValue[0].get<std::string>();
  message->method = aValue[1].get<std::string>();
  message->target = aValue[2].get<std::string>();
  for (const Json& field : aValue[3]) {
    message->headers.push_back({ field.at(0).get<std::string>(), field.at(1).get<std::string>() });
  }
  message->body = FromBinary(aValue[4]);
  PartsRequest request;
  request.message = std::move(message);
  request.route = aValue[5].get<std::string>();
  request.shards = aValue[6].get<std::vector<std::string>>();
  request.attempts = aValue[7].get<std::uint32_t>();
  request.topRecords = aValue[8].get<std::size_t>();
  request.objective = std::chrono::milliseconds(aValue[9].get<std::int64_t>());
  request.patience = std::chrono::milliseconds(aValue[10].get<std::int64_t>());
  return request;
}

PartsReply
ReplyOf(const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != kReplyFields) {
    throw std::runtime_error("not a reply for parts");
  }
  PartsReply reply;
  reply.shards = aValue[0].get<std::vector<std::string>>();
  reply.signatures = aValue[1].get<std::vector<std::string>>();
  for (const Json& missing : aValue[2]) {
    reply.missing.push_back(
      { missing.at(0).get<std::string>(), missing.at(1).get<std::vector<std::string>>() });
  }
  reply.records = FromBinary(aValue[3]);
  if (reply.shards.size() != reply.signatures.size()) {
    throw std::runtime_error("shards and signatures differ in number");
  }
  return reply;
}

template<class T>
Result<T>
Decode(std::string_view aBytes, T (*aConvert)(const Json&))
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  try {
    return aConvert(value);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kBadInput, "delegation.decode", "", error.what());
  }
}

} // namespace

std::string
EncodePartsRequest(const PartsRequest& aRequest)
{
  const ForwardedRequest& message = *aRequest.message;
  Json headers = Json::array();
  for (const HttpHeader& header : message.headers) {
    headers.push_back(Json::array({ header.name, header.value }));
  }
  return EncodeCbor(Json::array({ message.id,
                                  message.method,
                                  message.target,
                                  std::move(headers),
                                  ToBinary(message.body),
                                  aRequest.route,
                                  aRequest.shards,
                                  aRequest.attempts,
                                  aRequest.topRecords,
                                  aRequest.objective.count(),
                                  aRequest.patience.count() }));
}

Result<PartsRequest>
DecodePartsRequest(std::string_view aBytes)
{
  return Decode<PartsRequest>(aBytes, RequestOf);
}

std::string
EncodePartsReply(const PartsReply& aReply)
{
  Json missing = Json::array();
  for (const MissingPart& part : aReply.missing) {
    missing.push_back(Json::array({ part.shard, part.triedLeafs }));
  }
  return EncodeCbor(
    Json::array({ aReply.shards, aReply.signatures, std::move(missing), ToBinary(aReply.records) }));
}

Result<PartsReply>
DecodePartsReply(std::string_view aBytes)
{
  return Decode<PartsReply>(aBytes, ReplyOf);
}

} // namespace yp
