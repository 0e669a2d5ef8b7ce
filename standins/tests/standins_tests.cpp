#include "configservice/configservice.h"
#include "configservice/configservicestandin.h"
#include "framework/network/tests/servedcontext.h"
#include "hostlist/hostliststandin.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

/// Serves a stand-in and asks it over HTTP.
template<class T>
struct Served
{
  template<class... A>
  explicit Served(A... aArguments)
  {
    this->context.Call([&] {
      this->standin = std::make_unique<T>(aArguments...);
      this->Start();
    });
  }
  ~Served()
  {
    this->context.Call([this] {
      this->client.reset();
      this->config.reset();
      this->hosts.reset();
      this->server.reset();
      this->standin.reset();
    });
  }

  void Start()
  {
    HttpServerSettings settings;
    settings.listen = Endpoint{ "127.0.0.1", 0 };
    this->server =
      StartHttpServer(this->context.context, settings, [this](HttpRequest aRequest, HttpRespond aRespond) {
        this->standin->Handle(std::move(aRequest), std::move(aRespond));
      }).value();
    const Endpoint endpoint = this->server->LocalEndpoint();
    this->client = MakeHttpClient(this->context.context);
    this->config = MakeConfigServiceClient(this->context.context, endpoint);
    this->hosts = MakeHostListClient(this->context.context, endpoint);
  }

  HttpResponse Ask(const std::string& aMethod, const std::string& aTarget, const std::string& aBody = "")
  {
    std::promise<IHttpClient::Reply> promise;
    this->context.Call([&] {
      HttpRequest request;
      request.method = aMethod;
      request.target = aTarget;
      request.body = aBody;
      this->client->Send(this->server->LocalEndpoint(),
                         std::move(request),
                         std::chrono::steady_clock::now() + 5s,
                         [&](IHttpClient::Reply aReply) { promise.set_value(std::move(aReply)); });
    });
    return std::get<HttpResponse>(promise.get_future().get());
  }

  std::future<std::variant<TicketNumber, Error>> Watch(TicketNumber aAfter, std::chrono::milliseconds aWait)
  {
    auto promise = std::make_shared<std::promise<std::variant<TicketNumber, Error>>>();
    this->context.Call([&] {
      this->config->Watch(aAfter, aWait, [promise](auto aResult) { promise->set_value(std::move(aResult)); });
    });
    return promise->get_future();
  }

  std::variant<IConfigService::Bodies, Error> Read(TicketNumber aFirst, TicketNumber aLast)
  {
    std::promise<std::variant<IConfigService::Bodies, Error>> promise;
    this->context.Call([&] {
      this->config->Read(aFirst, aLast, [&](auto aResult) { promise.set_value(std::move(aResult)); });
    });
    return promise.get_future().get();
  }

  HostListing Hosts()
  {
    std::promise<std::variant<HostListing, Error>> promise;
    this->context.Call(
      [&] { this->hosts->Read([&](auto aResult) { promise.set_value(std::move(aResult)); }); });
    return std::get<HostListing>(promise.get_future().get());
  }

  ServedContext context;
  std::unique_ptr<T> standin;
  std::unique_ptr<IHttpServer> server;
  std::unique_ptr<IHttpClient> client;
  std::unique_ptr<IConfigService> config;
  std::unique_ptr<IHostList> hosts;
};

struct ServedConfig : Served<ConfigServiceStandin>
{
  explicit ServedConfig(std::uint64_t aLimit = 2000)
    : Served(std::ref(this->context.context), aLimit)
  {
  }
};

} // namespace

// Guards against a watch that misses a publication or does not end, and reads that break the protocol's
// bounds.
TEST_CASE("the configuration service answers watches and range reads")
{
  ServedConfig service;
  CHECK(std::get<TicketNumber>(service.Watch(0, 0ms).get()) == 0);
  CHECK(std::get<TicketNumber>(service.Watch(0, 20ms).get()) == 0);
  auto waiting = service.Watch(0, 20s);
  CHECK(service.Ask("POST", "/admin/publish", "not a ticket").body == R"({"number":1})");
  CHECK(std::get<TicketNumber>(waiting.get()) == 1);
  service.Ask("POST", "/admin/publish", std::string(700 * 1024, 'a'));
  service.Ask("POST", "/admin/publish", std::string(1024 * 1024, '\x01'));
  CHECK(service.Ask("POST", "/admin/publish", std::string(1024 * 1024 + 1, 'a')).status == 413);
  CHECK(std::get<IConfigService::Bodies>(service.Read(1, 9)).size() == 2);
  CHECK(std::get<IConfigService::Bodies>(service.Read(3, 3))[0].second == std::string(1024 * 1024, '\x01'));
  CHECK(std::get<Error>(service.Read(4, 4)).code == ErrorCode::kNotFound);
  CHECK(service.Ask("GET", "/v1/tickets?from=x&to=1").status == 400);
  CHECK(service.Ask("GET", "/v1/tickets/head?wait_ms=99999999999999999999").status == 400);
}

