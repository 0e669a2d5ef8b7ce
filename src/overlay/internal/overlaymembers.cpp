#include "overlay/internal/overlaylimits.h"
#include "overlay/internal/overlaynode.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Announcements that are not urgent wait for the next tick and go to this many links together; digests
// repair what is missed.
constexpr std::size_t kRecordLinks = 4;
constexpr std::size_t kRecordsPerFrame = 1000;
constexpr seconds kBucketsInterval{ 3 };
// A node compares tables with one peer at a time: each peer would send a newcomer the whole table.
constexpr seconds kCompareInterval{ 1 };
// While reports of a mass loss spread, tables differ everywhere and comparisons help little.
constexpr seconds kLoadedCompareInterval{ 10 };
constexpr std::size_t kReportsPerComparison = 64;
// Queued reports go to this many links; comparisons of tables repair what is missed.
constexpr std::size_t kQueuedReportLinks = 3;

} // namespace

void
OverlayNode::Shuffle(std::vector<LinkId>& aLinks, IRandom& aRandom)
{
  for (std::size_t i = aLinks.size(); i > 1; --i) {
    std::swap(aLinks[i - 1], aLinks[aRandom.Below(i)]);
  }
}

void
OverlayNode::FloodRecords(const std::vector<MemberRecord>& aRecords, LinkId aFrom)
{
  const std::string payload = Encode(RecordsMessage{ aRecords, true });
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aFrom) {
      this->SendPayload(link.first, RecordsMessage::kType, payload);
    }
  }
}

void
OverlayNode::SendPendingRecords()
{
  if (this->pendingRecords.empty()) {
    return;
  }
  // A record that came over one link only need not go back over it.
  const LinkId from = this->pendingRecords.size() == 1 ? this->pendingRecords.begin()->second : kNoLink;
  const std::vector<LinkId> receivers = this->RandomLinks(kRecordLinks, from);
  if (receivers.empty()) {
    return;
  }
  RecordsMessage message;
  const auto send = [&] {
    const std::string payload = Encode(message);
    for (const LinkId link : receivers) {
      this->SendPayload(link, RecordsMessage::kType, payload);
    }
    message.records.clear();
  };
  for (const auto& pending : this->pendingRecords) {
    const MemberRecord* record = this->options.members.Find(pending.first);
    if (record != nullptr) {
      message.records.push_back(*record);
    }
    if (message.records.size() == kRecordsPerFrame) {
      send();
    }
  }
  if (!message.records.empty()) {
    send();
  }
  this->pendingRecords.clear();
}

void
OverlayNode::FloodSuspicion(const Suspicion& aSuspicion, LinkId aFrom)
{
  if (!this->reports.Pass(aSuspicion, this->options.clock.Now())) {
    return;
  }
  const std::string payload = Encode(SuspectMessage{ { aSuspicion } });
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aFrom) {
      this->SendPayload(link.first, SuspectMessage::kType, payload);
    }
  }
}

void
OverlayNode::SendQueuedReports()
{
  if (!this->reports.Loaded()) {
    return;
  }
  SuspectMessage message;
  for (Suspicion& report : this->reports.Due(this->options.clock.Now())) {
    const MemberRecord* record = this->options.members.Find(report.host);
    const bool current =
      record != nullptr && record->incarnation == report.incarnation && record->sequence <= report.sequence;
    if (current) {
      message.suspicions.push_back(std::move(report));
    }
  }
  if (message.suspicions.empty()) {
    return;
  }
  const std::string payload = Encode(message);
  for (const LinkId link : this->RandomLinks(kQueuedReportLinks, kNoLink)) {
    this->SendPayload(link, SuspectMessage::kType, payload);
  }
}

std::vector<LinkId>
OverlayNode::RandomLinks(std::size_t aCount, LinkId aExcept)
{
  std::vector<LinkId> chosen;
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aExcept) {
      chosen.push_back(link.first);
    }
  }
  Shuffle(chosen, this->options.random);
  chosen.resize(std::min(chosen.size(), aCount));
  return chosen;
}

