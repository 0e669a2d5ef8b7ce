#include "membership/internal/membertable.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds kRefutationTime{ 5 };
constexpr seconds kPlacementDropTime{ 30 };
// Records of hosts that are neither listed nor reachable are forgotten after this time.
constexpr minutes kForgetTime{ 10 };
// Two failure domains decide; a third one is spare, and more would only add traffic.
constexpr std::size_t kMaxReportingDomains = 3;

// A hash has two halves, one of what members announce and one of which of them are believed unreachable.
// After the loss of a region nodes differ in the second half of most buckets, and need not exchange records.
constexpr std::uint64_t kRecordHalf = 0xffffffff;
constexpr std::uint64_t kBeliefHalf = ~kRecordHalf;

bool
Newer(const MemberRecord& aRecord, const MemberRecord& aKnown)
{
  if (aRecord.incarnation != aKnown.incarnation) {
    return aKnown.incarnation < aRecord.incarnation;
  }
  return aRecord.sequence > aKnown.sequence;
}

std::size_t
BucketOf(const std::string& aHost)
{
  return Hash64(aHost) % IMemberTable::kBuckets;
}

} // namespace

std::unique_ptr<IMemberTable>
MakeMemberTable(MemberRecord aSelf, const IClock& aClock)
{
  return std::make_unique<MemberTable>(std::move(aSelf), aClock);
}

MemberTable::MemberTable(MemberRecord aSelf, const IClock& aClock)
  : clock(aClock)
  , self(aSelf.host)
  , buckets(kBuckets, 0)
  , stableSince(aClock.Now())
{
  aSelf.sequence = 1;
  Member& own = this->members[this->self];
  own.record = std::move(aSelf);
  this->Changed(own);
}

bool
MemberTable::Announced(const Member& aMember)
{
  return aMember.record.incarnation != Incarnation{};
}

void
MemberTable::UpdateHash(Member& aMember)
{
  const MemberRecord& record = aMember.record;
  std::uint64_t contribution = 0;
  // Records that nodes forget at different times are left out, so that equal views have equal hashes.
  if (Announced(aMember) && record.state != MemberState::kGone) {
    const std::uint64_t run =
      Hash64(record.host, aMember.record.incarnation.high ^ aMember.record.incarnation.low);
    const std::uint64_t said = Hash64("record", run ^ record.sequence) & kRecordHalf;
    const std::uint64_t believed = Hash64("unreachable", run ^ record.sequence) & kBeliefHalf;
    contribution = said | (aMember.believed ? believed : 0);
  }
  const std::uint64_t change = contribution ^ aMember.contribution;
  this->hash ^= change;
  this->buckets[BucketOf(record.host)] ^= change;
  aMember.contribution = contribution;
}

void
MemberTable::SetPlaced(Member& aMember)
{
  const bool expired =
    aMember.unreachableSince && this->clock.Now() - *aMember.unreachableSince >= kPlacementDropTime;
  const bool isSelf = aMember.record.host == this->self;
  const bool placed = isSelf || (!aMember.dropped && !expired);
  if (placed != aMember.placed) {
    aMember.placed = placed;
    this->stableSince = this->clock.Now();
    this->view = nullptr;
  }
}

void
MemberTable::Changed(Member& aMember)
{
  this->UpdateHash(aMember);
  const bool absent = !Announced(aMember) || aMember.record.state == MemberState::kGone;
  const bool unreachable = aMember.linkFailed || aMember.believed || absent;
  if (!unreachable || aMember.record.host == this->self) {
    aMember.unreachableSince.reset();
  } else if (!aMember.unreachableSince) {
    aMember.unreachableSince = this->clock.Now();
  }
  this->SetPlaced(aMember);
  if (aMember.unreachableSince || aMember.decideAt) {
    this->timed.insert(aMember.record.host);
    this->nextDue = std::min(this->nextDue, NextDue(aMember));
  } else {
    this->timed.erase(aMember.record.host);
  }
  this->view = nullptr;
}

void
MemberTable::ClearReports(Member& aMember)
{
  aMember.reports.clear();
  aMember.decideAt.reset();
  aMember.believed = false;
}

