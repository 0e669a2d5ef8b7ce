#include "gateway/tests/fakeexchange.h"
#include <algorithm>
#include <catch2/catch.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string
MakeRecord(char aFirst)
{
  return std::string(1, aFirst) + std::string(15, 'x');
}

bool
EndsWith(const std::string& aText, const std::string& aSuffix)
{
  return aText.size() >= aSuffix.size() &&
         aText.compare(aText.size() - aSuffix.size(), aSuffix.size(), aSuffix) == 0;
}

} // namespace

TEST_CASE("A merged answer holds the greatest records of all parts in descending order", "[scatter]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.body = MakeRecord(static_cast<char>('a' + aLeaf[5] - '0')) + "short";
    return answer;
  };
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(50));
  REQUIRE(fixture.replies.size() == 1);
  const GatewayReply& reply = fixture.replies[0];
  REQUIRE(reply.outcome == GatewayOutcome::kMerged);
  REQUIRE(reply.missing == 0);
  REQUIRE(reply.signatures.size() == GatewayFixture::kShards);
  // The record depends on the first digit of the shard's number, so shards 9, 8 and 7 have the greatest
  // records.
  REQUIRE(reply.records == MakeRecord('j') + MakeRecord('i') + MakeRecord('h'));
}

TEST_CASE("A call to a paused leaf is repeated at the other leaf and the answer is complete",
          "[scatter][pauses]")
{
  GatewayFixture fixture;
  fixture.RunQueries(30);
  fixture.replies.clear();
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.delay = aLeaf == "shard3-a" ? milliseconds(150) : milliseconds(10);
    return answer;
  };
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(100));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].missing == 0);
}

TEST_CASE("First requests avoid an unresponsive leaf without extra load", "[scatter][pauses]")
{
  GatewayFixture fixture;
  fixture.RunQueries(30);
  fixture.exchange.script = NoAnswerFrom("shard3-a");
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(60));
  const std::uint64_t extra = fixture.gateway->Stats().extraCalls;
  const std::size_t sent = fixture.exchange.CountSent("shard3-a");
  fixture.RunQueries(5, milliseconds(20));
  REQUIRE(fixture.exchange.CountSent("shard3-a") == sent);
  REQUIRE(fixture.gateway->Stats().extraCalls == extra);
}

TEST_CASE("A query with sufficient coverage is answered before its objective", "[scatter]")
{
  GatewayFixture fixture;
  fixture.exchange.script = NoAnswerFrom("shard3-");
  const TimePoint start = fixture.clock.Now();
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(500));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kMerged);
  REQUIRE(fixture.replies[0].missing == 1);
  REQUIRE(fixture.repliedAt - start < milliseconds(120));
}

TEST_CASE("A query below its minimum coverage waits beyond its objective", "[scatter]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    const bool slow = aLeaf[5] >= '3' && aLeaf[5] <= '5';
    answer.delay = slow ? milliseconds(300) : milliseconds(10);
    return answer;
  };
  const TimePoint start = fixture.clock.Now();
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(900));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kMerged);
  REQUIRE(fixture.replies[0].missing <= 2);
  REQUIRE(fixture.repliedAt - start >= milliseconds(300));
}

TEST_CASE("A query that cannot reach its minimum coverage is refused immediately", "[scatter][refusal]")
{
  GatewayFixture fixture;
  for (const char* shard : { "shard1", "shard2", "shard3" }) {
    fixture.leafs.Remove(std::string(shard) + "-a");
    fixture.leafs.Remove(std::string(shard) + "-b");
  }
  fixture.SendRequest("/all/x");
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kRefused);
  REQUIRE(fixture.replies[0].retryAfter > Duration::zero());
  REQUIRE(fixture.exchange.sent.empty());
}

TEST_CASE("A query whose parts failed permanently ends immediately instead of at its deadline",
          "[scatter][refusal]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kFailed);
  const TimePoint start = fixture.clock.Now();
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(900));
  REQUIRE(fixture.replies.size() == 1);
  REQUIRE(fixture.replies[0].outcome == GatewayOutcome::kFailed);
  REQUIRE(fixture.repliedAt - start < milliseconds(100));
}

TEST_CASE("A signature that two parts share is included in an answer only once", "[scatter]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.signature = aLeaf == "shard3-a" || aLeaf == "shard4-a" ? "same" : "";
    return answer;
  };
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(200));
  std::vector<std::string> signatures = fixture.replies.at(0).signatures;
  std::sort(signatures.begin(), signatures.end());
  REQUIRE(std::adjacent_find(signatures.begin(), signatures.end()) == signatures.end());
}

