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

// Guards against one faulty node or failure domain alone making other members unreachable.
TEST_CASE_METHOD(Fixture, "reports from one failure domain do not make a member unreachable")
{
  this->Report("r1", "centrs");
  this->Report("r2", "centrs");
  this->clock.Advance(60s);
  this->table->Tick();
  REQUIRE_FALSE(this->Other().unreachable);
}

// Guards against confirming a member unreachable before the 5 s refutation timeout, and against keeping it
// unreachable after it refuted the reports.
TEST_CASE_METHOD(Fixture,
                 "reports from two failure domains make a member unreachable after 5 s unless refuted")
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

// Guards against confirming a member unreachable right after a pause of the process, when its refutation has
// arrived but is not yet read.
TEST_CASE_METHOD(Fixture, "a pause does not count towards the refutation timeout")
{
  this->Report("r1", "centrs");
  this->Report("r2", "purvciems");
  this->clock.Advance(60s);
  this->table->Resume();
  this->table->Tick();
  REQUIRE_FALSE(this->Other().unreachable);
}

// Guards against placement changing on a short loss of a member, and against it never changing.
TEST_CASE_METHOD(Fixture, "an unreachable member is removed from placement after 30 s")
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

// Guards against an older version of the host list overwriting a newer one.
TEST_CASE_METHOD(Fixture, "an older listing is ignored and a newer one removes hosts from placement")
{
  HostListing listing{ 2, { { "other", "imanta", "riga", {}, {}, {}, false } }, {} };
  REQUIRE(this->table->ApplyListing(listing));
  REQUIRE_FALSE(this->table->ApplyListing({ 1, {}, {} }));
  REQUIRE(this->Other().placed);
  REQUIRE(this->table->ApplyListing({ 3, {}, {} }));
  REQUIRE_FALSE(this->Other().placed);
}

// Guards against a record from an earlier incarnation of a node replacing one from a later incarnation.
TEST_CASE_METHOD(Fixture, "a later incarnation replaces an earlier one but not the reverse")
{
  MemberRecord later = this->other;
  later.incarnation.started = 2000ms;
  REQUIRE(this->table->ApplyRecord(later) == MergeResult::kChanged);
  REQUIRE(this->table->ApplyRecord(Record("other", "imanta", 99)) == MergeResult::kIgnored);
}

// Guards against different hashes for tables that received the same records in a different order.
TEST_CASE_METHOD(Fixture,
                 "hashes are independent of order and equal once the differing records are exchanged")
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

// Guards against a node that stays suspected because it does not refute reports about itself.
TEST_CASE_METHOD(Fixture, "a report about this node raises its sequence")
{
  const MemberRecord own = this->table->Own();
  const Suspicion report{ "self", own.incarnation, own.sequence, "r1", "imanta" };
  REQUIRE(this->table->ApplySuspicion(report) == MergeResult::kRefute);
  REQUIRE(this->table->Own().sequence == own.sequence + 1);
}

} // namespace yp
