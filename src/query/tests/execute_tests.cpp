#include "queryfixture.h"
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

// Guards against running a request twice after its reply was lost.
TEST_CASE("an attempt without a complete reply is never retried")
{
  QueryFixture node(MakeService(3));
  for (const char* name : { "1.0.0", "1.0.1", "1.1.0", "1.1.1", "1.2.0", "1.2.1" }) {
    node.leafs.leafs[name].loseReply = true;
  }
  const std::string id = node.StartExecute();
  node.timers.RunFor(1s);
  REQUIRE(node.answers.size() == 1);
  CHECK(node.answers[0].outcome == RequestOutcome::kUnknown);
  CHECK(node.answers[0].reason == RequestReason::kConnectionLost);
  CHECK(node.Ran() == 1);
  CHECK(node.requests->Find(id).state == RequestIdState::kUnknown);
}

// Guards against a request that fails although the first leaf certainly did not run it.
TEST_CASE("a refused attempt goes to another replica and runs once")
{
  QueryFixture node(MakeService(3));
  for (const char* name : { "1.0.0", "1.1.0", "1.2.0" }) {
    node.leafs.leafs[name].refuseConnections = true;
  }
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t ran = node.Ran();
    const std::string id = node.StartExecute("key" + std::to_string(i));
    node.timers.RunFor(1s);
    CHECK(node.answers.back().outcome == RequestOutcome::kAnswered);
    CHECK(node.answers.back().result == R"({"ok":true})");
    CHECK(node.Ran() == ran + 1);
    CHECK(node.requests->Find(id).state == RequestIdState::kDone);
  }
}

// Guards against a key that different nodes send to different shards.
TEST_CASE("a key goes to the shard that its hash names in the newest complete layout")
{
  Ref<ServiceSpec> service = MakeService(3, 1);
  AddLayout(*service, 2, 5, 1);
  service->layouts.push_back(LayoutSpec{ 3, { ShardSpec{ 0, 1 } } });
  QueryFixture node(service);
  for (int i = 0; i < 20; ++i) {
    const std::string key = "key" + std::to_string(i);
    const std::string leaf = "2." + std::to_string(Hash64(key) % 5) + ".0";
    const std::uint64_t before = node.leafs.leafs[leaf].ran;
    node.StartExecute(key);
    node.timers.RunFor(1s);
    CHECK(node.leafs.leafs[leaf].ran == before + 1);
  }
}

// Guards against writing a request after a pause in which its id or its deadline expired.
TEST_CASE("nothing is written after a pause past the deadline or the id's lifetime")
{
  const Duration deadline = GENERATE(Duration(100ms), Duration(1h));
  QueryFixture node(MakeService(1));
  const std::string id = node.StartExecute("k", deadline);
  node.clock.Advance(11min);
  node.timers.RunFor(1s);
  REQUIRE(node.answers.size() == 1);
  CHECK(node.answers[0].outcome == RequestOutcome::kNotRun);
  CHECK(node.answers[0].reason ==
        (deadline > Duration(1min) ? RequestReason::kExpiredId : RequestReason::kDeadline));
  CHECK(node.leafs.sent == 0);
}

// Guards against losing the outcome of a request whose caller stopped waiting.
TEST_CASE("the outcome of a late or abandoned request is recorded")
{
  const bool abandon = GENERATE(false, true);
  QueryFixture node(MakeService(1));
  node.leafs.leafs["1.0.0"].latency = 500ms;
  node.leafs.leafs["1.0.1"].latency = 500ms;
  const std::string id = node.StartExecute();
  node.timers.RunFor(10ms);
  if (abandon) {
    node.engine->Abandon(node.executeHandle);
  }
  node.timers.RunFor(300ms);
  CHECK(node.answers.size() == (abandon ? 0 : 1));
  CHECK(node.requests->Find(id).state == RequestIdState::kRunning);
  if (!abandon) {
    CHECK(node.answers[0].outcome == RequestOutcome::kUnknown);
    CHECK(node.answers[0].reason == RequestReason::kDeadline);
  }
  node.timers.RunFor(1s);
  CHECK(node.requests->Find(id).state == RequestIdState::kDone);
  CHECK(node.answers.size() == (abandon ? 0 : 1));
  CHECK(node.Ran() == 1);
  CHECK(node.engine->InFlight() == 0);
}