// Guards against a spoiled signature that makes a whole answer wrong, or too large to be written: signatures
// are listed in header fields, separated by commas.
TEST_CASE("A part whose signature cannot be listed is asked for at the other leaf", "[scatter][signatures]")
{
  const std::string spoiled = GENERATE(std::string(14000, '?'), "a,b", "a b", "a\x01");
  GatewayFixture fixture;
  fixture.RunQueries(20);
  fixture.replies.clear();
  fixture.exchange.script = [&spoiled](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.signature = aLeaf == "shard3-a" ? spoiled : "";
    return answer;
  };
  fixture.RunQueries(20);
  REQUIRE(fixture.exchange.CountSent("shard3-a") > 0);
  for (const GatewayReply& reply : fixture.replies) {
    REQUIRE(reply.outcome == GatewayOutcome::kMerged);
    REQUIRE(reply.signatures.size() + reply.missing == GatewayFixture::kShards);
    REQUIRE(std::count(reply.signatures.begin(), reply.signatures.end(), spoiled) == 0);
  }
  REQUIRE(fixture.gateway->Stats().partsUnlistable > 0);
}

TEST_CASE("When a caller disconnects, its calls are cancelled and no more are sent", "[gone]")
{
  GatewayFixture fixture;
  fixture.exchange.script = Always(LeafOutcome::kAnswered, kNever);
  const std::uint64_t handle = fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(5));
  fixture.gateway->Abandon(handle);
  const std::size_t sent = fixture.exchange.sent.size();
  REQUIRE(fixture.exchange.pendingCalls.empty());
  fixture.timers.RunFor(seconds(2));
  REQUIRE(fixture.exchange.sent.size() == sent);
  REQUIRE(fixture.replies.empty());
  REQUIRE(fixture.gateway->InProgress() == 0);
}

TEST_CASE("Calls that are no longer needed are ended before their work counts as waste", "[gone]")
{
  GatewayFixture fixture;
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.delay = EndsWith(aLeaf, "3-a") ? kNever : milliseconds(10);
    return answer;
  };
  fixture.SendRequest("/all/x");
  fixture.timers.RunFor(milliseconds(120));
  REQUIRE(fixture.replies.size() == 1);
  fixture.timers.RunFor(milliseconds(500));
  REQUIRE(fixture.exchange.pendingCalls.empty());
}

TEST_CASE("No leaf is sent a later deadline than the caller's", "[deadline]")
{
  GatewayFixture fixture;
  const TimePoint start = fixture.clock.Now();
  fixture.SendRequest("/all/x", milliseconds(700));
  for (const TimePoint deadline : fixture.exchange.deadlines) {
    REQUIRE(deadline <= start + milliseconds(700));
  }
}

TEST_CASE("Unresponsive leafs of several shards are excluded after their first unanswered calls",
          "[unresponsive]")
{
  GatewayFixture fixture;
  fixture.RunQueries(30);
  fixture.exchange.script = [](const std::string& aLeaf) {
    FakeAnswer answer;
    const bool unresponsive = aLeaf == "shard1-a" || aLeaf == "shard5-a" || aLeaf == "shard9-a";
    answer.delay = unresponsive ? kNever : milliseconds(10);
    return answer;
  };
  fixture.RunQueries(20);
  fixture.replies.clear();
  const std::size_t sentBefore = fixture.exchange.CountSent("shard5-a");
  fixture.RunQueries(20);
  REQUIRE(fixture.replies.size() == 20);
  // Only probes are sent: one every 250 ms at first, then less often.
  REQUIRE(fixture.exchange.CountSent("shard5-a") - sentBefore <= 4);
  std::size_t complete = 0;
  for (const GatewayReply& reply : fixture.replies) {
    complete += reply.missing == 0 ? 1 : 0;
  }
  REQUIRE(complete >= 18);
}

TEST_CASE("A leaf that loses part of its answers gets few first requests", "[scatter][lost]")
{
  GatewayFixture fixture;
  int count = 0;
  fixture.exchange.script = [&count](const std::string& aLeaf) {
    FakeAnswer answer;
    if (aLeaf == "shard3-a" && ++count % 2 == 0) {
      answer.outcome = LeafOutcome::kLost;
      answer.delay = milliseconds(2);
    }
    return answer;
  };
  constexpr int kQueries = 100;
  fixture.RunQueries(kQueries, milliseconds(20));
  REQUIRE(fixture.exchange.CountSent("shard3-a") < kQueries / 2);
  REQUIRE(fixture.exchange.CountSent("shard4-a") == kQueries);
}

} // namespace yp
