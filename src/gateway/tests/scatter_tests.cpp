#include "gateway/tests/fakeexchange.h"
#include <algorithm>
#include <catch2/catch.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(15, 'x');
}

bool
EndsWith(const std::string& aText, const std::string& aEnd)
{
  return aText.size() >= aEnd.size() && aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

} // namespace

TEST_CASE("A merged answer holds the greatest records of all parts, greatest first", "[scatter]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.body = Record(static_cast<char>('a' + aLeaf[5] - '0')) + "short";
    return answer;
  };
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(50));
  REQUIRE(world.replies.size() == 1);
  const GatewayReply& reply = world.replies[0];
  REQUIRE(reply.outcome == GatewayOutcome::kMerged);
  REQUIRE(reply.missing == 0);
  REQUIRE(reply.signatures.size() == GatewayWorld::kShards);
  // Shards 1 and 10 to 19 begin with the same character, so equal records all count: 9, 8 and 7 are greatest.
  REQUIRE(reply.records == Record('j') + Record('i') + Record('h'));
}

TEST_CASE("A part at a pausing leaf is repeated at the other one and the answer is complete",
          "[scatter][pauses]")
{
  GatewayWorld world;
  world.Query(30);
  world.replies.clear();
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.after = aLeaf == "shard3-a" ? milliseconds(150) : milliseconds(10);
    return answer;
  };
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(100));
  REQUIRE(world.replies.size() == 1);
  REQUIRE(world.replies[0].missing == 0);
}

TEST_CASE("While a leaf is silent, first requests go to the other one without extra load",
          "[scatter][pauses]")
{
  GatewayWorld world;
  world.Query(30);
  world.exchange.script = NeverFrom("shard3-a");
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(60));
  const std::uint64_t extra = world.gateway->Stats().extraCalls;
  const std::size_t sent = world.exchange.CountSent("shard3-a");
  world.Query(5, milliseconds(20));
  REQUIRE(world.exchange.CountSent("shard3-a") == sent);
  REQUIRE(world.gateway->Stats().extraCalls == extra);
}

TEST_CASE("A query answers with what it has before its objective when that covers enough", "[scatter]")
{
  GatewayWorld world;
  world.exchange.script = NeverFrom("shard3-");
  const TimePoint start = world.clock.Now();
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(500));
  REQUIRE(world.replies.size() == 1);
  REQUIRE(world.replies[0].outcome == GatewayOutcome::kMerged);
  REQUIRE(world.replies[0].missing == 1);
  REQUIRE(world.repliedAt - start < milliseconds(120));
}

TEST_CASE("A query below its least coverage waits beyond its objective", "[scatter]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    const bool slow = aLeaf[5] >= '3' && aLeaf[5] <= '5';
    answer.after = slow ? milliseconds(300) : milliseconds(10);
    return answer;
  };
  const TimePoint start = world.clock.Now();
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(900));
  REQUIRE(world.replies.size() == 1);
  REQUIRE(world.replies[0].outcome == GatewayOutcome::kMerged);
  REQUIRE(world.replies[0].missing <= 2);
  REQUIRE(world.repliedAt - start >= milliseconds(300));
}

TEST_CASE("A query that cannot reach its least coverage is refused at once", "[scatter][refusal]")
{
  GatewayWorld world;
  for (const char* shard : { "shard1", "shard2", "shard3" }) {
    world.leafs.Remove(std::string(shard) + "-a");
    world.leafs.Remove(std::string(shard) + "-b");
  }
  world.Ask("/all/x");
  REQUIRE(world.replies.size() == 1);
  REQUIRE(world.replies[0].outcome == GatewayOutcome::kRefused);
  REQUIRE(world.replies[0].retryAfter > Duration::zero());
  REQUIRE(world.exchange.sent.empty());
}

TEST_CASE("A query whose parts failed beyond repair ends at once and not at its deadline",
          "[scatter][refusal]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kFailed);
  const TimePoint start = world.clock.Now();
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(900));
  REQUIRE(world.replies.size() == 1);
  REQUIRE(world.replies[0].outcome == GatewayOutcome::kFailed);
  REQUIRE(world.repliedAt - start < milliseconds(100));
}

TEST_CASE("The same signature from two parts does not enter an answer twice", "[scatter]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.signature = aLeaf == "shard3-a" || aLeaf == "shard4-a" ? "same" : "";
    return answer;
  };
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(200));
  std::vector<std::string> signatures = world.replies.at(0).signatures;
  std::sort(signatures.begin(), signatures.end());
  REQUIRE(std::adjacent_find(signatures.begin(), signatures.end()) == signatures.end());
}

TEST_CASE("When a caller leaves, the leafs stop and nothing more is sent", "[gone]")
{
  GatewayWorld world;
  world.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  const std::uint64_t handle = world.Ask("/all/x");
  world.timers.RunFor(milliseconds(5));
  world.gateway->Abandon(handle);
  const std::size_t sent = world.exchange.sent.size();
  REQUIRE(world.exchange.open.empty());
  world.timers.RunFor(seconds(2));
  REQUIRE(world.exchange.sent.size() == sent);
  REQUIRE(world.replies.empty());
  REQUIRE(world.gateway->InProgress() == 0);
}

TEST_CASE("Calls that are not needed any more end before work for nobody counts as waste", "[gone]")
{
  GatewayWorld world;
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.after = EndsWith(aLeaf, "3-a") ? kNever : milliseconds(10);
    return answer;
  };
  world.Ask("/all/x");
  world.timers.RunFor(milliseconds(120));
  REQUIRE(world.replies.size() == 1);
  world.timers.RunFor(milliseconds(500));
  REQUIRE(world.exchange.open.empty());
}

TEST_CASE("No leaf is told a later deadline than the caller's", "[deadline]")
{
  GatewayWorld world;
  const TimePoint start = world.clock.Now();
  world.Ask("/all/x", milliseconds(700));
  for (const TimePoint deadline : world.exchange.deadlines) {
    REQUIRE(deadline <= start + milliseconds(700));
  }
}

TEST_CASE("Dark leafs of many shards are left out after their first silence", "[dark]")
{
  GatewayWorld world;
  world.Query(30);
  world.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    const bool dark = aLeaf == "shard1-a" || aLeaf == "shard5-a" || aLeaf == "shard9-a";
    answer.after = dark ? kNever : milliseconds(10);
    return answer;
  };
  world.Query(20);
  world.replies.clear();
  const std::size_t before = world.exchange.CountSent("shard5-a");
  world.Query(20);
  REQUIRE(world.replies.size() == 20);
  // Probes only: one each 250 ms at the beginning, then less often.
  REQUIRE(world.exchange.CountSent("shard5-a") - before <= 4);
  std::size_t complete = 0;
  for (const GatewayReply& reply : world.replies) {
    complete += reply.missing == 0 ? 1 : 0;
  }
  REQUIRE(complete >= 18);
}

TEST_CASE("A leaf that loses part of its answers gets few first requests", "[scatter][lost]")
{
  GatewayWorld world;
  int count = 0;
  world.exchange.script = [&count](const std::string& aLeaf) {
    FakeAnswer answer;
    if (aLeaf == "shard3-a" && ++count % 2 == 0) {
      answer.outcome = LeafOutcome::kLost;
      answer.after = milliseconds(2);
    }
    return answer;
  };
  constexpr int kQueries = 100;
  world.Query(kQueries, milliseconds(20));
  REQUIRE(world.exchange.CountSent("shard3-a") < kQueries / 2);
  REQUIRE(world.exchange.CountSent("shard4-a") == kQueries);
}

} // namespace yp
