#include "query/query.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace yp;

namespace {

struct RequestTableFixture
{
  ManualClock clock;
  SeededRandom random{ 3 };
  Incarnation incarnation = MakeIncarnation(this->clock, this->random);
  std::unique_ptr<IRequestTable> table = MakeRequestTable(this->clock, this->random, this->incarnation, 64);

  std::string Id() { return this->table->Issue(1).value().front(); }
};

} // namespace

// Guards against a request that runs twice because two connections carried the same id.
TEST_CASE("only one claim of an id succeeds, also with several threads")
{
  RequestTableFixture fixture;
  const std::string id = fixture.Id();
  std::atomic<int> claimed{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&] {
      for (int round = 0; round < 1000; ++round) {
        claimed += fixture.table->Claim(id).kind == ClaimResult::Kind::kClaimed ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(claimed == 1);
  CHECK(fixture.table->Find(id).state == RequestIdState::kRunning);
}

// Guards against running a request after a pause in which its id expired.
TEST_CASE("an id older than ten minutes is neither claimed nor written")
{
  RequestTableFixture fixture;
  const std::string id = fixture.Id();
  const std::string unclaimed = fixture.Id();
  REQUIRE(fixture.table->Claim(id).kind == ClaimResult::Kind::kClaimed);
  CHECK(fixture.table->MayWrite(id));
  CHECK_FALSE(fixture.table->MayWrite(unclaimed));
  fixture.clock.Advance(std::chrono::minutes(10));
  CHECK_FALSE(fixture.table->MayWrite(id));
  CHECK(fixture.table->Claim(unclaimed).kind == ClaimResult::Kind::kExpired);
  CHECK(fixture.table->Claim(id).kind == ClaimResult::Kind::kExpired);
}

// Guards against running an id of another process, and against ids that were never issued.
TEST_CASE("foreign and malformed ids are refused")
{
  RequestTableFixture fixture;
  SeededRandom otherRandom(9);
  const Incarnation other = MakeIncarnation(fixture.clock, otherRandom);
  const auto table = MakeRequestTable(fixture.clock, otherRandom, other);
  const ClaimResult foreign = fixture.table->Claim(table->Issue(1).value().front());
  CHECK(foreign.kind == ClaimResult::Kind::kForeign);
  CHECK(foreign.owner == other);
  const std::string id = fixture.Id();
  const std::string prefix = ToString(fixture.incarnation);
  for (const std::string& bad : { std::string(),
                                  std::string("x.1.2"),
                                  id + "0",
                                  prefix + ".-1.0123456789abcdef",
                                  prefix + ".99999999999.0123456789abcdef",
                                  prefix + ".1x.0123456789abcdef" }) {
    CHECK(fixture.table->Claim(bad).kind == ClaimResult::Kind::kInvalid);
  }
}

// Guards against an outcome that changes after it was reported to a caller.
TEST_CASE("only the first outcome is recorded")
{
  RequestTableFixture fixture;
  const std::string id = fixture.Id();
  fixture.table->Claim(id);
  RequestAnswer answer;
  answer.outcome = RequestOutcome::kAnswered;
  answer.result = "1";
  fixture.table->Finish(id, answer);
  fixture.table->Finish(id, RequestAnswer{});
  const ClaimResult known = fixture.table->Claim(id);
  CHECK(known.kind == ClaimResult::Kind::kKnown);
  CHECK(known.state == RequestIdState::kDone);
  REQUIRE(known.answer);
  CHECK(known.answer->result == "1");
  CHECK_FALSE(fixture.table->MayWrite(id));
}

// Guards against unbounded memory, and against a full table that never recovers.
TEST_CASE("a full table refuses claims until old ids expire")
{
  RequestTableFixture fixture;
  int full = 0;
  for (int i = 0; i < 500; ++i) {
    full += fixture.table->Claim(fixture.Id()).kind == ClaimResult::Kind::kFull ? 1 : 0;
  }
  CHECK(full >= 500 - 64);
  fixture.clock.Advance(std::chrono::minutes(11));
  CHECK(fixture.table->Claim(fixture.Id()).kind == ClaimResult::Kind::kClaimed);
  CHECK_FALSE(fixture.table->Issue(0));
  CHECK_FALSE(fixture.table->Issue(1001));
}
