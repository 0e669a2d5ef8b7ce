#include "entry/internal/answercodec.h"
#include "entryfixture.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace yp;

namespace {

using Origin = IRequestService::Origin;

RequestAnswer
Answered(const std::string& aResult)
{
  RequestAnswer answer = MakeAnswer(RequestOutcome::kAnswered, RequestReason::kNone, "");
  answer.result = aResult;
  return answer;
}

HttpResponse
Ask(EntryFixture& aNode,
    const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aBody = "")
{
  HttpResponse response;
  response.status = 0;
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  aNode.api->Handle(request, [&response](HttpResponse aResponse) { response = std::move(aResponse); });
  return response;
}

} // namespace

// Guards against a resent non-idempotent request that runs a second time.
TEST_CASE("a resent id is run once and every copy gets the same outcome")
{
  EntryFixture node;
  const std::string id = node.NewId();
  for (int copy = 0; copy < 3; ++copy) {
    node.service->Execute(node.Request(id), Origin::kCaller, node.Keep());
  }
  REQUIRE(node.engine.executes.size() == 1);
  node.requests->Finish(id, Answered("17"));
  node.engine.handlers[0](Answered("17"));
  node.timers.RunFor(std::chrono::milliseconds(50));
  REQUIRE(node.answers.size() == 3);
  for (const RequestAnswer& answer : node.answers) {
    CHECK(answer.result == "17");
  }
}

// Guards against "not run" for an id whose owner may have run it, and against a second hop.
TEST_CASE("an id of another incarnation is forwarded once and never run here")
{
  EntryFixture node;
  EntryFixture other;
  other.random.Next();
  SeededRandom otherRandom(99);
  const Incarnation owner = MakeIncarnation(other.clock, otherRandom);
  const auto table = MakeRequestTable(other.clock, otherRandom, owner);
  const std::string id = Recover(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(ids, table->Issue(1));
      return ids.front();
    },
    [](const Error&) { return std::string(); });
  node.forwarder.answer = MakeAnswer(RequestOutcome::kUnknown, RequestReason::kUnreachableOwner, "");
  node.service->Execute(node.Request(id), Origin::kCaller, node.Keep());
  node.service->Execute(node.Request(id), Origin::kPeer, node.Keep());
  CHECK(node.engine.executes.empty());
  REQUIRE(node.answers.size() == 2);
  CHECK(node.forwarder.targets == std::vector<std::string>{ ToString(owner) });
  CHECK(node.answers[0].outcome == RequestOutcome::kUnknown);
  CHECK(node.answers[1].outcome == RequestOutcome::kUnknown);
}

// Guards against a refused request of which a late copy runs after its caller was told "not run".
TEST_CASE("a refusal is final for its id")
{
  EntryFixture node;
  const std::string id = node.NewId();
  node.serving.Tick(false);
  node.service->Execute(node.Request(id), Origin::kCaller, node.Keep());
  node.serving.Tick(true);
  node.service->Execute(node.Request(id), Origin::kCaller, node.Keep());
  CHECK(node.engine.executes.empty());
  REQUIRE(node.answers.size() == 2);
  CHECK(node.answers[0].outcome == RequestOutcome::kNotRun);
  CHECK(node.answers[1].outcome == RequestOutcome::kNotRun);
}

// Guards against telling "not run" for an id that could not be recorded, of which another copy is claimed
// later.
TEST_CASE("an id that finds the table full is not called not run")
{
  EntryFixture node;
  SeededRandom tableRandom(3);
  const auto small = MakeRequestTable(node.clock, tableRandom, node.incarnation, 1);
  const auto service = MakeRequestService({ node.engine,
                                            *small,
                                            node.forwarder,
                                            node.steering,
                                            node.timers,
                                            node.clock,
                                            node.random,
                                            node.serving,
                                            node.stats,
                                            node.tickets,
                                            node.placement,
                                            [](const std::function<void()>& aFunction) { aFunction(); } });
  for (int i = 0; i < 200; ++i) {
    service->Execute(node.Request(node.NewId()), Origin::kCaller, node.Keep());
  }
  REQUIRE_FALSE(node.answers.empty());
  for (const RequestAnswer& answer : node.answers) {
    CHECK(answer.outcome == RequestOutcome::kUnknown);
    CHECK(answer.reason == RequestReason::kOverload);
  }
}

// Guards against telling "not run" while a copy of the request is still on its way.
TEST_CASE("the outcome of an issued id without a request is not yet known")
{
  EntryFixture node;
  node.service->FindOutcome(node.NewId(), node.clock.Now(), Origin::kCaller, node.Keep());
  CHECK(node.answers.at(0).outcome == RequestOutcome::kUnknown);
}

// Guards against serving with knowledge from before a pause of the whole process.
TEST_CASE("requests right after a pause are refused until the control thread has ticked")
{
  EntryFixture node;
  node.clock.Advance(std::chrono::seconds(60));
  LookupRequest lookup;
  lookup.caller = "screen";
  lookup.service = "kiosk";
  lookup.deadline = node.clock.Now() + std::chrono::seconds(1);
  node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  CHECK(node.answers.at(0).reason == RequestReason::kNotReady);
  node.serving.Tick(true);
  node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  CHECK(node.engine.lookups.size() == 1);
}

