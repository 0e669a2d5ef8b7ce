#include "backend/backend.h"
#include "framework/network/network.h"
#include "leaf/leaf.h"
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace yp;
using std::chrono::milliseconds;

namespace {

/// A stand-in and the transport, over one context that the test runs.
class Pair
{
public:
  explicit Pair(BackendBehaviour aBehaviour = {}, std::uint32_t aConnections = 4)
    : pools(MakeLeafPools({ &context }, clock))
  {
    this->settings.behaviour = aBehaviour;
    this->settings.executionLog = "standin_tests_executions.log";
    std::remove(this->settings.executionLog.c_str());
    BackendLeafSettings leafSettings;
    leafSettings.leaf = "kiosk-1";
    leafSettings.service = "kiosk";
    leafSettings.endpoint.address = "127.0.0.1";
    leafSettings.versions = { 41, 42 };
    leafSettings.slots = 1;
    leafSettings.connections = aConnections;
    leafSettings.documents = 200;
    this->settings.leafs.push_back(leafSettings);
    this->server = Recover([&] { return StartBackendServer(this->context, this->settings); },
                           [](const Error&) { return std::unique_ptr<IBackendServer>(); });
    REQUIRE(this->server);

    this->service = new ServiceSpec;
    this->service->name = "kiosk";
    LeafSpec spec;
    spec.leaf = "kiosk-1";
    spec.endpoint = { "127.0.0.1", this->server->LeafPorts()[0] };
    spec.layout = 1;
    this->service->leafs.push_back(spec);
    TicketState state;
    state.services["kiosk"] = this->service;
    Placement placement;
    placement.services["kiosk"].ownConnections["kiosk-1"] = 4;
    this->pools->Update(state, placement);
    this->context.run_for(milliseconds(20));
  }

  std::uint64_t Send(bool aExecute, std::optional<IndexVersion> aVersion, const std::string& aBody)
  {
    LeafAttempt attempt;
    attempt.id = ++this->lastId;
    attempt.service = this->service;
    attempt.leaf = &this->service->leafs[0];
    attempt.execute = aExecute;
    attempt.indexVersion = aVersion;
    attempt.body = aBody;
    attempt.deadline = this->clock.Now() + milliseconds(1500);
    attempt.queueUntil = attempt.deadline;
    this->pools->Transport(0).Send(std::move(attempt),
                                   [this](LeafReply aReply) { this->replies.push_back(std::move(aReply)); });
    return this->lastId;
  }

  bool RunUntilReplies(std::size_t aCount)
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (this->replies.size() < aCount && std::chrono::steady_clock::now() < end) {
      this->context.run_one_for(milliseconds(20));
    }
    return this->replies.size() >= aCount;
  }

  void Control(const Json& aChange)
  {
    HttpRequest request;
    request.method = "POST";
    request.target = "/admin/control";
    request.body = aChange.dump();
    std::optional<unsigned> status;
    const auto client = MakeHttpClient(this->context);
    client->Send({ "127.0.0.1", this->server->AdminPort() },
                 std::move(request),
                 this->clock.Now() + std::chrono::seconds(2),
                 [&status](const IHttpClient::Reply& aReply) {
                   const auto* response = std::get_if<HttpResponse>(&aReply);
                   status = response == nullptr ? 0 : response->status;
                 });
    while (!status) {
      this->context.run_one_for(milliseconds(20));
    }
    REQUIRE(*status == 200);
  }

  Json LeafStats() const { return Json::parse(this->server->Stats())["leafs"]["kiosk-1"]; }

  boost::asio::io_context context;
  SystemClock clock;
  BackendSettings settings;
  std::unique_ptr<IBackendServer> server;
  std::unique_ptr<ILeafPools> pools;
  Ref<ServiceSpec> service;
  std::vector<LeafReply> replies;
  std::uint64_t lastId = 0;
};

const char kSearch[] = R"({"query":{"terms":["watch-cell"]},"limit":5})";
const char kExecute[] = R"({"key":"k1","body":{"request_id":"r1"}})";

} // namespace

TEST_CASE("hits name their version and shard, and versions differ")
{
  // Guards against tests that could not see answers mixed from two snapshots.
  Pair pair;
  pair.Send(false, 41, kSearch);
  pair.Send(false, 42, kSearch);
  pair.Send(false, 43, kSearch);
  REQUIRE(pair.RunUntilReplies(3));
  std::map<std::uint64_t, LeafReply> byId;
  for (const auto& reply : pair.replies) {
    byId[reply.id] = reply;
  }
  const Json old = Json::parse(byId[1].body)["hits"];
  const Json current = Json::parse(byId[2].body)["hits"];
  REQUIRE(old.size() == 5);
  CHECK(old[0]["fields"]["version"] == 41);
  CHECK(current[0]["fields"]["version"] == 42);
  CHECK(current[0]["fields"]["shard"] == 0);
  CHECK(old != current);
  CHECK(byId[3].status == AttemptStatus::kNotRun);
  CHECK(byId[3].reason == NotRunReason::kVersionNotServed);
  CHECK(byId[3].versions == std::vector<IndexVersion>{ 41, 42 });
}

