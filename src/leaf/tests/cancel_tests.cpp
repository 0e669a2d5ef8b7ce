#include "fakeleaf.h"

using namespace yp;
using std::chrono::milliseconds;

namespace {

const char kDeleteReply[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::string
CancelledReply(const FakeRequest& aRequest, bool aStarted)
{
  FakeReply reply(aRequest);
  reply.status = "499 Client Closed Request";
  reply.extra = aStarted ? "" : "Yp-Not-Run: cancelled\r\n";
  return reply.Text();
}

/// Holds the first request and answers it, then the DELETE, when the DELETE arrives.
FakeLeaf::Script
AnswerOnDelete(FakeRequest& aHeld, bool aStarted)
{
  return [&aHeld, aStarted, first = true](FakeSession& aSession, FakeRequest& aRequest) mutable {
    if (aRequest.method() == boost::beast::http::verb::delete_) {
      aSession.Raw(CancelledReply(aHeld, aStarted) + kDeleteReply);
    } else if (first) {
      aHeld = aRequest;
      first = false;
    } else {
      aSession.Raw(FakeReply(aRequest).Text());
    }
  };
}

} // namespace

TEST_CASE("a lookup past its deadline is cancelled on its connection, which is then used again")
{
  // Guards against leafs that go on with work nobody waits for, and against a lost connection a cancellation.
  Bench bench;
  FakeRequest held;
  bench.server.script = AnswerOnDelete(held, true);
  bench.Send(bench.MakeAttempt(milliseconds(30)));
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.replies[0].error.code == ErrorCode::kTimeout);
  const std::uint64_t next = bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(2));
  CHECK(bench.replies[1].id == next);
  CHECK(bench.replies[1].status == AttemptStatus::kAnswered);
  CHECK(bench.server.sessions.size() == 1);
  REQUIRE(bench.server.log.size() == 3);
  CHECK(bench.server.log[1] == "DELETE /v1/requests/t-1");
}

TEST_CASE("a connection whose replies to a cancellation are missing or out of order is closed")
{
  // Guards against a late reply that is read as the reply to the next request.
  Bench bench;
  const int fault = GENERATE(0, 1, 2);
  FakeRequest held;
  bench.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    if (aRequest.method() != boost::beast::http::verb::delete_) {
      held = aRequest;
    } else if (fault == 0) {
      aSession.Raw(kDeleteReply + CancelledReply(held, true));
    } else if (fault == 1) {
      aSession.Raw(CancelledReply(held, true));
    } else {
      aSession.Raw(CancelledReply(held, true) + CancelledReply(held, true));
    }
  };
  const std::uint64_t id = bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntil([&] { return bench.server.log.size() == 1; }));
  bench.pools->Transport(0).Cancel(id);
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.RunUntil([&] { return !bench.server.sessions[0]->open; }));
  CHECK(bench.replies.size() == 1);
}

TEST_CASE("a late reply is dropped")
{
  // Guards against a second answer to an attempt that has ended.
  Bench bench;
  FakeRequest held;
  bench.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    if (aRequest.method() == boost::beast::http::verb::delete_) {
      aSession.Raw(FakeReply(held).Text() + kDeleteReply);
    } else {
      held = aRequest;
    }
  };
  const std::uint64_t id = bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntil([&] { return bench.server.log.size() == 1; }));
  bench.pools->Transport(0).Cancel(id);
  bench.pools->Transport(0).Cancel(id);
  REQUIRE(bench.RunUntilReplies(1));
  bench.RunFor(milliseconds(30));
  CHECK(bench.replies.size() == 1);
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.server.Open() == 1);
}

TEST_CASE("the outcome of a cancelled execute request is what the leaf says")
{
  // Guards against an execute request told as not run although it had started, and the reverse.
  Bench bench;
  const bool started = GENERATE(true, false);
  FakeRequest held;
  bench.server.script = AnswerOnDelete(held, started);
  auto attempt = bench.MakeAttempt(milliseconds(40));
  attempt.execute = true;
  bench.Send(std::move(attempt));
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == (started ? AttemptStatus::kUnknown : AttemptStatus::kNotRun));
  CHECK(bench.replies[0].reason == (started ? NotRunReason::kNone : NotRunReason::kCancelled));
}

TEST_CASE("an execute request whose leaf is silent ends as unknown after the bound")
{
  // Guards against an execute request that stays without an outcome.
  Bench bench;
  bench.server.script = [](FakeSession&, FakeRequest&) {};
  auto attempt = bench.MakeAttempt(milliseconds(30));
  attempt.execute = true;
  bench.Send(std::move(attempt));
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.RunUntil([&] { return !bench.server.sessions[0]->open; }));
}

TEST_CASE("a waiting attempt is cancelled without being written")
{
  // Guards against requests written after their query has ended.
  Bench bench;
  FakeRequest held;
  bench.server.script = AnswerOnDelete(held, true);
  bench.Send(bench.MakeAttempt());
  const std::uint64_t waiting = bench.Send(bench.MakeAttempt());
  bench.pools->Transport(0).Cancel(waiting);
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].id == waiting);
  CHECK(bench.replies[0].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[0].reason == NotRunReason::kCancelled);
  bench.RunFor(milliseconds(20));
  CHECK(bench.server.log.size() == 1);
}
