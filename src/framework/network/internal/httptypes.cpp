#include "framework/network/httptypes.h"
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kTargetStep = "http.target";

Result<std::string>
DecodeEscapes(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '+') {
      decoded += ' ';
      continue;
    }
    if (aText[index] != '%') {
      decoded += aText[index];
      continue;
    }
    unsigned char value = 0;
    const char* first = aText.data() + index + 1;
    if (index + 2 >= aText.size() || std::from_chars(first, first + 2, value, 16).ptr != first + 2) {
      return Fail(ErrorCode::kBadInput, kTargetStep, "", "broken percent escape in the query");
    }
    decoded += static_cast<char>(value);
    index += 2;
  }
  return decoded;
}

Result<void>
AddParameter(HttpTarget& aTarget, std::string_view aPair)
{
  const std::size_t equals = aPair.find('=');
  BOOST_LEAF_AUTO(name, DecodeEscapes(aPair.substr(0, equals)));
  BOOST_LEAF_AUTO(value, DecodeEscapes(equals == std::string_view::npos ? "" : aPair.substr(equals + 1)));
  if (!aTarget.parameters.emplace(name, value).second) {
    return Fail(ErrorCode::kBadInput, kTargetStep, "", "parameter given twice: " + name);
  }
  return {};
}

} // namespace

const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::beast::iequals({ header.name.data(), header.name.size() }, { aName.data(), aName.size() })) {
      return &header.value;
    }
  }
  return nullptr;
}

bool
IsResponseStatus(unsigned aStatus)
{
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kLast = 599;
  return aStatus >= kFirst && aStatus <= kLast && aStatus != kSwitchingProtocols;
}

HttpResponse
JsonResponse(unsigned aStatus, const Json& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.push_back({ "Content-Type", "application/json" });
  // Text from outside may hold invalid UTF-8, which a strict dump refuses by an exception.
  response.body = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

Result<HttpTarget>
ParseTarget(std::string_view aTarget)
{
  HttpTarget target;
  const std::size_t mark = aTarget.find('?');
  target.path = std::string(aTarget.substr(0, mark));
  if (mark == std::string_view::npos) {
    return target;
  }
  std::string_view rest = aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    if (end != 0) {
      BOOST_LEAF_CHECK(AddParameter(target, rest.substr(0, end)));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return target;
}

} // namespace yp
