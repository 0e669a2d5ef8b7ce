#include "fakeleaf.h"

using namespace yp;

namespace {

/// Sends one lookup to a scripted leaf and checks that the reply is discarded and the connection closed.
void
CheckDiscarded(const FakeLeaf::Script& aScript)
{
  LeafPoolFixture fixture;
  fixture.server.script = aScript;
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
  CHECK(fixture.replies[0].body.empty());
  CHECK(fixture.replies[0].error.step == "leaf.request");
  CHECK(fixture.RunUntil([&] { return !fixture.server.sessions[0]->open; }));
  CHECK(fixture.server.log.size() == 1);
}

FakeLeaf::Script
ReplyWith(std::function<void(FakeReply&)> aChange)
{
  return [aChange](FakeSession& aSession, FakeRequest& aRequest) {
    FakeReply reply(aRequest);
    aChange(reply);
    aSession.WriteRaw(reply.Serialize());
  };
}

FakeLeaf::Script
RawReply(const std::string& aBytes)
{
  return [aBytes](FakeSession& aSession, FakeRequest&) { aSession.WriteRaw(aBytes); };
}

} // namespace

TEST_CASE("a matching reply is delivered with the state that the leaf reports")
{
  // Guards against lost or misread header fields, on which replica selection depends.
  LeafPoolFixture fixture;
  fixture.server.script = ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Draining: 1\r\n"; });
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.replies.empty());
  REQUIRE(fixture.RunUntilReplies(1));
  const LeafReply& reply = fixture.replies[0];
  CHECK(reply.status == AttemptStatus::kAnswered);
  CHECK(reply.fromLeaf);
  CHECK(reply.indexVersion == 7);
  CHECK(reply.versions == std::vector<IndexVersion>{ 6, 7 });
  CHECK(reply.busySlots == 1);
  CHECK(reply.slots == 2);
  CHECK(reply.draining);
  CHECK(reply.body == R"({"hits":[]})");
  CHECK(reply.elapsed.count() > 0);
  CHECK(fixture.server.log[0] == "POST /v1/leafs/kiosk-1/search");
}

TEST_CASE("a reply that belongs to another request is discarded")
{
  // Guards against answers that contain results of another request, shard or snapshot.
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.id = "t-999"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.layout = "2"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.shard = "1"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.version = "6"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Request-Id: t-1\r\n"; }));
}

TEST_CASE("an attempt with a truncated reply ends as unknown")
{
  // Guards against a truncated body taken for a complete one.
  CheckDiscarded([](FakeSession& aSession, FakeRequest& aRequest) {
    const std::string complete = FakeReply(aRequest).Serialize();
    aSession.WriteRaw(complete.substr(0, complete.size() - 1));
    aSession.Close();
  });
  CheckDiscarded([](FakeSession& aSession, FakeRequest& aRequest) {
    aSession.WriteRaw(FakeReply(aRequest).Serialize().substr(0, 40));
    aSession.Close();
  });
  CheckDiscarded([](FakeSession& aSession, FakeRequest&) { aSession.Close(); });
}

TEST_CASE("attempts with malformed or oversized replies end as unknown")
{
  // Guards against unbounded memory use, and against replies accepted in spite of invalid framing.
  CheckDiscarded(RawReply("no HTTP at all\r\n\r\n"));
  CheckDiscarded(RawReply("HTTP/1.1 200 OK\r\n\r\nbody until the end of the connection"));
  CheckDiscarded(RawReply("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"));
  CheckDiscarded(RawReply("HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\n\r\n"));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.body.assign(5000, 'x'); }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.version = "seven"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Not-Run: perhaps\r\n"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Not-Run: shed\r\n"; }));
}

TEST_CASE("a duplicated reply does not answer the next request")
{
  // Guards against each reply being taken for the next request's on a reused connection.
  LeafPoolFixture fixture;
  const bool together = GENERATE(true, false);
  fixture.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    const std::string reply = FakeReply(aRequest).Serialize();
    if (fixture.server.log.size() > 1) {
      aSession.WriteRaw(reply);
    } else if (together) {
      aSession.WriteRaw(reply + reply);
    } else {
      aSession.WriteRaw(reply);
      aSession.WriteRaw(reply);
    }
  };
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kAnswered);
  CHECK(fixture.RunUntil([&] { return !fixture.server.sessions[0]->open; }));
  const std::uint64_t second = fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.replies[1].id == second);
  CHECK(fixture.replies[1].status == AttemptStatus::kAnswered);
  CHECK(fixture.pools->Counters().discarded == 1);
}

TEST_CASE("a not-run reply is delivered with its reason, and the connection is reused")
{
  // Guards against retries that are wrongly omitted or allowed because Yp-Not-Run is misread.
  const auto expected = GENERATE(std::make_pair("shed", NotRunReason::kShed),
                                 std::make_pair("cold", NotRunReason::kCold),
                                 std::make_pair("draining", NotRunReason::kDraining),
                                 std::make_pair("version", NotRunReason::kVersionNotServed),
                                 std::make_pair("deadline", NotRunReason::kDeadline));
  LeafPoolFixture fixture;
  fixture.server.script = ReplyWith([&](FakeReply& aReply) {
    aReply.status = "503 Service Unavailable";
    aReply.extra = std::string("Yp-Not-Run: ") + expected.first + "\r\n";
  });
  fixture.Send(fixture.MakeAttempt());
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(2));
  CHECK(fixture.replies[1].status == AttemptStatus::kNotRun);
  CHECK(fixture.replies[1].reason == expected.second);
  CHECK(fixture.replies[1].fromLeaf);
  CHECK(fixture.server.sessions.size() == 1);
}

TEST_CASE("an attempt with an error status and no Yp-Not-Run ends as unknown")
{
  // Guards against a retry of an execute request that may have run.
  LeafPoolFixture fixture;
  fixture.server.script = ReplyWith([](FakeReply& aReply) { aReply.status = "500 Internal Server Error"; });
  fixture.Send(fixture.MakeAttempt());
  REQUIRE(fixture.RunUntilReplies(1));
  CHECK(fixture.replies[0].status == AttemptStatus::kUnknown);
}