bool
MemberTable::ApplyListing(const HostListing& aListing)
{
  if (aListing.version <= this->listingVersion) {
    return false;
  }
  this->listingVersion = aListing.version;
  this->leavingServers = aListing.leavingServers;
  std::sort(this->leavingServers.begin(), this->leavingServers.end());
  std::set<std::string> named;
  for (const ListedHost& listed : aListing.hosts) {
    named.insert(listed.host);
    const auto entry = this->members.try_emplace(listed.host);
    Member& member = entry.first->second;
    if (entry.second) {
      this->stableSince = this->clock.Now();
    }
    if (!Announced(member)) {
      member.record.host = listed.host;
      member.record.failureDomain = listed.failureDomain;
      member.record.region = listed.region;
      member.record.peerEndpoint = listed.peerEndpoint;
      member.record.callerEndpoint = listed.callerEndpoint;
      member.record.adminEndpoint = listed.adminEndpoint;
    }
    const bool same = member.listed && !member.dropped && member.listedLeaving == listed.leaving;
    member.listed = true;
    member.dropped = false;
    member.listedLeaving = listed.leaving;
    if (!same) {
      this->Changed(member);
    }
  }
  for (auto& entry : this->members) {
    Member& member = entry.second;
    if (member.listed && named.count(entry.first) == 0) {
      member.listed = false;
      member.dropped = true;
      this->Changed(member);
    }
  }
  this->view = nullptr;
  return true;
}

MergeResult
MemberTable::RefuteOwn()
{
  Member& own = this->members.at(this->self);
  ++own.record.sequence;
  this->Changed(own);
  return MergeResult::kRefute;
}

MergeResult
MemberTable::ApplyRecord(const MemberRecord& aRecord)
{
  if (aRecord.host == this->self) {
    Member& own = this->members.at(this->self);
    if (aRecord.incarnation != own.record.incarnation || aRecord.sequence <= own.record.sequence) {
      return MergeResult::kIgnored;
    }
    own.record.sequence = aRecord.sequence;
    return this->RefuteOwn();
  }
  const auto entry = this->members.try_emplace(aRecord.host);
  Member& member = entry.first->second;
  if (!entry.second && !Newer(aRecord, member.record)) {
    return MergeResult::kIgnored;
  }
  if (entry.second) {
    this->stableSince = this->clock.Now();
  }
  if (aRecord.incarnation != member.record.incarnation) {
    member.linkFailed = false;
  }
  member.record = aRecord;
  this->ClearReports(member);
  this->Changed(member);
  return MergeResult::kChanged;
}

MergeResult
MemberTable::ApplySuspicion(const Suspicion& aSuspicion)
{
  const auto found = this->members.find(aSuspicion.host);
  if (found == this->members.end()) {
    return MergeResult::kIgnored;
  }
  Member& member = found->second;
  const MemberRecord& record = member.record;
  if (aSuspicion.incarnation != record.incarnation || aSuspicion.sequence < record.sequence) {
    return MergeResult::kIgnored;
  }
  if (aSuspicion.host == this->self) {
    member.record.sequence = aSuspicion.sequence;
    return this->RefuteOwn();
  }
  // A later report of the same domain decides nothing and is not passed on.
  if (member.believed || member.reports.size() >= kMaxReportingDomains ||
      !member.reports.emplace(aSuspicion.reporterDomain, aSuspicion).second) {
    return MergeResult::kIgnored;
  }
  if (member.reports.size() >= 2 && !member.decideAt) {
    member.decideAt = this->clock.Now() + kRefutationTime;
    this->timed.insert(aSuspicion.host);
    this->nextDue = std::min(this->nextDue, *member.decideAt);
  }
  return MergeResult::kChanged;
}

Suspicion
MemberTable::LinkFailed(const std::string& aHost)
{
  const MemberRecord& own = this->Own();
  Suspicion report{ aHost, {}, 0, own.host, own.failureDomain };
  const auto found = this->members.find(aHost);
  if (found == this->members.end() || aHost == this->self) {
    return report;
  }
  Member& member = found->second;
  report.incarnation = member.record.incarnation;
  report.sequence = member.record.sequence;
  if (!member.linkFailed) {
    member.linkFailed = true;
    this->Changed(member);
  }
  return report;
}

void
MemberTable::LinkUp(const std::string& aHost)
{
  const auto found = this->members.find(aHost);
  if (found != this->members.end() && found->second.linkFailed) {
    found->second.linkFailed = false;
    this->Changed(found->second);
  }
}