TEST_CASE("an execution is logged once before its reply")
{
  // Guards against a log that cannot prove that a request ran at most once.
  Pair pair;
  pair.Send(true, std::nullopt, kExecute);
  REQUIRE(pair.RunUntilReplies(1));
  CHECK(pair.replies[0].status == AttemptStatus::kAnswered);
  std::ifstream log(pair.settings.executionLog);
  std::string line;
  REQUIRE(std::getline(log, line));
  const Json entry = Json::parse(line);
  CHECK(entry["request"] == "r1");
  CHECK(entry["attempt"] == "0-1");
  CHECK(entry["key"] == "k1");
  CHECK_FALSE(std::getline(log, line));
  CHECK(pair.LeafStats()["executions"] == 1);
}

TEST_CASE("requests over slots and queue are shed, and a waiting one is cancelled without running")
{
  // Guards against a stand-in that hides overload, or executes what was cancelled before it started.
  BackendBehaviour behaviour;
  behaviour.base = milliseconds(80);
  behaviour.queue = 1;
  Pair pair(behaviour);
  pair.Send(false, 42, kSearch);
  pair.context.run_for(milliseconds(10));
  const std::uint64_t waiting = pair.Send(true, std::nullopt, kExecute);
  pair.context.run_for(milliseconds(10));
  const std::uint64_t shed = pair.Send(false, 42, kSearch);
  pair.context.run_for(milliseconds(10));
  pair.pools->Transport(0).Cancel(waiting);
  REQUIRE(pair.RunUntilReplies(3));
  CHECK(pair.replies[0].id == shed);
  CHECK(pair.replies[0].reason == NotRunReason::kShed);
  CHECK(pair.replies[1].id == waiting);
  CHECK(pair.replies[1].reason == NotRunReason::kCancelled);
  CHECK(pair.replies[2].status == AttemptStatus::kAnswered);
  CHECK(pair.LeafStats()["executions"] == 0);
  CHECK(pair.LeafStats()["cancelled"] == 1);
  CHECK(pair.LeafStats()["shed"] == 1);
}

TEST_CASE("connections over the limit are refused")
{
  // Guards against a stand-in on which a share that is too large goes unnoticed.
  Pair pair({}, 2);
  pair.context.run_for(milliseconds(50));
  CHECK(pair.LeafStats()["peak_connections"] == 2);
  CHECK(pair.LeafStats()["refused"].get<int>() >= 1);
  pair.Send(false, 42, kSearch);
  REQUIRE(pair.RunUntilReplies(1));
  CHECK(pair.replies[0].status == AttemptStatus::kAnswered);
}

TEST_CASE("a draining server ends what it runs, announces it, and refuses new work after the grace")
{
  // Guards against planned stops that cut off requests, and against drains that callers cannot see.
  BackendBehaviour behaviour;
  behaviour.base = milliseconds(400);
  behaviour.drainGrace = milliseconds(40);
  Pair pair(behaviour);
  bool drained = false;
  const std::uint64_t running = pair.Send(false, 42, kSearch);
  pair.context.run_for(milliseconds(5));
  pair.server->Drain([&] { drained = true; });
  // The first request runs on past the grace, so that the server cannot have stopped when the second arrives.
  pair.context.run_for(milliseconds(80));
  CHECK_FALSE(drained);
  pair.Send(false, 42, kSearch);
  REQUIRE(pair.RunUntilReplies(2));
  CHECK(pair.replies[0].status == AttemptStatus::kNotRun);
  CHECK(pair.replies[0].reason == NotRunReason::kDraining);
  CHECK(pair.replies[0].draining);
  CHECK(pair.replies[1].id == running);
  CHECK(pair.replies[1].status == AttemptStatus::kAnswered);
  CHECK(pair.replies[1].draining);
  pair.context.run_for(milliseconds(120));
  CHECK(drained);
  CHECK(pair.LeafStats()["after_draining"] == 1);
}

TEST_CASE("a server that drains again does not report the work of its last drain")
{
  // Guards against a check of new work at draining servers that fails for an earlier drain.
  Pair pair;
  pair.Control({ { "drain", true } });
  pair.context.run_for(milliseconds(20));
  pair.Send(false, 42, kSearch);
  REQUIRE(pair.RunUntilReplies(1));
  REQUIRE(pair.LeafStats()["last_after_draining_ms"] >= 20);
  pair.Control({ { "drain", false } });
  pair.Control({ { "drain", true } });
  CHECK(pair.LeafStats()["after_draining"] == 0);
  CHECK(pair.LeafStats()["last_after_draining_ms"] == 0);
}
