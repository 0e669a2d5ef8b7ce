#include "gossip/internal/gossiptable.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// Number of messages that carry a changed record, per doubling of the fleet size.
constexpr double kTransmissionFactor = 3;
constexpr Duration kFleetSizeRetention = std::chrono::seconds(30);

std::uint64_t
HashOf(const PeerRecord& aRecord)
{
  const std::string text = aRecord.host + ' ' + std::to_string(aRecord.started) + ' ' +
                           std::to_string(aRecord.sequence) + ' ' +
                           std::to_string(static_cast<int>(aRecord.state));
  return Hash64(text);
}

std::size_t
BucketOf(const PeerRecord& aRecord)
{
  return Hash64(aRecord.host) % GossipTable::kBuckets;
}

} // namespace

const char*
ToString(PeerState aState)
{
  switch (aState) {
    case PeerState::kJoining:
      return "joining";
    case PeerState::kReady:
      return "ready";
    case PeerState::kLeaving:
      return "leaving";
    case PeerState::kDown:
      return "down";
  }
  return "unknown";
}

bool
PeerRecord::Replaces(const PeerRecord& aOther) const
{
  if (this->started != aOther.started) {
    return this->started > aOther.started;
  }
  if (this->sequence != aOther.sequence) {
    return this->sequence > aOther.sequence;
  }
  return this->state > aOther.state;
}

GossipTable::GossipTable(PeerRecord aOwn, const IClock& aClock)
  : clock(aClock)
{
  this->records.push_back(std::move(aOwn));
  this->OnChanged(this->records.front());
}

void
GossipTable::Merge(const PeerRecord& aRecord)
{
  if (aRecord.host == this->Own().host) {
    this->MergeOwn(aRecord);
    return;
  }
  PeerRecord* known = this->FindMutable(aRecord.host);
  if (known == nullptr) {
    this->records.push_back(aRecord);
    this->OnChanged(aRecord);
    return;
  }
  if (!aRecord.Replaces(*known)) {
    return;
  }
  const bool suspected = known->suspected;
  *known = aRecord;
  known->suspected = suspected;
  this->OnChanged(aRecord);
}

void
GossipTable::MergeOwn(const PeerRecord& aRecord)
{
  PeerRecord& own = this->records.front();
  if (!aRecord.Replaces(own)) {
    return;
  }
  // If the clock was set back, the previous run of this host may have a later start time.
  if (aRecord.started > own.started) {
    own.started = aRecord.started + 1;
  }
  own.sequence = std::max(own.sequence, aRecord.sequence) + 1;
  this->OnChanged(own);
}

void
GossipTable::SetOwnState(PeerState aState)
{
  PeerRecord& own = this->records.front();
  if (own.state == aState) {
    return;
  }
  own.state = aState;
  ++own.sequence;
  this->OnChanged(own);
}

void
GossipTable::SetSourceUnreachable(bool aUnreachable)
{
  PeerRecord& own = this->records.front();
  if (own.sourceUnreachable == aUnreachable) {
    return;
  }
  own.sourceUnreachable = aUnreachable;
  ++own.sequence;
  this->OnChanged(own);
}

void
GossipTable::MarkDown(const std::string& aHost)
{
  PeerRecord* known = this->FindMutable(aHost);
  if (known == nullptr || known->state == PeerState::kDown) {
    return;
  }
  known->state = PeerState::kDown;
  this->OnChanged(*known);
}

void
GossipTable::MarkSuspected(const std::string& aHost)
{
  PeerRecord* known = this->FindMutable(aHost);
  if (known != nullptr) {
    known->suspected = true;
  }
}

void
GossipTable::MarkReceived(const std::string& aHost)
{
  const auto found = this->statuses.find(aHost);
  if (found != this->statuses.end()) {
    found->second.lastUp = this->clock.Now();
    found->second.lastReceived = found->second.lastUp;
  }
  PeerRecord* known = this->FindMutable(aHost);
  if (known != nullptr) {
    known->suspected = false;
  }
}

