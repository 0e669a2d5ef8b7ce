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
    aHeld.emplace_back(aSession.shared_from_this(), FakeReply(aRequest).Text());
  };
}

} // namespace

TEST_CASE("connections are opened ahead of need, up to the share")
{
  // Guards against connect time in the path of a query.
  Bench bench(4);
  REQUIRE(bench.RunUntil([&] { return bench.pools->Counters().opened == 4; }));
  bench.SetShare(6);
  REQUIRE(bench.RunUntil([&] { return bench.pools->Counters().opened == 6; }));
  bench.RunFor(milliseconds(30));
  CHECK(bench.pools->Counters().open == 6);
}

TEST_CASE("connections that have answered are used before new ones")
{
  // Guards against unknown outcomes on a new connection whose refusal has not arrived yet.
  Bench bench(1);
  std::vector<FakeSession*> used;
  bench.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    used.push_back(&aSession);
    aSession.Raw(FakeReply(aRequest).Text());
  };
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(1));
  bench.SetShare(3);
  REQUIRE(bench.RunUntil([&] { return bench.pools->Counters().opened == 3; }));
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(2));
  REQUIRE(used.size() == 2);
  CHECK(used[0] == used[1]);
}

TEST_CASE("a share that shrinks cuts off nothing in flight")
{
  // Guards against requests that a change of placement interrupts, and against connections over the share.
  Bench bench(3);
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  bench.server.script = HoldRequests(held);
  REQUIRE(bench.RunUntil([&] { return bench.server.Open() == 3; }));
  bench.RunFor(milliseconds(10));
  for (int i = 0; i < 3; ++i) {
    bench.Send(bench.MakeAttempt());
  }
  REQUIRE(bench.RunUntil([&] { return held.size() == 3; }));
  bench.SetShare(1);
  bench.RunFor(milliseconds(30));
  CHECK(bench.server.Open() == 3);
  for (const auto& request : held) {
    request.first->Raw(request.second);
  }
  REQUIRE(bench.RunUntilReplies(3));
  for (const auto& reply : bench.replies) {
    CHECK(reply.status == AttemptStatus::kAnswered);
  }
  CHECK(bench.RunUntil([&] { return bench.server.Open() == 1; }));
  CHECK(bench.pools->Counters().open == 1);
}

TEST_CASE("a share of nothing ends waiting attempts and closes idle connections")
{
  // Guards against connections to leafs of which this node is no holder any more.
  Bench bench(1);
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  bench.server.script = HoldRequests(held);
  bench.Send(bench.MakeAttempt());
  bench.RunFor(milliseconds(20));
  bench.Send(bench.MakeAttempt());
  bench.SetShare(0);
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[0].reason == NotRunReason::kNoFreeConnection);
  REQUIRE(held.size() == 1);
  held[0].first->Raw(held[0].second);
  REQUIRE(bench.RunUntilReplies(2));
  CHECK(bench.replies[1].status == AttemptStatus::kAnswered);
  CHECK(bench.RunUntil([&] { return bench.server.Open() == 0; }));
}

TEST_CASE("refused connections halve the share and are not retried in a storm")
{
  // Guards against reconnect storms on a leaf that is over its connection limit.
  Bench bench(0);
  bench.server.greeting = kRefusal;
  bench.SetShare(8);
  REQUIRE(bench.RunUntil([&] { return bench.pools->Counters().refused > 0; }));
  bench.RunFor(milliseconds(20));
  const std::size_t first = bench.server.sessions.size();
  CHECK(first <= 8);
  bench.RunFor(milliseconds(350));
  // Delays of 50, 100, 200 and 400 ms less a half end after 25, 75, 175 and 375 ms.
  CHECK(bench.server.sessions.size() > first);
  CHECK(bench.server.sessions.size() <= first + 4);
  bench.server.greeting.clear();
  REQUIRE(bench.RunUntil([&] { return bench.server.Open() >= 1; }));
  bench.RunFor(milliseconds(50));
  CHECK(bench.pools->Counters().open <= 4);
}

