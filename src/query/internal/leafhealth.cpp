#include "query/internal/leafhealth.h"
#include <algorithm>
#include <functional>

namespace yp {

namespace {

constexpr std::int64_t kLatencySamples = 10;
// One delayed attempt must not make a good leaf look slow; a slow leaf is still recognised in a few samples.
constexpr std::int64_t kSampleClamp = 4;
constexpr std::uint32_t kErrorSamples = 20;
constexpr std::uint32_t kFailuresToExclude = 3;
constexpr Duration kFirstBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxBackoffDoublings = 5;
// A slow leaf gets few samples; without decay it would never be tried again.
constexpr Duration kLatencyHalfLife = std::chrono::seconds(10);
// After this time a leaf that stopped replying `draining` is probed like an excluded one.
constexpr Duration kDrainingMemory = std::chrono::seconds(30);
constexpr double kMinRampWeight = 0.05;
constexpr std::uint32_t kLateHold = 250;
constexpr std::uint32_t kShedHold = 300;
constexpr std::uint32_t kPerMille = 1000;

std::int64_t
Ticks(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

/// Drops records that no plan refers to when there are more than aKeep.
void
Prune(std::map<std::string, Ref<LeafHealth>>& aLeafs, std::size_t aKeep)
{
  if (aLeafs.size() <= aKeep) {
    return;
  }
  for (auto it = aLeafs.begin(); it != aLeafs.end();) {
    it = it->second->use_count() == 1 ? aLeafs.erase(it) : std::next(it);
  }
}

} // namespace

LeafHealth::LeafHealth(std::string aServer, std::uint32_t aSlots, std::uint32_t aFactor, TimePoint aNow)
  : server(std::move(aServer))
  , limit(aSlots, aFactor)
  , rampFrom(Ticks(aNow))
{
}

bool
LeafHealth::OnReply(const LeafReply& aReply, bool aCancelled, Duration aWaited, TimePoint aNow)
{
  const std::uint32_t before = this->inFlight.fetch_sub(1, std::memory_order_relaxed);
  YP_INVARIANT(before > 0, "query.leaf_in_flight", this->server);
  bool changed = false;
  if (aReply.fromLeaf) {
    changed = this->LearnVersions(aReply.versions);
    const bool draining = aReply.draining || aReply.reason == NotRunReason::kDraining;
    const std::int64_t until = draining ? Ticks(aNow + kDrainingMemory) : 0;
    changed |= (this->drainingUntil.exchange(until, std::memory_order_relaxed) > Ticks(aNow)) != draining;
  }
  if (aReply.status == AttemptStatus::kAnswered) {
    this->AddSample(aReply.elapsed, false, aNow);
    this->limit.OnAnswer(aReply.elapsed, before, aNow);
    ServiceHealth::Move(this->errorRate, 0, kErrorSamples);
    return this->OnSuccess(aNow) || changed;
  }
  if (aCancelled || aReply.reason == NotRunReason::kCancelled) {
    this->AddSample(aWaited, true, aNow);
    return changed;
  }
  switch (aReply.reason) {
    case NotRunReason::kShed:
    case NotRunReason::kConnectionLimit:
      this->limit.OnShed(aNow);
      ServiceHealth::Move(this->errorRate, kPerMille, kErrorSamples);
      return changed;
    case NotRunReason::kCold:
      this->rampFrom.store(Ticks(aNow), std::memory_order_relaxed);
      ServiceHealth::Move(this->errorRate, kPerMille, kErrorSamples);
      return changed;
    case NotRunReason::kNone:
    case NotRunReason::kConnectFailed:
      ServiceHealth::Move(this->errorRate, kPerMille, kErrorSamples);
      return this->OnFailure(aNow) || changed;
    default:
      return changed;
  }
}

double
LeafHealth::Score(TimePoint aNow) const
{
  const std::int64_t average = this->latency.load(std::memory_order_relaxed);
  const double age = static_cast<double>(Ticks(aNow) - this->lastSample.load(std::memory_order_relaxed)) /
                     static_cast<double>(kLatencyHalfLife.count());
  const double known = static_cast<double>(std::max<std::int64_t>(average, 1)) / (1.0 + std::max(0.0, age));
  const double errors = this->errorRate.load(std::memory_order_relaxed) / static_cast<double>(kPerMille);
  return known * (1.0 + this->InFlight()) * (1.0 + 8.0 * errors);
}

double
LeafHealth::RampWeight(TimePoint aNow, Duration aRamp) const
{
  const auto age = static_cast<double>(Ticks(aNow) - this->rampFrom.load(std::memory_order_relaxed));
  return std::clamp(age / static_cast<double>(aRamp.count()), kMinRampWeight, 1.0);
}

bool
LeafHealth::Draining(TimePoint aNow) const
{
  return this->leaving.load(std::memory_order_relaxed) || this->SaidDraining(aNow);
}

bool
LeafHealth::SaidDraining(TimePoint aNow) const
{
  return this->drainingUntil.load(std::memory_order_relaxed) > Ticks(aNow);
}

LeafObservation
LeafHealth::Observe(TimePoint aNow) const
{
  LeafObservation observation;
  observation.inFlight = this->InFlight();
  observation.limit = this->Limit();
  observation.latency = Duration(this->latency.load(std::memory_order_relaxed));
  observation.draining = this->Draining(aNow);
  observation.excluded = this->Excluded();
  observation.versions = this->Versions();
  return observation;
}

bool
LeafHealth::ProbeDue(TimePoint aNow) const
{
  return this->Excluded() && this->InFlight() == 0 &&
         this->probeAt.load(std::memory_order_relaxed) <= Ticks(aNow);
}

std::vector<IndexVersion>
LeafHealth::Versions() const
{
  const std::lock_guard<std::mutex> guard(this->versionsMutex);
  return this->versions;
}

bool
LeafHealth::LearnVersions(const std::vector<IndexVersion>& aVersions)
{
  std::vector<IndexVersion> sorted = aVersions;
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  const std::lock_guard<std::mutex> guard(this->versionsMutex);
  if (this->versionsEpoch.load(std::memory_order_relaxed) != 0 && sorted == this->versions) {
    return false;
  }
  this->versions = std::move(sorted);
  this->versionsEpoch.fetch_add(1, std::memory_order_release);
  return true;
}

bool
LeafHealth::OnFailure(TimePoint aNow)
{
  if (this->Excluded()) {
    const std::uint32_t count =
      std::min(this->exclusions.load(std::memory_order_relaxed) + 1, kMaxBackoffDoublings);
    this->exclusions.store(count, std::memory_order_relaxed);
    this->probeAt.store(Ticks(aNow + kFirstBackoff * (1LL << count)), std::memory_order_relaxed);
    return false;
  }
  if (this->failures.fetch_add(1, std::memory_order_relaxed) + 1 < kFailuresToExclude) {
    return false;
  }
  this->probeAt.store(Ticks(aNow + kFirstBackoff), std::memory_order_relaxed);
  this->excluded.store(true, std::memory_order_relaxed);
  return true;
}

bool
LeafHealth::OnSuccess(TimePoint aNow)
{
  this->failures.store(0, std::memory_order_relaxed);
  if (!this->excluded.exchange(false, std::memory_order_relaxed)) {
    return false;
  }
  this->exclusions.store(0, std::memory_order_relaxed);
  this->rampFrom.store(Ticks(aNow), std::memory_order_relaxed);
  return true;
}

void
LeafHealth::AddSample(Duration aLatency, bool aLowerBound, TimePoint aNow)
{
  const std::int64_t sample = aLatency.count();
  const std::int64_t average = this->latency.load(std::memory_order_relaxed);
  if (aLowerBound && sample <= average) {
    return;
  }
  const std::int64_t clamped = std::min(sample, std::max<std::int64_t>(average, 1000000) * kSampleClamp);
  const std::int64_t next = average == 0 ? sample : average + (clamped - average) / kLatencySamples;
  this->latency.store(std::max<std::int64_t>(1, next), std::memory_order_relaxed);
  this->lastSample.store(Ticks(aNow), std::memory_order_relaxed);
}

void
ServiceHealth::Move(std::atomic<std::uint32_t>& aValue, std::uint32_t aPerMille, std::uint32_t aSamples)
{
  // Rounds towards the sample, so that the value reaches both 0 and 1000.
  const std::uint32_t value = aValue.load(std::memory_order_relaxed);
  if (aPerMille > value) {
    aValue.store(value + (aPerMille - value + aSamples - 1) / aSamples, std::memory_order_relaxed);
  } else if (aPerMille < value) {
    aValue.store(value - (value - aPerMille + aSamples - 1) / aSamples, std::memory_order_relaxed);
  }
}

bool
ServiceHealth::Holding() const
{
  return this->latePerMille.load(std::memory_order_relaxed) > kLateHold ||
         this->shedPerMille.load(std::memory_order_relaxed) > kShedHold;
}

Ref<ServiceHealth>
HealthMap::Service(const std::string& aService)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  Entry& entry = this->services[aService];
  if (!entry.health) {
    entry.health = new ServiceHealth();
  }
  return entry.health;
}

Ref<LeafHealth>
HealthMap::Leaf(const ServiceSpec& aService, const LeafSpec& aLeaf, TimePoint aNow)
{
  const std::string key = aLeaf.leaf + "|" + aLeaf.server + "|" + aLeaf.endpoint.address + ":" +
                          std::to_string(aLeaf.endpoint.port) + "|" + std::to_string(aLeaf.layout) + "/" +
                          std::to_string(aLeaf.shard);
  const std::lock_guard<std::mutex> guard(this->mutex);
  Entry& entry = this->services[aService.name];
  const auto found = entry.leafs.find(key);
  if (found != entry.leafs.end()) {
    return found->second;
  }
  Prune(entry.leafs, 2 * aService.leafs.size());
  const Ref<LeafHealth> health(new LeafHealth(aLeaf.server, aService.slots, this->slotsFactor, aNow));
  health->SetLeaving(this->leavingServers.count(aLeaf.server) != 0);
  entry.leafs.emplace(key, health);
  return health;
}

void
HealthMap::SetLeavingServers(const std::set<std::string>& aServers)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  this->leavingServers = aServers;
  for (auto& [name, entry] : this->services) {
    bool changed = false;
    for (auto& [key, health] : entry.leafs) {
      changed |= health->SetLeaving(aServers.count(health->Server()) != 0);
    }
    if (changed && entry.health) {
      entry.health->epoch.fetch_add(1);
    }
  }
}

std::set<std::string>
HealthMap::DrainingServers(TimePoint aNow) const
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  std::set<std::string> servers;
  for (const auto& service : this->services) {
    for (const auto& leaf : service.second.leafs) {
      if (leaf.second->SaidDraining(aNow)) {
        servers.insert(leaf.second->Server());
      }
    }
  }
  return servers;
}

std::vector<LeafObservation>
HealthMap::Observe(const std::string& aService, TimePoint aNow) const
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  std::vector<LeafObservation> observations;
  const auto service = this->services.find(aService);
  if (service == this->services.end()) {
    return observations;
  }
  for (const auto& leaf : service->second.leafs) {
    LeafObservation observation = leaf.second->Observe(aNow);
    observation.leaf = leaf.first.substr(0, leaf.first.find('|'));
    observations.push_back(std::move(observation));
  }
  return observations;
}

} // namespace yp