TimePoint
GossipTable::LastReceived(const std::string& aHost) const
{
  const auto found = this->statuses.find(aHost);
  return found == this->statuses.end() ? TimePoint() : found->second.lastReceived;
}

const PeerRecord*
GossipTable::Find(const std::string& aHost) const
{
  const auto found = std::find_if(this->records.begin(),
                                  this->records.end(),
                                  [&aHost](const PeerRecord& aRecord) { return aRecord.host == aHost; });
  return found == this->records.end() ? nullptr : &*found;
}

PeerRecord*
GossipTable::FindMutable(const std::string& aHost)
{
  return const_cast<PeerRecord*>(this->Find(aHost));
}

void
GossipTable::OnChanged(const PeerRecord& aRecord)
{
  PeerStatus& status = this->statuses[aRecord.host];
  status.sent = 0;
  this->changedAt = this->clock.Now();
  this->bucketHashes.clear();
  if (aRecord.state != PeerState::kDown) {
    status.lastUp = this->clock.Now();
  }
  LogEvent(LogLevel::kInfo,
           "peer_changed",
           { { "host", aRecord.host },
             { "state", ToString(aRecord.state) },
             { "domain", aRecord.failureDomain },
             { "source_away", aRecord.sourceUnreachable ? 1 : 0 },
             { "started", aRecord.started },
             { "sequence", aRecord.sequence } });
}

std::uint32_t
GossipTable::TransmissionLimit() const
{
  return static_cast<std::uint32_t>(std::ceil(kTransmissionFactor * std::log2(this->records.size() + 1.0)));
}

std::vector<PeerRecord>
GossipTable::TakeUpdates(std::size_t aMost)
{
  const std::uint32_t limit = this->TransmissionLimit();
  std::vector<std::pair<std::uint32_t, const PeerRecord*>> updates;
  for (const PeerRecord& record : this->records) {
    const std::uint32_t sent = this->statuses.at(record.host).sent;
    if (&record != &this->records.front() && sent < limit) {
      updates.emplace_back(sent, &record);
    }
  }
  std::sort(updates.begin(), updates.end());
  std::vector<PeerRecord> taken;
  for (const auto& [sent, record] : updates) {
    if (taken.size() >= aMost) {
      break;
    }
    ++this->statuses[record->host].sent;
    taken.push_back(*record);
  }
  return taken;
}

std::uint64_t
GossipTable::Hash() const
{
  std::uint64_t hash = 0;
  for (const std::uint64_t bucket : this->BucketHashes()) {
    hash ^= bucket;
  }
  return hash;
}

const std::vector<std::uint64_t>&
GossipTable::BucketHashes() const
{
  if (this->bucketHashes.empty()) {
    this->bucketHashes.assign(kBuckets, 0);
    for (const PeerRecord& record : this->records) {
      this->bucketHashes[BucketOf(record)] ^= HashOf(record);
    }
  }
  return this->bucketHashes;
}

std::vector<PeerRecord>
GossipTable::Difference(const std::vector<std::uint64_t>& aHashes) const
{
  if (aHashes.size() != kBuckets) {
    return this->records;
  }
  const std::vector<std::uint64_t>& own = this->BucketHashes();
  std::vector<PeerRecord> different;
  for (const PeerRecord& record : this->records) {
    const std::size_t bucket = BucketOf(record);
    if (own[bucket] != aHashes[bucket]) {
      different.push_back(record);
    }
  }
  return different;
}

std::size_t
GossipTable::FleetSize() const
{
  const TimePoint now = this->clock.Now();
  std::size_t size = 1;
  for (const PeerRecord& record : this->records) {
    if (&record == &this->records.front()) {
      continue;
    }
    const bool up = record.state != PeerState::kDown;
    size += up || now - this->statuses.at(record.host).lastUp < kFleetSizeRetention ? 1 : 0;
  }
  return size;
}

} // namespace yp
