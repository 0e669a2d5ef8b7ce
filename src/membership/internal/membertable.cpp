#include "membership/internal/membertable.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds kRefutationTimeout{ 5 };
constexpr seconds kPlacementRemovalDelay{ 30 };
// Records of hosts that are neither listed nor reachable are deleted after this time.
constexpr minutes kRecordRetentionTime{ 10 };
// Reports from two failure domains confirm that a member is unreachable. A third is kept as a reserve; more
// would only add traffic.
constexpr std::size_t kMaxReportingDomains = 3;

// The low half of a hash covers the announced records, the high half which members are confirmed unreachable.
// After the loss of a region, nodes differ in the high half of most buckets; separate halves spare them the
// exchange of records that are equal.
constexpr std::uint64_t kRecordHashMask = 0xffffffff;
constexpr std::uint64_t kUnreachableHashMask = ~kRecordHashMask;

bool
IsNewer(const MemberRecord& aRecord, const MemberRecord& aKnown)
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
  this->OnMemberChanged(own);
}

bool
MemberTable::IsAnnounced(const Member& aMember)
{
  return aMember.record.incarnation != Incarnation{};
}

void
MemberTable::UpdateHash(Member& aMember)
{
  const MemberRecord& record = aMember.record;
  std::uint64_t hashContribution = 0;
  // Records of stopped nodes are excluded: nodes delete them at different times, and equal views must have
  // equal hashes.
  if (IsAnnounced(aMember) && record.state != MemberState::kGone) {
    const std::uint64_t incarnationHash =
      Hash64(record.host, aMember.record.incarnation.high ^ aMember.record.incarnation.low);
    const std::uint64_t recordHash = Hash64("record", incarnationHash ^ record.sequence) & kRecordHashMask;
    const std::uint64_t unreachableHash =
      Hash64("unreachable", incarnationHash ^ record.sequence) & kUnreachableHashMask;
    hashContribution = recordHash | (aMember.confirmed ? unreachableHash : 0);
  }
  const std::uint64_t change = hashContribution ^ aMember.hashContribution;
  this->hash ^= change;
  this->buckets[BucketOf(record.host)] ^= change;
  aMember.hashContribution = hashContribution;
}

void
MemberTable::UpdatePlaced(Member& aMember)
{
  const bool expired =
    aMember.unreachableSince && this->clock.Now() - *aMember.unreachableSince >= kPlacementRemovalDelay;
  const bool isSelf = aMember.record.host == this->self;
  const bool placed = isSelf || (!aMember.delisted && !expired);
  if (placed != aMember.placed) {
    aMember.placed = placed;
    this->stableSince = this->clock.Now();
    this->view = nullptr;
  }
}

void
MemberTable::OnMemberChanged(Member& aMember)
{
  this->UpdateHash(aMember);
  const bool absent = !IsAnnounced(aMember) || aMember.record.state == MemberState::kGone;
  const bool unreachable = aMember.linkFailed || aMember.confirmed || absent;
  if (!unreachable || aMember.record.host == this->self) {
    aMember.unreachableSince.reset();
  } else if (!aMember.unreachableSince) {
    aMember.unreachableSince = this->clock.Now();
  }
  this->UpdatePlaced(aMember);
  if (aMember.unreachableSince || aMember.confirmAt) {
    this->hostsToCheck.insert(aMember.record.host);
    this->nextDeadline = std::min(this->nextDeadline, NextDeadline(aMember));
  } else {
    this->hostsToCheck.erase(aMember.record.host);
  }
  this->view = nullptr;
}

void
MemberTable::ClearReports(Member& aMember)
{
  aMember.reports.clear();
  aMember.confirmAt.reset();
  aMember.confirmed = false;
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
  std::set<std::string> listedHosts;
  for (const ListedHost& listed : aListing.hosts) {
    listedHosts.insert(listed.host);
    const auto entry = this->members.try_emplace(listed.host);
    Member& member = entry.first->second;
    if (entry.second) {
      this->stableSince = this->clock.Now();
    }
    if (!IsAnnounced(member)) {
      member.record.host = listed.host;
      member.record.failureDomain = listed.failureDomain;
      member.record.region = listed.region;
      member.record.peerEndpoint = listed.peerEndpoint;
      member.record.callerEndpoint = listed.callerEndpoint;
      member.record.adminEndpoint = listed.adminEndpoint;
    }
    const bool same = member.listed && !member.delisted && member.listedLeaving == listed.leaving;
    member.listed = true;
    member.delisted = false;
    member.listedLeaving = listed.leaving;
    if (!same) {
      this->OnMemberChanged(member);
    }
  }
  for (auto& entry : this->members) {
    Member& member = entry.second;
    if (member.listed && listedHosts.count(entry.first) == 0) {
      member.listed = false;
      member.delisted = true;
      this->OnMemberChanged(member);
    }
  }
  this->view = nullptr;
  return true;
}

