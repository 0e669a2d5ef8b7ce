#include "framecodec.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kMaxTypeBytes = 64;
/// The map and its two values; the payload is a byte string here and is not descended into.
constexpr std::size_t kMaxDepth = 2;

leaf::error_id
FailFrame(std::string aDetail)
{
  return Fail(ErrorCode::kBadInput, "peer.frame", "", std::move(aDetail));
}

} // namespace

std::string
EncodeFrame(const PeerFrame& aFrame)
{
  const std::vector<std::uint8_t> payload(aFrame.payload.begin(), aFrame.payload.end());
  return EncodeCbor(Json{ { "t", aFrame.type }, { "p", Json::binary(payload) } });
}

Result<PeerFrame>
DecodeFrame(std::string_view aBytes, std::size_t aMaxBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, CodecLimits{ aMaxBytes, kMaxDepth }));
  if (!value.is_object() || value.size() != 2) {
    return FailFrame("not a map of type and payload");
  }
  const auto type = value.find("t");
  const auto payload = value.find("p");
  if (type == value.end() || !type->is_string() || payload == value.end() || !payload->is_binary()) {
    return FailFrame("type or payload is missing or of the wrong kind");
  }
  PeerFrame frame;
  frame.type = type->get<std::string>();
  if (frame.type.empty() || frame.type.size() > kMaxTypeBytes) {
    return FailFrame("the type is empty or too long");
  }
  const Json::binary_t& bytes = payload->get_binary();
  frame.payload.assign(bytes.begin(), bytes.end());
  return frame;
}

} // namespace yp
