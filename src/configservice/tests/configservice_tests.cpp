#include "configservice/configservice.h"
#include "framework/network/tests/servedcontext.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

/// A service that gives one fixed response, or none at all for status 0.
struct Fixture
{
  Fixture()
  {
    this->served.Call([this] {
      HttpServerSettings settings;
      settings.listen = Endpoint{ "127.0.0.1", 0 };
      this->server =
        StartHttpServer(this->served.context, settings, [this](HttpRequest aRequest, HttpRespond aRespond) {
          this->target = aRequest.target;
          if (this->response.status == 0) {
            this->held = std::move(aRespond);
            return;
          }
          aRespond(this->response);
        }).value();
      PlatformSettings limits;
      limits.timeout = 100ms;
      this->config = MakeConfigServiceClient(this->served.context, this->server->LocalEndpoint(), limits);
      this->hosts = MakeHostListClient(this->served.context, this->server->LocalEndpoint(), limits);
    });
  }
  ~Fixture()
  {
    this->served.Call([this] {
      this->config.reset();
      this->hosts.reset();
      this->held = nullptr;
      this->server.reset();
    });
  }

  void SetResponse(unsigned aStatus, std::string aBody = "")
  {
    this->served.Call([&] { this->response = HttpResponse{ aStatus, {}, std::move(aBody), false }; });
  }

  std::variant<TicketNumber, Error> Watch()
  {
    std::promise<std::variant<TicketNumber, Error>> promise;
    this->served.Call(
      [&] { this->config->Watch(7, 20ms, [&](auto aResult) { promise.set_value(aResult); }); });
    return promise.get_future().get();
  }
  std::variant<IConfigService::Bodies, Error> Read()
  {
    std::promise<std::variant<IConfigService::Bodies, Error>> promise;
    this->served.Call([&] { this->config->Read(3, 4, [&](auto aResult) { promise.set_value(aResult); }); });
    return promise.get_future().get();
  }
  std::variant<HostListing, Error> Hosts()
  {
    std::promise<std::variant<HostListing, Error>> promise;
    this->served.Call([&] { this->hosts->Read([&](auto aResult) { promise.set_value(aResult); }); });
    return promise.get_future().get();
  }

  ServedContext served;
  std::unique_ptr<IHttpServer> server;
  std::unique_ptr<IConfigService> config;
  std::unique_ptr<IHostList> hosts;
  HttpResponse response;
  HttpRespond held;
  std::string target;
};

template<class T>
ErrorCode
CodeOf(const std::variant<T, Error>& aResult)
{
  REQUIRE(std::holds_alternative<Error>(aResult));
  return std::get<Error>(aResult).code;
}

Json
SampleHosts()
{
  return Json::parse(R"({"version": 5, "hosts": [{"host": "h1", "failure_domain": "adum", "region": "ashanti",
    "peer": "127.0.0.1:1", "caller": "127.0.0.1:2", "admin": "[::1]:3", "state": "leaving"}],
    "servers": [{"server": "s1", "state": "leaving"}, {"server": "s2", "state": "live"}]})");
}

} // namespace

// Guards against requests that the service would not understand and answers that are read wrongly.
TEST_CASE("good answers are read")
{
  Fixture fixture;
  fixture.SetResponse(200, R"({"head": 9})");
  CHECK(std::get<TicketNumber>(fixture.Watch()) == 9);
  CHECK(fixture.target == "/v1/tickets/head?after=7&wait_ms=20");
  fixture.SetResponse(200, R"({"tickets": [{"number": 3, "body": "{}"}, {"number": 4, "body": ""}]})");
  CHECK(std::get<IConfigService::Bodies>(fixture.Read()) == IConfigService::Bodies{ { 3, "{}" }, { 4, "" } });
  CHECK(fixture.target == "/v1/tickets?from=3&to=4");
  fixture.SetResponse(200, SampleHosts().dump());
  const HostListing listing = std::get<HostListing>(fixture.Hosts());
  REQUIRE(listing.hosts.size() == 1);
  CHECK(listing.version == 5);
  CHECK(listing.hosts[0].leaving);
  CHECK(listing.hosts[0].adminEndpoint.port == 3);
  CHECK(listing.leavingServers == std::vector<std::string>{ "s1" });
}

// Guards against failures that cannot be told apart, and a call that never ends.
TEST_CASE("failures have typed errors")
{
  Fixture fixture;
  fixture.SetResponse(429);
  CHECK(CodeOf(fixture.Watch()) == ErrorCode::kOverloaded);
  fixture.SetResponse(503);
  CHECK(CodeOf(fixture.Read()) == ErrorCode::kUnavailable);
  fixture.SetResponse(404);
  CHECK(CodeOf(fixture.Read()) == ErrorCode::kNotFound);
  fixture.SetResponse(0);
  CHECK(CodeOf(fixture.Hosts()) == ErrorCode::kTimeout);
  fixture.served.Call([&] { fixture.server.reset(); });
  CHECK(CodeOf(fixture.Hosts()) == ErrorCode::kUnavailable);
}

// Guards against a crash, or a skipped ticket, for answers that are not of the protocol.
TEST_CASE("bad answers are kBadInput")
{
  Fixture fixture;
  for (const char* body :
       { "", "[]", "{}", R"({"head": -1})", R"({"head": 1.5})", R"({"head": "1"})", "\xff" }) {
    fixture.SetResponse(200, body);
    CHECK(CodeOf(fixture.Watch()) == ErrorCode::kBadInput);
  }
  for (const char* body : { R"({"tickets": []})",
                            R"({"tickets": [5]})",
                            R"({"tickets": [{"number": 4, "body": ""}]})",
                            R"({"tickets": [{"number": 3}]})",
                            R"({"tickets": [{"number": 3, "body": ""}, {"number": 3, "body": ""}]})",
                            R"({"tickets": [{"number": 3, "body": 1}]})" }) {
    fixture.SetResponse(200, body);
    CHECK(CodeOf(fixture.Read()) == ErrorCode::kBadInput);
  }
}

// Guards against a host list that is accepted with a missing, wrong or repeated row.
TEST_CASE("each wrong field of a host list is refused")
{
  const Json good = SampleHosts();
  REQUIRE(ParseHostListing(good.dump()));
  for (const auto& [key, value] : good["hosts"][0].items()) {
    Json bad = good;
    bad["hosts"][0][key] = 1;
    CHECK_FALSE(ParseHostListing(bad.dump()));
    bad["hosts"][0].erase(key);
    CHECK_FALSE(ParseHostListing(bad.dump()));
  }
  Json twice = good;
  twice["hosts"].push_back(good["hosts"][0]);
  CHECK_FALSE(ParseHostListing(twice.dump()));
  const std::string text = good.dump();
  for (std::size_t size = 0; size < text.size(); ++size) {
    CHECK_FALSE(ParseHostListing(text.substr(0, size)));
  }
}
