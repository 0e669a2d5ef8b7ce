#include "framework/global/incarnation.h"
#include <charconv>
#include <cstdio>

namespace yp {

namespace {

constexpr std::size_t kHexDigits = 16;

bool
ParseHex(std::string_view aText, std::uint64_t& aValue)
{
  if (aText.empty() || aText.size() > kHexDigits) {
    return false;
  }
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), aValue, 16);
  return parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
}

} // namespace

Incarnation
MakeIncarnation(const IClock& aClock, IRandom& aRandom)
{
  const auto started =
    std::chrono::duration_cast<std::chrono::milliseconds>(aClock.Wall().time_since_epoch());
  return Incarnation{ started, aRandom.Next(), aRandom.Next() };
}

std::string
ToString(const Incarnation& aIncarnation)
{
  char text[64];
  std::snprintf(text,
                sizeof text,
                "%llx-%016llx%016llx",
                static_cast<unsigned long long>(aIncarnation.started.count()),
                static_cast<unsigned long long>(aIncarnation.high),
                static_cast<unsigned long long>(aIncarnation.low));
  return text;
}

Result<Incarnation>
ParseIncarnation(std::string_view aText)
{
  const std::size_t dash = aText.find('-');
  std::uint64_t started = 0;
  Incarnation incarnation;
  const bool valid = dash != std::string_view::npos && aText.size() == dash + 1 + 2 * kHexDigits &&
                     ParseHex(aText.substr(0, dash), started) && started <= INT64_MAX &&
                     ParseHex(aText.substr(dash + 1, kHexDigits), incarnation.high) &&
                     ParseHex(aText.substr(dash + 1 + kHexDigits), incarnation.low);
  if (!valid) {
    return Fail(ErrorCode::kBadInput,
                "incarnation.parse",
                "",
                "not an incarnation: " + std::string(aText.substr(0, 80)));
  }
  incarnation.started = std::chrono::milliseconds(static_cast<std::int64_t>(started));
  return incarnation;
}

} // namespace yp