TEST_CASE("the share grows back when the hold of a refusal has passed")
{
  // Guards against a share that stays halved for ever.
  auto settings = Bench::FastSettings();
  settings.refusalPenaltyDuration = milliseconds(200);
  Bench bench(0, settings);
  bench.server.greeting = kRefusal;
  bench.SetShare(4);
  REQUIRE(bench.RunUntil([&] { return bench.pools->Counters().refused > 0; }));
  bench.server.greeting.clear();
  CHECK(bench.RunUntil([&] { return bench.server.Open() == 4; }));
}

TEST_CASE("a refusal that answers a request is not run")
{
  // Guards against an execute request that is given up as unknown although the leaf refused the connection.
  Bench bench;
  bench.server.script = [](FakeSession& aSession, FakeRequest&) { aSession.Raw(kRefusal); };
  auto attempt = bench.MakeAttempt();
  attempt.execute = true;
  bench.Send(std::move(attempt));
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[0].reason == NotRunReason::kConnectionLimit);
  CHECK(bench.pools->Counters().refused == 1);
}

TEST_CASE("a connection that cannot be opened is not run")
{
  // Guards against unknown outcomes where nothing was written.
  Bench bench(0);
  const Endpoint closed = bench.server.Address();
  bench.server.StopListening();
  bench.SetShare(1, closed);
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[0].reason == NotRunReason::kConnectFailed);
  CHECK_FALSE(bench.replies[0].fromLeaf);
}

TEST_CASE("an attempt waits for a connection no longer than it may")
{
  // Guards against waiting attempts that hold up a query although another replica is free.
  Bench bench;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  bench.server.script = HoldRequests(held);
  bench.Send(bench.MakeAttempt());
  auto waiting = bench.MakeAttempt();
  waiting.queueUntil = bench.clock.Now() + milliseconds(30);
  const std::uint64_t id = bench.Send(std::move(waiting));
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].id == id);
  CHECK(bench.replies[0].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[0].reason == NotRunReason::kNoFreeConnection);
  CHECK(bench.server.log.size() == 1);
}

TEST_CASE("a request is written at most once")
{
  // Guards against a second run of an execute request after its connection was lost.
  Bench bench(2);
  bench.server.script = [](FakeSession& aSession, FakeRequest&) { aSession.Close(); };
  auto attempt = bench.MakeAttempt();
  attempt.execute = true;
  bench.Send(std::move(attempt));
  REQUIRE(bench.RunUntilReplies(1));
  bench.RunFor(milliseconds(100));
  CHECK(bench.replies.size() == 1);
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.server.log == std::vector<std::string>{ "POST /v1/leafs/kiosk-1/execute" });
}

TEST_CASE("no expired attempt is written after a pause")
{
  // Guards against a process that resumes and acts on deadlines from before its pause.
  Bench bench;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  bench.server.script = HoldRequests(held);
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntil([&] { return held.size() == 1; }));
  const std::uint64_t waiting = bench.Send(bench.MakeAttempt(milliseconds(30)));
  held[0].first->Raw(held[0].second);
  std::this_thread::sleep_for(milliseconds(60));
  REQUIRE(bench.RunUntilReplies(2));
  const auto& late = bench.replies[0].id == waiting ? bench.replies[0] : bench.replies[1];
  CHECK(late.status == AttemptStatus::kNotRun);
  CHECK(late.reason == NotRunReason::kDeadline);
  const std::uint64_t expired = bench.Send(bench.MakeAttempt(milliseconds(-1)));
  REQUIRE(bench.RunUntilReplies(3));
  CHECK(bench.replies[2].id == expired);
  CHECK(bench.replies[2].reason == NotRunReason::kDeadline);
  CHECK(bench.server.log.size() == 1);
}

TEST_CASE("stopping ends every attempt once")
{
  // Guards against handlers that never run when a node stops.
  Bench bench;
  std::vector<std::pair<std::shared_ptr<FakeSession>, std::string>> held;
  bench.server.script = HoldRequests(held);
  bench.Send(bench.MakeAttempt());
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntil([&] { return held.size() == 1; }));
  bench.pools->Stop();
  REQUIRE(bench.RunUntilReplies(2));
  bench.RunFor(milliseconds(20));
  CHECK(bench.replies.size() == 2);
  CHECK(bench.pools->Counters().notRun == 1);
  CHECK(bench.pools->Counters().unknown == 1);
  CHECK(bench.pools->Counters().open == 0);
}