MergeResult
MemberTable::RaiseOwnSequence()
{
  Member& own = this->members.at(this->self);
  ++own.record.sequence;
  this->OnMemberChanged(own);
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
    return this->RaiseOwnSequence();
  }
  const auto entry = this->members.try_emplace(aRecord.host);
  Member& member = entry.first->second;
  if (!entry.second && !IsNewer(aRecord, member.record)) {
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
  this->OnMemberChanged(member);
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
    return this->RaiseOwnSequence();
  }
  // A further report from the same failure domain adds no evidence and is not forwarded.
  if (member.confirmed || member.reports.size() >= kMaxReportingDomains ||
      !member.reports.emplace(aSuspicion.reporterDomain, aSuspicion).second) {
    return MergeResult::kIgnored;
  }
  if (member.reports.size() >= 2 && !member.confirmAt) {
    member.confirmAt = this->clock.Now() + kRefutationTimeout;
    this->hostsToCheck.insert(aSuspicion.host);
    this->nextDeadline = std::min(this->nextDeadline, *member.confirmAt);
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
    this->OnMemberChanged(member);
  }
  return report;
}

void
MemberTable::LinkUp(const std::string& aHost)
{
  const auto found = this->members.find(aHost);
  if (found != this->members.end() && found->second.linkFailed) {
    found->second.linkFailed = false;
    this->OnMemberChanged(found->second);
  }
}

const MemberRecord&
MemberTable::SetOwnState(MemberState aState)
{
  Member& own = this->members.at(this->self);
  if (own.record.state != aState) {
    own.record.state = aState;
    ++own.record.sequence;
    this->OnMemberChanged(own);
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
  return found != this->members.end() && found->second.confirmed;
}

TimePoint
MemberTable::NextDeadline(const Member& aMember)
{
  TimePoint deadline = TimePoint::max();
  if (aMember.confirmAt) {
    deadline = *aMember.confirmAt;
  }
  if (aMember.unreachableSince && aMember.placed) {
    deadline = std::min(deadline, *aMember.unreachableSince + kPlacementRemovalDelay);
  }
  if (aMember.unreachableSince && !aMember.listed) {
    deadline = std::min(deadline, *aMember.unreachableSince + kRecordRetentionTime);
  }
  return deadline;
}

void
MemberTable::Tick()
{
  const TimePoint now = this->clock.Now();
  if (now < this->nextDeadline) {
    return;
  }
  this->nextDeadline = TimePoint::max();
  for (auto next = this->hostsToCheck.begin(); next != this->hostsToCheck.end();) {
    const std::string& host = *next;
    const auto entry = this->members.find(host);
    Member& member = entry->second;
    ++next;
    if (member.confirmAt && now >= *member.confirmAt) {
      YP_INVARIANT(member.reports.size() >= 2, "death_needs_two_domains", host);
      member.confirmAt.reset();
      member.confirmed = true;
      this->OnMemberChanged(member);
    }
    this->UpdatePlaced(member);
    const bool retentionExpired =
      !member.listed && member.unreachableSince && now - *member.unreachableSince >= kRecordRetentionTime;
    if (retentionExpired) {
      member.record.state = MemberState::kGone;
      this->UpdateHash(member);
      this->hostsToCheck.erase(entry->first);
      this->members.erase(entry);
      this->view = nullptr;
      continue;
    }
    this->nextDeadline = std::min(this->nextDeadline, NextDeadline(member));
  }
}

void
MemberTable::Resume()
{
  const TimePoint now = this->clock.Now();
  this->nextDeadline = now;
  for (const std::string& host : this->hostsToCheck) {
    Member& member = this->members.at(host);
    if (member.confirmAt) {
      member.confirmAt = now + kRefutationTimeout;
    }
    // The duration of the pause is no evidence that the member stayed unreachable.
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
    if (IsAnnounced(entry.second) && ((aHashes[bucket] ^ this->buckets[bucket]) & kRecordHashMask) != 0) {
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
  // hostsToCheck contains every unreachable member.
  for (const std::string& host : this->hostsToCheck) {
    const Member& member = this->members.at(host);
    const std::size_t bucket = BucketOf(host);
    if (member.confirmed && ((aHashes[bucket] ^ this->buckets[bucket]) & kUnreachableHashMask) != 0) {
      for (const auto& report : member.reports) {
        reports.push_back(report.second);
      }
    }
  }
  return reports;
}

} // namespace yp