const MemberRecord&
MemberTable::SetOwnState(MemberState aState)
{
  Member& own = this->members.at(this->self);
  if (own.record.state != aState) {
    own.record.state = aState;
    ++own.record.sequence;
    this->Changed(own);
  }
  return own.record;
}

const MemberRecord*
MemberTable::Find(const std::string& aHost) const
{
  const auto found = this->members.find(aHost);
  return found == this->members.end() ? nullptr : &found->second.record;
}

bool
MemberTable::ConfirmedUnreachable(const std::string& aHost) const
{
  const auto found = this->members.find(aHost);
  return found != this->members.end() && found->second.believed;
}

TimePoint
MemberTable::NextDue(const Member& aMember)
{
  TimePoint due = TimePoint::max();
  if (aMember.decideAt) {
    due = *aMember.decideAt;
  }
  if (aMember.unreachableSince && aMember.placed) {
    due = std::min(due, *aMember.unreachableSince + kPlacementDropTime);
  }
  if (aMember.unreachableSince && !aMember.listed) {
    due = std::min(due, *aMember.unreachableSince + kForgetTime);
  }
  return due;
}

void
MemberTable::Tick()
{
  const TimePoint now = this->clock.Now();
  if (now < this->nextDue) {
    return;
  }
  this->nextDue = TimePoint::max();
  for (auto next = this->timed.begin(); next != this->timed.end();) {
    const std::string& host = *next;
    const auto entry = this->members.find(host);
    Member& member = entry->second;
    ++next;
    if (member.decideAt && now >= *member.decideAt) {
      YP_INVARIANT(member.reports.size() >= 2, "death_needs_two_domains", host);
      member.decideAt.reset();
      member.believed = true;
      this->Changed(member);
    }
    this->SetPlaced(member);
    const bool forgotten =
      !member.listed && member.unreachableSince && now - *member.unreachableSince >= kForgetTime;
    if (forgotten) {
      member.record.state = MemberState::kGone;
      this->UpdateHash(member);
      this->timed.erase(entry->first);
      this->members.erase(entry);
      this->view = nullptr;
      continue;
    }
    this->nextDue = std::min(this->nextDue, NextDue(member));
  }
}

void
MemberTable::Resume()
{
  const TimePoint now = this->clock.Now();
  this->nextDue = now;
  for (const std::string& host : this->timed) {
    Member& member = this->members.at(host);
    if (member.decideAt) {
      member.decideAt = now + kRefutationTime;
    }
    // Time that passed during the pause is no evidence that the member stayed unreachable.
    if (member.unreachableSince && member.placed) {
      member.unreachableSince = now;
    }
  }
}

Ref<const MemberView>
MemberTable::View()
{
  if (this->view) {
    return this->view;
  }
  Ref<MemberView> next(new MemberView);
  next->self = this->self;
  next->stableSince = this->stableSince;
  next->leavingServers = this->leavingServers;
  next->members.reserve(this->members.size());
  for (const auto& entry : this->members) {
    const Member& member = entry.second;
    next->members.push_back(
      { member.record, member.unreachableSince.has_value(), member.placed, member.listedLeaving });
  }
  this->view = next;
  return this->view;
}

std::vector<MemberRecord>
MemberTable::Difference(const std::vector<std::uint64_t>& aHashes) const
{
  std::vector<MemberRecord> records;
  if (aHashes.size() != kBuckets) {
    return records;
  }
  for (const auto& entry : this->members) {
    const std::size_t bucket = BucketOf(entry.first);
    if (Announced(entry.second) && ((aHashes[bucket] ^ this->buckets[bucket]) & kRecordHalf) != 0) {
      records.push_back(entry.second.record);
    }
  }
  return records;
}

std::vector<Suspicion>
MemberTable::ConfirmedReports(const std::vector<std::uint64_t>& aHashes) const
{
  std::vector<Suspicion> reports;
  if (aHashes.size() != kBuckets) {
    return reports;
  }
  // Unreachable members are always among the timed ones.
  for (const std::string& host : this->timed) {
    const Member& member = this->members.at(host);
    const std::size_t bucket = BucketOf(host);
    if (member.believed && ((aHashes[bucket] ^ this->buckets[bucket]) & kBeliefHalf) != 0) {
      for (const auto& report : member.reports) {
        reports.push_back(report.second);
      }
    }
  }
  return reports;
}

} // namespace yp
