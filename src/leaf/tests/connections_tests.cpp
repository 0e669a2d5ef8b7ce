#include "fakeleaf.h"
#include <thread>

using namespace yp;
using std::chrono::milliseconds;

namespace {

const char kRefusal[] = "HTTP/1.1 503 Service Unavailable\r\nYp-Not-Run: connections\r\nConnection: close\r\n"
                        "Content-Length: 0\r\n\r\n";

FakeLeaf::Script
HoldRequests(std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>>& aHeld)
{
  return [&aHeld](FakeSession& aSession, FakeRequest& aRequest) {
    aHeld.emplace_back(aSession.shared_from_this(), FakeReply(aRequest).Serialize());
  };
}

} // namespace

TEST_CASE("connections are opened up to the share before any request")
{
  // Guards against connect time that adds to the latency of a query.
  LeafPoolFixture fixture(4);
  REQUIRE(fixture.RunUntil([&] { return fixture.pools->Counters().opened == 4; }));
  fixture.SetShare(6);
  REQUIRE(fixture.RunUntil([&] { return fixture.pools->Counters().opened == 6; }));
  fixture.RunFor(milliseconds(30));
  CHECK(fixture.pools->Counters().open == 6);
}

TEST_CASE("connections that have replied are used before new ones")
{
  // Guards against unknown outcomes: a request may be written to a new connection whose refusal is in
  // transit.
  LeafPoolFixture fixture(1);
  std::vector<FakeSession*> used;
  fixture.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    used.push_back(&aSession);
    aSession.WriteRaw(FakeReply(aRequest).Serialize());
  };
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(1));
  fixture.SetShare(3);
  REQUIRE(fixture.RunUntil([&] { return fixture.pools->Counters().opened == 3; }));
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(2));
  REQUIRE(used.size() == 2);
  CHECK(used[0] == used[1]);
}

TEST_CASE("a reduced share does not interrupt requests in flight")
{
  // Guards against requests interrupted by a change of placement, and against connections above the share.
  LeafPoolFixture fixture(3);
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  fixture.server.script = HoldRequests(held);
  REQUIRE(fixture.RunUntil([&] { return fixture.server.Open() == 3; }));
  fixture.RunFor(milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    fixture.Send(fixture.MakeAttempt());
  }
  REQUIRE(fixture.RunUntil([&] { return held.size() == 3; }));
  fixture.SetShare(1);
  fixture.RunFor(milliseconds(30));
  CHECK(fixture.server.Open() == 3);
  for (const auto& request : held) {
    request.first->WriteRaw(request.second);
  }
  REQUIRE(fixture.RunUntilReplies(3));
  for (const auto& reply : fixture.replies) {
    CHECK(reply.status == AttemptStatus::kAnswered);
  }
  CHECK(fixture.RunUntil([&] { return fixture.server.Open() == 1; }));
  CHECK(fixture.pools->Counters().open == 1);
}

TEST_CASE("a share of 0 ends queued attempts and closes idle connections")
{
  // Guards against connections to leafs that are no longer assigned to this node.
  LeafPoolFixture fixture(1);
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  fixture.server.script = HoldRequests(held);
  fixture.Send(fixture.MakeAttempt());
  fixture.RunFor(milliseconds(20));
  fixture.Send(fixture.MakeAttempt());
  fixture.SetShare(0);
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[0].reason == NotRunReason::kNoFreeConnection);
  REQUIRE(held.size() == 1);
  held[0].first->WriteRaw(held[0].second);
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.replies[1].status == AttemptStatus::kAnswered);
  CHECK(fixture.RunUntil([&] { return fixture.server.Open() == 0; }));
}

TEST_CASE("refused connections halve the share and are retried with increasing delays")
{
  // Guards against reconnect storms on a leaf that has reached its connection limit.
  LeafPoolFixture fixture(0);
  fixture.server.greeting = kRefusal;
  fixture.SetShare(8);
  REQUIRE(fixture.RunUntil([&] { return fixture.pools->Counters().refused > 0; }));
  fixture.RunFor(milliseconds(20));
  const std::size_t first = fixture.server.sessions.size();
  CHECK(first <= 8);
  fixture.RunFor(milliseconds(350));
  // Jitter shortens the delays of 50, 100, 200 and 400 ms by up to half: they end after 25, 75, 175 and 375
  // ms at the earliest.
  CHECK(fixture.server.sessions.size() > first);
  CHECK(fixture.server.sessions.size() <= first + 4);
  fixture.server.greeting.clear();
  REQUIRE(fixture.RunUntil([&] { return fixture.server.Open() >= 1; }));
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.pools->Counters().open <= 4);
}

