#include "rpc/internal/callmessages.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr CodecLimits kLimits{ 2 * 1024 * 1024, 4 };

Json
ToBinary(const std::string& aBytes)
{
  return Json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
ToBytes(const Json& aValue)
{
  const auto& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

leaf::error_id
FailMalformed(const char* aStep)
{
  return Fail(ErrorCode::kBadInput, aStep, "", "missing field or wrong type");
}

} // namespace

std::string
Encode(const CallMessage& aMessage)
{
  return EncodeCbor({ { "id", aMessage.id }, { "m", aMessage.method }, { "p", ToBinary(aMessage.payload) } });
}

std::string
Encode(const ReplyMessage& aMessage)
{
  return EncodeCbor({ { "id", aMessage.id }, { "s", aMessage.served }, { "p", ToBinary(aMessage.payload) } });
}

Result<CallMessage>
DecodeCall(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  const bool wellFormed = value.is_object() && value.contains("id") && value["id"].is_number_unsigned() &&
                          value.contains("m") && value["m"].is_string() && value.contains("p") &&
                          value["p"].is_binary();
  if (!wellFormed) {
    return FailMalformed("rpc.decode_call");
  }
  return CallMessage{ value["id"].get<std::uint64_t>(), value["m"].get<std::string>(), ToBytes(value["p"]) };
}

Result<ReplyMessage>
DecodeReply(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  const bool wellFormed = value.is_object() && value.contains("id") && value["id"].is_number_unsigned() &&
                          value.contains("s") && value["s"].is_boolean() && value.contains("p") &&
                          value["p"].is_binary();
  if (!wellFormed) {
    return FailMalformed("rpc.decode_reply");
  }
  return ReplyMessage{ value["id"].get<std::uint64_t>(), value["s"].get<bool>(), ToBytes(value["p"]) };
}

} // namespace yp
