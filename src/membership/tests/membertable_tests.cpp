#include "membership/membership.h"
#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace yp {

namespace {

MemberRecord
Record(const std::string& aHost, const std::string& aDomain, std::uint64_t aSequence = 1)
{
  MemberRecord record;
  record.host = aHost;
  record.failureDomain = aDomain;
  record.region = "riga";
  record.incarnation = { 1000ms, Hash64(aHost), 1 };
  record.sequence = aSequence;
  record.state = MemberState::kReady;
  return record;
}

struct Fixture
{
  ManualClock clock;
  std::unique_ptr<IMemberTable> table = MakeMemberTable(Record("self", "centrs"), clock);
  MemberRecord other = Record("other", "imanta");

  Fixture() { this->table->ApplyRecord(this->other); }

  MergeResult Report(const std::string& aReporter, const std::string& aDomain)
  {
    return this->table->ApplySuspicion({ "other", this->other.incarnation, 1, aReporter, aDomain });
  }
  const MemberStatus& Other() { return *this->table->View()->Find("other"); }
};

} // namespace

// Guards against one faulty node or one faulty failure domain declaring others dead.
TEST_CASE_METHOD(Fixture, "reports of one failure domain are not believed")
{
  this->Report("r1", "centrs");
  this->Report("r2", "centrs");
  this->clock.Advance(60s);
  this->table->Tick();
  REQUIRE_FALSE(this->Other().unreachable);
}

// Guards against a death decided early, and against one that survives the member's refutation.
TEST_CASE_METHOD(Fixture, "two failure domains are believed after 5 s unless refuted")
{
  this->Report("r1", "centrs");
  this->Report("r2", "purvciems");
  this->clock.Advance(4900ms);
  this->table->Tick();
  REQUIRE_FALSE(this->Other().unreachable);
  this->clock.Advance(200ms);
  this->table->Tick();
  REQUIRE(this->Other().unreachable);
  REQUIRE(this->Other().placed);
  REQUIRE(this->table->ApplyRecord(Record("other", "imanta", 2)) == MergeResult::kChanged);
  REQUIRE_FALSE(this->Other().unreachable);
  REQUIRE(this->Report("r3", "kengarags") == MergeResult::kIgnored);
}

// Guards against a death that is decided on resume while the refutation lies unread.
TEST_CASE_METHOD(Fixture, "a pause does not count as time without refutation")
{
  this->Report("r1", "centrs");
  this->Report("r2", "purvciems");
  this->clock.Advance(60s);
  this->table->Resume();
  this->table->Tick();
  REQUIRE_FALSE(this->Other().unreachable);
}

// Guards against placement moving on a short loss, and against never moving.
TEST_CASE_METHOD(Fixture, "an unreachable member leaves placement after 30 s")
{
  this->table->LinkFailed("other");
  REQUIRE(this->Other().unreachable);
  this->clock.Advance(29s);
  this->table->Tick();
  REQUIRE(this->Other().placed);
  this->clock.Advance(2s);
  this->table->Tick();
  REQUIRE_FALSE(this->Other().placed);
  this->table->LinkUp("other");
  REQUIRE(this->Other().placed);
}

// Guards against an older reading of the host list undoing a newer one.
TEST_CASE_METHOD(Fixture, "an older listing is ignored and a newer one drops hosts")
{
  HostListing listing{ 2, { { "other", "imanta", "riga", {}, {}, {}, false } }, {} };
  REQUIRE(this->table->ApplyListing(listing));
  REQUIRE_FALSE(this->table->ApplyListing({ 1, {}, {} }));
  REQUIRE(this->Other().placed);
  REQUIRE(this->table->ApplyListing({ 3, {}, {} }));
  REQUIRE_FALSE(this->Other().placed);
}

// Guards against records of an earlier run replacing those of a later one.
TEST_CASE_METHOD(Fixture, "a later incarnation replaces an earlier one and not the reverse")
{
  MemberRecord later = this->other;
  later.incarnation.started = 2000ms;
  REQUIRE(this->table->ApplyRecord(later) == MergeResult::kChanged);
  REQUIRE(this->table->ApplyRecord(Record("other", "imanta", 99)) == MergeResult::kIgnored);
}

// Guards against tables that hold the same records in another order being compared as different.
TEST_CASE_METHOD(Fixture, "the hash is independent of order and the difference repairs it")
{
  const std::unique_ptr<IMemberTable> second = MakeMemberTable(Record("other", "imanta"), this->clock);
  for (int i = 0; i < 50; ++i) {
    this->table->ApplyRecord(Record("h" + std::to_string(i), "centrs"));
    second->ApplyRecord(Record("h" + std::to_string(49 - i), "centrs"));
  }
  REQUIRE(this->table->Hash() != second->Hash());
  for (const MemberRecord& record : this->table->Difference(second->BucketHashes())) {
    second->ApplyRecord(record);
  }
  REQUIRE(this->table->Hash() == second->Hash());
}

// Guards against a node that stays suspected because it does not answer the reports about itself.
TEST_CASE_METHOD(Fixture, "a report about this node raises its sequence")
{
  const MemberRecord own = this->table->Own();
  const Suspicion report{ "self", own.incarnation, own.sequence, "r1", "imanta" };
  REQUIRE(this->table->ApplySuspicion(report) == MergeResult::kRefute);
  REQUIRE(this->table->Own().sequence == own.sequence + 1);
}

} // namespace yp