TEST_CASE("the share is restored after the penalty of a refusal")
{
  // Guards against a share that stays halved permanently.
  auto settings = LeafPoolFixture::FastSettings();
  settings.refusalPenaltyDuration = milliseconds(200);
  LeafPoolFixture fixture(0, settings);
  fixture.server.greeting = kRefusal;
  fixture.SetShare(4);
  REQUIRE(fixture.RunUntil([&] { return fixture.pools->Counters().refused > 0; }));
  fixture.server.greeting.clear();
  CHECK(fixture.RunUntil([&] { return fixture.server.Open() == 4; }));
}

TEST_CASE("a request answered by a refusal of the connection ends as not run")
{
  // Guards against an execute request that ends as unknown although the leaf refused the connection.
  LeafPoolFixture fixture;
  fixture.server.script = [](FakeSession& aSession, FakeRequest&) { aSession.WriteRaw(kRefusal); };
  auto attempt = fixture.MakeAttempt();
  attempt.execute = true;
  fixture.Send(std::move(attempt));
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[0].reason == NotRunReason::kConnectionLimit);
  CHECK(fixture.pools->Counters().refused == 1);
}

TEST_CASE("an attempt whose connection cannot be opened ends as not run")
{
  // Guards against unknown outcomes of attempts that were never written.
  LeafPoolFixture fixture(0);
  const Endpoint closed = fixture.server.Address();
  fixture.server.StopListening();
  fixture.SetShare(1, closed);
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[0].reason == NotRunReason::kConnectFailed);
  CHECK_FALSE(fixture.replies[0].fromLeaf);
}

TEST_CASE("an attempt waits for a connection until queueUntil at most")
{
  // Guards against queued attempts that delay a query although another replica is free.
  LeafPoolFixture fixture;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  fixture.server.script = HoldRequests(held);
  fixture.Send(fixture.MakeAttempt());
  auto waiting = fixture.MakeAttempt();
  waiting.queueUntil = fixture.clock.Now() + milliseconds(30);
  const std::uint64_t id = fixture.Send(std::move(waiting));
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].id == id);
  CHECK(fixture.replies[0].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[0].reason == NotRunReason::kNoFreeConnection);
  CHECK(fixture.server.log.size() == 1);
}

TEST_CASE("a request is written at most once")
{
  // Guards against a second execution of a request whose connection was lost.
  LeafPoolFixture fixture(2);
  fixture.server.script = [](FakeSession& aSession, FakeRequest&) { aSession.Close(); };
  auto attempt = fixture.MakeAttempt();
  attempt.execute = true;
  fixture.Send(std::move(attempt));
  REQUIRE(fixture.RunUntilReplies(1));
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.server.log == std::vector<std::string>{ "POST /v1/leafs/kiosk-1/execute" });
}

TEST_CASE("no expired attempt is written after a pause of the process")
{
  // Guards against requests written after their deadline when a paused process resumes.
  LeafPoolFixture fixture;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  fixture.server.script = HoldRequests(held);
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntil([&] { return held.size() == 1; }));
  const std::uint64_t waiting = fixture.Send(fixture.MakeAttempt(milliseconds(30)));
  held[0].first->WriteRaw(held[0].second);
  std::this_thread::sleep_for(milliseconds(60));
  REQUIRE(fixture.RunUntilReplies(2));
  const auto& late = fixture.replies[0].id == waiting ? fixture.replies[0] : fixture.replies[1];
  CHECK(late.status == AttemptStatus::kNotRun);
  CHECK(late.reason == NotRunReason::kDeadline);
  const std::uint64_t expired = fixture.Send(fixture.MakeAttempt(milliseconds(-1)));
  REQUIRE(fixture.RunUntilReplies(3));
  CHECK(fixture.replies[2].id == expired);
  CHECK(fixture.replies[2].reason == NotRunReason::kDeadline);
  CHECK(fixture.server.log.size() == 1);
}

TEST_CASE("stopping ends every attempt exactly once")
{
  // Guards against handlers that are not called when a node stops.
  LeafPoolFixture fixture;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  fixture.server.script = HoldRequests(held);
  fixture.Send(fixture.MakeAttempt());
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntil([&] { return held.size() == 1; }));
  fixture.pools->Stop();
  REQUIRE(fixture.RunUntilReplies(2));
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.replies.size() == 2);
  CHECK(fixture.pools->Counters().notRun == 1);
  CHECK(fixture.pools->Counters().unknown == 1);
  CHECK(fixture.pools->Counters().open == 0);
}
