#include "fakeleaf.h"

using namespace yp;

namespace {

/// Sends one lookup to a leaf with a script and checks that the reply is discarded with its connection.
void
CheckDiscarded(const FakeLeaf::Script& aScript)
{
  Bench bench;
  bench.server.script = aScript;
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
  CHECK(bench.replies[0].body.empty());
  CHECK(bench.replies[0].error.step == "leaf.request");
  CHECK(bench.RunUntil([&] { return !bench.server.sessions[0]->open; }));
  CHECK(bench.server.log.size() == 1);
}

FakeLeaf::Script
ReplyWith(std::function<void(FakeReply&)> aChange)
{
  return [aChange](FakeSession& aSession, FakeRequest& aRequest) {
    FakeReply reply(aRequest);
    aChange(reply);
    aSession.Raw(reply.Text());
  };
}

FakeLeaf::Script
RawReply(const std::string& aBytes)
{
  return [aBytes](FakeSession& aSession, FakeRequest&) { aSession.Raw(aBytes); };
}

} // namespace

TEST_CASE("a matching reply is handed over with what the leaf says of itself")
{
  // Guards against lost or misread fields, on which replica choice depends.
  Bench bench;
  bench.server.script = ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Draining: 1\r\n"; });
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.replies.empty());
  REQUIRE(bench.RunUntilReplies(1));
  const LeafReply& reply = bench.replies[0];
  CHECK(reply.status == AttemptStatus::kAnswered);
  CHECK(reply.fromLeaf);
  CHECK(reply.indexVersion == 7);
  CHECK(reply.versions == std::vector<IndexVersion>{ 6, 7 });
  CHECK(reply.busySlots == 1);
  CHECK(reply.slots == 2);
  CHECK(reply.draining);
  CHECK(reply.body == R"({"hits":[]})");
  CHECK(reply.elapsed.count() > 0);
  CHECK(bench.server.log[0] == "POST /v1/leafs/kiosk-1/search");
}

TEST_CASE("a reply that belongs to another request is never merged")
{
  // Guards against answers from another request, shard or snapshot.
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.id = "t-999"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.layout = "2"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.shard = "1"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.version = "6"; }));
  CheckDiscarded(ReplyWith([](FakeReply& aReply) { aReply.extra = "Yp-Request-Id: t-1\r\n"; }));
}

TEST_CASE("a truncated reply is unknown")
{
  // Guards against a cut-off body that is taken for a whole one.
  CheckDiscarded([](FakeSession& aSession, FakeRequest& aRequest) {
    const std::string whole = FakeReply(aRequest).Text();
    aSession.Raw(whole.substr(0, whole.size() - 1));
    aSession.Close();
  });
  CheckDiscarded([](FakeSession& aSession, FakeRequest& aRequest) {
    aSession.Raw(FakeReply(aRequest).Text().substr(0, 40));
    aSession.Close();
  });
  CheckDiscarded([](FakeSession& aSession, FakeRequest&) { aSession.Close(); });
}

TEST_CASE("malformed and oversized replies are unknown")
{
  // Guards against unbounded memory and against guessing at broken framing.
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
  // Guards against replies shifted by one on a connection that is used again.
  Bench bench;
  const bool together = GENERATE(true, false);
  bench.server.script = [&](FakeSession& aSession, FakeRequest& aRequest) {
    const std::string reply = FakeReply(aRequest).Text();
    if (bench.server.log.size() > 1) {
      aSession.Raw(reply);
    } else if (together) {
      aSession.Raw(reply + reply);
    } else {
      aSession.Raw(reply);
      aSession.Raw(reply);
    }
  };
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kAnswered);
  CHECK(bench.RunUntil([&] { return !bench.server.sessions[0]->open; }));
  const std::uint64_t second = bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(2));
  CHECK(bench.replies[1].id == second);
  CHECK(bench.replies[1].status == AttemptStatus::kAnswered);
  CHECK(bench.pools->Counters().discarded == 1);
}

TEST_CASE("a reply that says not run is told with its reason, and the connection is used again")
{
  // Guards against retries that are lost, or allowed, by a wrong reading of Yp-Not-Run.
  const auto expected = GENERATE(std::make_pair("shed", NotRunReason::kShed),
                                 std::make_pair("cold", NotRunReason::kCold),
                                 std::make_pair("draining", NotRunReason::kDraining),
                                 std::make_pair("version", NotRunReason::kVersionNotServed),
                                 std::make_pair("deadline", NotRunReason::kDeadline));
  Bench bench;
  bench.server.script = ReplyWith([&](FakeReply& aReply) {
    aReply.status = "503 Service Unavailable";
    aReply.extra = std::string("Yp-Not-Run: ") + expected.first + "\r\n";
  });
  bench.Send(bench.MakeAttempt());
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(2));
  CHECK(bench.replies[1].status == AttemptStatus::kNotRun);
  CHECK(bench.replies[1].reason == expected.second);
  CHECK(bench.replies[1].fromLeaf);
  CHECK(bench.server.sessions.size() == 1);
}

TEST_CASE("an error status without Yp-Not-Run is unknown")
{
  // Guards against a retry of an execute request that may have run.
  Bench bench;
  bench.server.script = ReplyWith([](FakeReply& aReply) { aReply.status = "500 Internal Server Error"; });
  bench.Send(bench.MakeAttempt());
  REQUIRE(bench.RunUntilReplies(1));
  CHECK(bench.replies[0].status == AttemptStatus::kUnknown);
}