void
OverlayNode::Merge(const std::vector<MemberRecord>& aRecords, LinkId aFrom, bool aNews)
{
  std::vector<MemberRecord> urgent;
  bool refute = false;
  for (const MemberRecord& record : aRecords) {
    const MergeResult result = this->options.members.ApplyRecord(record);
    refute = refute || result == MergeResult::kRefute;
    if (result != MergeResult::kChanged) {
      continue;
    }
    if (record.state == MemberState::kLeaving || record.state == MemberState::kGone) {
      urgent.push_back(record);
    } else if (aNews) {
      this->pendingRecords[record.host] = aFrom;
    }
  }
  if (refute) {
    this->FloodRecords({ this->options.members.Own() }, kNoLink);
  }
  if (!urgent.empty()) {
    this->FloodRecords(urgent, aFrom);
  }
}

void
OverlayNode::OnRecords(LinkId aLink, Link&, RecordsMessage& aMessage)
{
  this->Merge(aMessage.records, aLink, aMessage.news);
}

void
OverlayNode::OnSuspect(LinkId aLink, Link&, SuspectMessage& aMessage)
{
  bool refute = false;
  for (const Suspicion& suspicion : aMessage.suspicions) {
    const MergeResult result = this->options.members.ApplySuspicion(suspicion);
    refute = refute || result == MergeResult::kRefute;
    if (result == MergeResult::kChanged) {
      this->FloodSuspicion(suspicion, aLink);
    }
  }
  if (refute) {
    this->FloodRecords({ this->options.members.Own() }, kNoLink);
  }
}

void
OverlayNode::OnBuckets(LinkId aLink, Link&, BucketsMessage& aMessage)
{
  this->SendDifference(aLink, aMessage.hashes);
  if (aMessage.wantReply) {
    this->Send(aLink, BucketsMessage{ this->options.members.BucketHashes(), false });
  }
}

void
OverlayNode::SendDifference(LinkId aLink, const std::vector<std::uint64_t>& aHashes)
{
  RecordsMessage message;
  message.news = false;
  for (MemberRecord& record : this->options.members.Difference(aHashes)) {
    message.records.push_back(std::move(record));
    if (message.records.size() == kRecordsPerFrame) {
      this->Send(aLink, message);
      message.records.clear();
    }
  }
  if (!message.records.empty()) {
    this->Send(aLink, message);
  }
  SuspectMessage believed{ this->options.members.ConfirmedReports(aHashes) };
  std::vector<Suspicion>& list = believed.suspicions;
  if (list.size() > kReportsPerComparison) {
    // A random part each time, so that repeated comparisons cover all.
    const auto start = static_cast<std::ptrdiff_t>(this->options.random.Below(list.size()));
    std::rotate(list.begin(), list.begin() + start, list.end());
    list.resize(kReportsPerComparison);
  }
  if (!list.empty()) {
    this->Send(aLink, believed);
  }
}

void
OverlayNode::CompareMembers(LinkId aLink, Link& aState)
{
  if (aState.digest.membershipHash == this->options.members.Hash()) {
    aState.hashMismatches = 0;
    return;
  }
  const TimePoint now = this->options.clock.Now();
  const bool newcomer = !this->readiness.Ready();
  // A newcomer asks by itself; otherwise the side with the smaller name does. A first mismatch is common
  // while an announcement travels.
  const bool peerNewcomer = !aState.digest.ready;
  const bool smaller = this->options.members.Own().host < aState.host;
  const bool starts = newcomer == peerNewcomer ? smaller : newcomer;
  const bool first = ++aState.hashMismatches == 1 && !newcomer;
  if (!starts || first || now < aState.nextBuckets || now < this->nextCompare) {
    return;
  }
  const bool loaded = this->reports.Loaded() && !newcomer;
  aState.nextBuckets = now + kBucketsInterval;
  this->nextCompare = now + (loaded ? kLoadedCompareInterval : kCompareInterval);
  this->Send(aLink, BucketsMessage{ this->options.members.BucketHashes(), true });
}

// Digests

} // namespace yp
