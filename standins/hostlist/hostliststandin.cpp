#include "hostlist/hostliststandin.h"
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr CodecLimits kListLimits{ 16 * 1024 * 1024, 16 };
constexpr std::uint64_t kMaxLagMs = 3600 * 1000;

HttpResponse
TextResponse(const std::string& aText)
{
  HttpResponse response;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = aText;
  return response;
}

} // namespace

HostListStandin::HostListStandin(std::chrono::milliseconds aLag)
  : lag(aLag)
  , versions{ Version{ 0, TimePoint(), R"({"version": 0, "hosts": [], "servers": []})" } }
{
}

Result<std::uint64_t>
HostListStandin::SetList(std::string_view aBody)
{
  BOOST_LEAF_AUTO(list, ParseJson(aBody, kListLimits));
  if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array()) {
    return Fail(ErrorCode::kBadInput, "hosts.set", "", "expected {\"hosts\": [...], \"servers\": [...]}");
  }
  if (!list.contains("servers")) {
    list["servers"] = Json::array();
  }
  const bool first = this->lastNumber == 0;
  list["version"] = ++this->lastNumber;
  const TimePoint now = std::chrono::steady_clock::now();
  this->versions.push_back(Version{ this->lastNumber, first ? now : now + this->lag, list.dump() });
  LogEvent(LogLevel::kInfo, "hosts", { { "version", this->lastNumber }, { "hosts", list["hosts"].size() } });
  return this->lastNumber;
}

Result<void>
HostListStandin::LoadFile(const std::string& aPath)
{
  std::ifstream input(aPath, std::ios::binary);
  if (!input) {
    return Fail(ErrorCode::kBadInput, "hosts.load", "", aPath + ": cannot be read");
  }
  const std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
  BOOST_LEAF_CHECK(this->SetList(text));
  return {};
}

void
HostListStandin::Handle(HttpRequest aRequest, HttpRespond aRespond)
{
  const std::string route = aRequest.method + " " + aRequest.target;
  if (route == "GET /v1/hosts") {
    ++this->reads;
    const bool down = this->mode == StandinMode::kDown;
    aRespond(down ? JsonResponse(503, Json{ { "error", "down" } }) : TextResponse(this->Visible().text));
  } else if (route == "POST /admin/hosts") {
    aRespond(this->ChangeList(aRequest.body));
  } else if (route == "POST /admin/mode") {
    aRespond(this->ChangeMode(aRequest.body));
  } else if (route == "POST /admin/lag") {
    aRespond(this->ChangeLag(aRequest.body));
  } else if (route == "GET /admin/stats") {
    aRespond(this->Stats());
  } else {
    aRespond(JsonResponse(404, Json{ { "error", "no such resource" } }));
  }
}

const HostListStandin::Version&
HostListStandin::Visible()
{
  const TimePoint now = std::chrono::steady_clock::now();
  while (this->mode != StandinMode::kStale && this->versions.size() > 1 &&
         this->versions[1].visibleFrom <= now) {
    this->versions.pop_front();
  }
  return this->versions.front();
}

HttpResponse
HostListStandin::ChangeList(const std::string& aBody)
{
  return Recover(
    [&]() -> Result<HttpResponse> {
      BOOST_LEAF_AUTO(version, this->SetList(aBody));
      return JsonResponse(200, Json{ { "version", version } });
    },
    [](const Error& aError) { return BadRequest(aError.detail); });
}

HttpResponse
HostListStandin::ChangeMode(const std::string& aBody)
{
  const Result<Json> parsed = ParseJson(aBody);
  if (!parsed || !parsed->is_object() || !parsed->contains("mode") || !parsed->at("mode").is_string()) {
    return BadRequest("expected {\"mode\": \"up\" | \"down\" | \"stale\"}");
  }
  const std::optional<StandinMode> next = ParseStandinMode(parsed->at("mode").get<std::string>());
  if (!next) {
    return BadRequest("unknown mode");
  }
  this->Visible();
  this->mode = *next;
  LogEvent(LogLevel::kInfo, "mode", { { "mode", ToString(this->mode) } });
  return this->Stats();
}

HttpResponse
HostListStandin::ChangeLag(const std::string& aBody)
{
  const Result<Json> parsed = ParseJson(aBody);
  const Json value = parsed && parsed->is_object() ? parsed->value("lag_ms", Json()) : Json();
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > kMaxLagMs) {
    return BadRequest("expected {\"lag_ms\": 0 to 3600000}");
  }
  this->lag = std::chrono::milliseconds(value.get<std::uint64_t>());
  LogEvent(LogLevel::kInfo, "lag", { { "lag_ms", this->lag.count() } });
  return this->Stats();
}

HttpResponse
HostListStandin::Stats()
{
  return JsonResponse(200,
                      Json{ { "version", this->lastNumber },
                            { "visible_version", this->Visible().number },
                            { "mode", ToString(this->mode) },
                            { "lag_ms", this->lag.count() },
                            { "calls", { { "read", this->reads } } } });
}

} // namespace yp
