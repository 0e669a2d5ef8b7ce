#include "gossip/internal/gossiptable.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// Each change is carried by this many messages for each doubling of the fleet.
constexpr double kSpreadFactor = 3;
constexpr Duration kFleetMemory = std::chrono::seconds(30);

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
  this->Changed(this->records.front());
}

void
GossipTable::Merge(const PeerRecord& aRecord)
{
  if (aRecord.host == this->Own().host) {
    this->MergeOwn(aRecord);
    return;
  }
  PeerRecord* known = this->Mutable(aRecord.host);
  if (known == nullptr) {
    this->records.push_back(aRecord);
    this->Changed(aRecord);
    return;
  }
  if (!aRecord.Replaces(*known)) {
    return;
  }
  const bool suspected = known->suspected;
  *known = aRecord;
  known->suspected = suspected;
  this->Changed(aRecord);
}

void
GossipTable::MergeOwn(const PeerRecord& aRecord)
{
  PeerRecord& own = this->records.front();
  if (!aRecord.Replaces(own)) {
    return;
  }
  // A clock that was set back makes the predecessor's start look later.
  if (aRecord.started > own.started) {
    own.started = aRecord.started + 1;
  }
  own.sequence = std::max(own.sequence, aRecord.sequence) + 1;
  this->Changed(own);
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
  this->Changed(own);
}

void
GossipTable::SetSourceUnreachable(bool aAway)
{
  PeerRecord& own = this->records.front();
  if (own.sourceUnreachable == aAway) {
    return;
  }
  own.sourceUnreachable = aAway;
  ++own.sequence;
  this->Changed(own);
}

void
GossipTable::MarkDown(const std::string& aHost)
{
  PeerRecord* known = this->Mutable(aHost);
  if (known == nullptr || known->state == PeerState::kDown) {
    return;
  }
  known->state = PeerState::kDown;
  this->Changed(*known);
}

void
GossipTable::MarkSuspected(const std::string& aHost)
{
  PeerRecord* known = this->Mutable(aHost);
  if (known != nullptr) {
    known->suspected = true;
  }
}

void
GossipTable::MarkHeard(const std::string& aHost)
{
  const auto found = this->spread.find(aHost);
  if (found != this->spread.end()) {
    found->second.upAt = this->clock.Now();
    found->second.heardAt = found->second.upAt;
  }
  PeerRecord* known = this->Mutable(aHost);
  if (known != nullptr) {
    known->suspected = false;
  }
}

TimePoint
GossipTable::HeardAt(const std::string& aHost) const
{
  const auto found = this->spread.find(aHost);
  return found == this->spread.end() ? TimePoint() : found->second.heardAt;
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
GossipTable::Mutable(const std::string& aHost)
{
  return const_cast<PeerRecord*>(this->Find(aHost));
}

void
GossipTable::Changed(const PeerRecord& aRecord)
{
  Spread& spread = this->spread[aRecord.host];
  spread.sent = 0;
  this->changedAt = this->clock.Now();
  this->bucketHashes.clear();
  if (aRecord.state != PeerState::kDown) {
    spread.upAt = this->clock.Now();
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
GossipTable::SpreadLimit() const
{
  return static_cast<std::uint32_t>(std::ceil(kSpreadFactor * std::log2(this->records.size() + 1.0)));
}

std::vector<PeerRecord>
GossipTable::TakeNews(std::size_t aMost)
{
  const std::uint32_t limit = this->SpreadLimit();
  std::vector<std::pair<std::uint32_t, const PeerRecord*>> news;
  for (const PeerRecord& record : this->records) {
    const std::uint32_t sent = this->spread.at(record.host).sent;
    if (&record != &this->records.front() && sent < limit) {
      news.emplace_back(sent, &record);
    }
  }
  std::sort(news.begin(), news.end());
  std::vector<PeerRecord> taken;
  for (const auto& [sent, record] : news) {
    if (taken.size() >= aMost) {
      break;
    }
    ++this->spread[record->host].sent;
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
    size += up || now - this->spread.at(record.host).upAt < kFleetMemory ? 1 : 0;
  }
  return size;
}

} // namespace yp
