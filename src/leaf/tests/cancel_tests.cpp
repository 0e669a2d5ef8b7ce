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
  return reply.Serialize();
}

/// Delays the reply to the first request until the DELETE arrives, then answers both in this order.
FakeLeaf::Script
AnswerOnDelete(FakeRequest& aHeld, bool aStarted)
{
  return [&aHeld, aStarted, first = true](FakeSession& aSession, FakeRequest& aRequest) mutable {
    if (aRequest.method() == boost::beast::http::verb::delete_) {
      aSession.WriteRaw(CancelledReply(aHeld, aStarted) + kDeleteReply);
    } else if (first) {
      aHeld = aRequest;
      first = false;
    } else {
      aSession.WriteRaw(FakeReply(aRequest).Serialize());
    }
  };
}

} // namespace

TEST_CASE("a lookup that passes its deadline is cancelled, and its connection is reused")
{
  // Guards against leafs that continue work after the deadline, and against a connection closed for each
  // cancellation.
  LeafPoolFixture fixture;
  FakeRequest held;
  fixture.server.script = AnswerOnDelete(held, true);
  fixture.Send(fixture.MakeAttempt(milliseconds(30)));
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.replies[0].error.code == ErrorCode::kTimeout);
  const std::uint64_t next = fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.replies[1].id == next);
  CHECK(fixture.replies[1].status == AttemptStatus::kAnswered);
  CHECK(fixture.server.sessions.size() == 1);
  REQUIRE(fixture.server.log.size() == 3);
  CHECK(fixture.server.log[1] == "DELETE /v1/requests/t-1");
}

TEST_CASE("a connection whose replies to a cancellation are missing or out of order is closed")
{
  // Guards against a late reply taken for the reply to the next request.
  LeafPoolFixture fixture;
  const int fault = GENERATE(0, 1, 2);
  FakeRequest held;
  fixture.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    if (aRequest.method() != boost::beast::http::verb::delete_) {
      held = aRequest;
    } else if (fault == 0) {
      aSession.WriteRaw(kDeleteReply + CancelledReply(held, true));
    } else if (fault == 1) {
      aSession.WriteRaw(CancelledReply(held, true));
    } else {
      aSession.WriteRaw(CancelledReply(held, true) + CancelledReply(held, true));
    }
  };
  const std::uint64_t id = fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntil([&] { return fixture.server.log.size() == 1; }));
  fixture.pools->Transport(0).Cancel(id);
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.RunUntil([&] { return !fixture.server.sessions[0]->open; }));
  CHECK(fixture.replies.size() == 1);
}

TEST_CASE("a reply that arrives after the attempt has ended is dropped")
{
  // Guards against a second call of the handler of an attempt that has ended.
  LeafPoolFixture fixture;
  FakeRequest held;
  fixture.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    if (aRequest.method() == boost::beast::http::verb::delete_) {
      aSession.WriteRaw(FakeReply(held).Serialize() + kDeleteReply);
    } else {
      held = aRequest;
    }
  };
  const std::uint64_t id = fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntil([&] { return fixture.server.log.size() == 1; }));
  fixture.pools->Transport(0).Cancel(id);
  fixture.pools->Transport(0).Cancel(id);
  REQUIRE(fixture.RunUntilReplies(1));
  fixture.RunFor(milliseconds(30));
  CHECK(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.server.Open() == 1);
}

TEST_CASE("a cancelled execute request ends with the outcome that the leaf reports")
{
  // Guards against an execute request reported as not run although it had started, and the reverse.
  LeafPoolFixture fixture;
  const bool started = GENERATE(true, false);
  FakeRequest held;
  fixture.server.script = AnswerOnDelete(held, started);
  auto attempt = fixture.MakeAttempt(milliseconds(40));
  attempt.execute = true;
  fixture.Send(std::move(attempt));
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == (started ? AttemptStatus::kUnknown : AttemptStatus::kNotRun));
  CHECK(fixture.replies[0].reason == (started ? NotRunReason::kNone : NotRunReason::kCancelled));
}

TEST_CASE("an execute request whose leaf does not reply ends as unknown after the cancellation timeout")
{
  // Guards against an execute request that never ends.
  LeafPoolFixture fixture;
  fixture.server.script = [](FakeSession&, FakeRequest&) {};
  auto attempt = fixture.MakeAttempt(milliseconds(30));
  attempt.execute = true;
  fixture.Send(std::move(attempt));
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.RunUntil([&] { return !fixture.server.sessions[0]->open; }));
}

TEST_CASE("a queued attempt is cancelled without being written")
{
  // Guards against requests that are written after their query has ended.
  LeafPoolFixture fixture;
  FakeRequest held;
  fixture.server.script = AnswerOnDelete(held, true);
  fixture.Send(fixture.MakeAttempt());
  const std::uint64_t waiting = fixture.Send(fixture.MakeAttempt());
  fixture.pools->Transport(0).Cancel(waiting);
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].id == waiting);
  CHECK(fixture.replies[0].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[0].reason == NotRunReason::kCancelled);
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.server.log.size() == 1);
}