// Guards against modes that do not act on waiting watches, or a stale service that shows news.
TEST_CASE("the configuration service can be down, stale and limited")
{
  ServedConfig service;
  service.Ask("POST", "/admin/publish", "1");
  service.Ask("POST", "/admin/publish", "2");
  auto waiting = service.Watch(2, 20s);
  CHECK(service.Ask("POST", "/admin/mode", R"({"mode": "down"})").status == 200);
  CHECK(std::get<Error>(waiting.get()).code == ErrorCode::kUnavailable);
  CHECK(std::get<Error>(service.Read(1, 1)).code == ErrorCode::kUnavailable);
  service.Ask("POST", "/admin/mode", R"({"mode": "stale"})");
  service.Ask("POST", "/admin/publish", "3");
  CHECK(std::get<TicketNumber>(service.Watch(0, 0ms).get()) == 2);
  CHECK(std::get<Error>(service.Read(3, 3)).code == ErrorCode::kNotFound);
  service.Ask("POST", "/admin/mode", R"({"mode": "stale", "head": 1})");
  CHECK(std::get<TicketNumber>(service.Watch(0, 0ms).get()) == 1);
  service.Ask("POST", "/admin/mode", R"({"mode": "up"})");
  CHECK(std::get<TicketNumber>(service.Watch(0, 0ms).get()) == 3);
  CHECK(service.Ask("POST", "/admin/mode", R"({"mode": "asleep"})").status == 400);
  const Json stats = Json::parse(service.Ask("GET", "/admin/stats").body);
  CHECK(stats["calls"]["watch"] == 4);
  CHECK(stats["calls"]["read"] == 2);

  ServedConfig limited(2);
  int refused = 0;
  for (int call = 0; call < 6; ++call) {
    refused += limited.Ask("GET", "/v1/tickets/head").status == 429 ? 1 : 0;
  }
  CHECK(refused >= 2);
}

// Guards against a service that lets more readers take a ticket than a test asked for before it goes down.
TEST_CASE("the configuration service goes down after a number of reads")
{
  ServedConfig service;
  service.Ask("POST", "/admin/publish", "1");
  CHECK(service.Ask("POST", "/admin/mode", R"({"mode": "up", "reads_until_down": 0})").status == 400);
  CHECK(service.Ask("POST", "/admin/mode", R"({"mode": "up", "reads_until_down": 2})").status == 200);
  CHECK(service.Ask("GET", "/v1/tickets?from=1&to=1").status == 200);
  CHECK(service.Ask("GET", "/v1/tickets?from=1&to=1").status == 200);
  CHECK(service.Ask("GET", "/v1/tickets?from=1&to=1").status == 503);
  service.Ask("POST", "/admin/mode", R"({"mode": "up"})");
  CHECK(service.Ask("GET", "/v1/tickets?from=1&to=1").status == 200);
}

// Guards against a change that is visible before its lag, and a stale list that changes.
TEST_CASE("the host list shows changes after its lag")
{
  Served<HostListStandin> list(0ms);
  CHECK(list.Hosts().version == 0);
  CHECK(list.Ask("POST", "/admin/hosts", R"({"hosts": []})").status == 200);
  CHECK(list.Hosts().version == 1);
  list.Ask("POST", "/admin/lag", R"({"lag_ms": 3600000})");
  list.Ask("POST", "/admin/hosts", R"({"hosts": [], "servers": [{"server": "s", "state": "leaving"}]})");
  CHECK(list.Hosts().version == 1);
  list.Ask("POST", "/admin/lag", R"({"lag_ms": 0})");
  list.Ask("POST", "/admin/mode", R"({"mode": "stale"})");
  list.Ask("POST", "/admin/hosts", R"({"hosts": []})");
  CHECK(list.Hosts().version == 1);
  CHECK(list.Ask("POST", "/admin/hosts", "[]").status == 400);
  CHECK(list.Ask("POST", "/admin/mode", R"({"mode": "down"})").status == 200);
  CHECK(list.Ask("GET", "/v1/hosts").status == 503);
}