// Guards against a request that travels from node to node.
TEST_CASE("a lookup for a service held elsewhere is forwarded one hop at most")
{
  EntryFixture node;
  LookupRequest lookup;
  lookup.caller = "screen";
  lookup.service = "refill";
  lookup.deadline = node.clock.Now() + std::chrono::seconds(1);
  node.forwarder.answer = Answered("");
  node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  node.service->Lookup(lookup, Origin::kPeer, node.Keep());
  CHECK(node.forwarder.targets == std::vector<std::string>{ "entry-2" });
  CHECK(node.answers.at(1).reason == RequestReason::kWrongNode);
}

// Guards against refusing a lookup because one holder, placed a short time ago, has no connections yet.
TEST_CASE("a lookup that a holder does not serve yet goes to the other holders, each once")
{
  EntryFixture node;
  node.steering.holders = 3;
  LookupRequest lookup;
  lookup.caller = "screen";
  lookup.service = "refill";
  lookup.deadline = node.clock.Now() + std::chrono::seconds(1);
  node.forwarder.answer = MakeAnswer(RequestOutcome::kNotRun, RequestReason::kWrongNode, "");
  node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  std::sort(node.forwarder.targets.begin(), node.forwarder.targets.end());
  CHECK(node.forwarder.targets == std::vector<std::string>{ "entry-2", "entry-3", "entry-4" });
  REQUIRE(node.answers.size() == 1);
  CHECK(node.answers[0].outcome == RequestOutcome::kNotRun);
  node.forwarder.targets.clear();
  node.forwarder.answer = MakeAnswer(RequestOutcome::kUnknown, RequestReason::kConnectionLost, "");
  node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  CHECK(node.forwarder.targets.size() == 1);
}

// Guards against ids of a node that cannot run the request they are for.
TEST_CASE("ids are issued only by a node that holds the service")
{
  EntryFixture node;
  std::vector<std::variant<std::vector<std::string>, Error>> replies;
  const auto keep = [&replies](const auto& aReply) { replies.push_back(aReply); };
  const TimePoint deadline = node.clock.Now() + std::chrono::seconds(1);
  node.service->IssueIds("kiosk", 1, deadline, Origin::kPeer, keep);
  node.service->IssueIds("refill", 1, deadline, Origin::kPeer, keep);
  node.service->IssueIds("refill", 1, deadline, Origin::kCaller, keep);
  REQUIRE(replies.size() == 3);
  CHECK(std::holds_alternative<std::vector<std::string>>(replies[0]));
  CHECK(std::holds_alternative<Error>(replies[1]));
  CHECK(std::get<std::vector<std::string>>(replies[2]).front() == "foreign-id");
}

// Guards against work for a caller that has gone.
TEST_CASE("a lookup is abandoned through the function that was returned")
{
  EntryFixture node;
  LookupRequest lookup;
  lookup.caller = "screen";
  lookup.service = "kiosk";
  lookup.deadline = node.clock.Now() + std::chrono::seconds(1);
  const auto abandon = node.service->Lookup(lookup, Origin::kCaller, node.Keep());
  abandon();
  CHECK(node.engine.abandoned.size() == 1);
}

// Guards against unclear errors, and against input errors counted as something that may have run.
TEST_CASE("bad input gets a 4xx reply that says not run and names the field")
{
  EntryFixture node;
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "", "codec" },
    { "{\"caller\":\"screen\",\"caller\":\"x\"}", "caller" },
    { R"({"service":"kiosk","query":{}})", "caller" },
    { R"({"caller":"screen","service":"kiosk","query":[]})", "query" },
    { R"({"caller":"screen","service":"kiosk","query":{},"limit":0})", "limit" },
    { R"({"caller":"screen","service":"kiosk","query":{},"limt":5})", "limt" },
    { std::string(400000, '['), "larger" }
  };
  for (const auto& item : cases) {
    const HttpResponse response = Ask(node, "POST", "/v1/query", item.first);
    CHECK(response.status == 400);
    const auto reply = nlohmann::json::parse(response.body);
    CHECK(reply["outcome"] == "not_run");
    CHECK(reply["reason"] == "bad_request");
    if (item.second != "codec") {
      CHECK(reply["detail"].get<std::string>().find(item.second) != std::string::npos);
    }
  }
  CHECK(Ask(node, "GET", "/v1/nothing").status == 404);
  CHECK(Ask(node, "GET", "/v1/addresses").status == 400);
  CHECK(Ask(node, "GET", "/v1/addresses?caller=nobody").status == 404);
  CHECK(Ask(node, "GET", "/v1/addresses?caller=screen").status == 200);
  CHECK(Ask(node, "POST", "/v1/query", R"({"caller":"nobody","service":"kiosk","query":{}})").status == 404);
  CHECK(node.engine.lookups.empty());
}

// Guards against an answer that changes on its way between nodes.
TEST_CASE("an answer survives the way between nodes and damaged ones are refused")
{
  RequestAnswer answer = Answered("{\"a\":1}");
  answer.coverage = { 30, 40 };
  answer.snapshot = { "kiosk", 2, 41, 17 };
  answer.hits = { { "d1", 1.5, "{\"x\":1}" }, { "d2", 0.5, "{}" } };
  const std::string bytes = EncodeAnswer(answer);
  const auto decode = [](const std::string& aBytes) {
    return Recover(
      [&] { return DecodeAnswer(aBytes); },
      [](const Error&) { return MakeAnswer(RequestOutcome::kNotRun, RequestReason::kBadRequest, "bad"); });
  };
  const RequestAnswer copy = decode(bytes);
  CHECK(AnswerToJson(copy) == AnswerToJson(answer));
  CHECK(copy.hits.size() == 2);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    REQUIRE(decode(bytes.substr(0, size)).detail == "bad");
  }
}
