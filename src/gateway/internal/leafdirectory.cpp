#include "gateway/leafdirectory.h"
#include <algorithm>

namespace yp {

namespace {

// Time after a pause in which the calls to the leaf grow to the number of its slots.
constexpr Duration kReturnTime = std::chrono::milliseconds(500);
constexpr int kReturnSteps = 10;
// A write of an entry may be done seconds after the leaf's last one, and the entry then stands for up to
// three heartbeat intervals.
constexpr Duration kRetention = std::chrono::seconds(60);
// Time in which the registration of a leaf that is gone lapses: three heartbeat intervals of 1.2 s, and a
// margin for the way to this node.
constexpr Duration kCopyLapseTime = std::chrono::seconds(5);
// Ten times the leafs of a large deployment.
constexpr std::size_t kMaxRetired = 4096;

/// \return text that is the same for all registrations of one start of a leaf. A leaf that does not give its
///   start time is identified by its service and address.
std::string
IncarnationKey(const LeafRegistration& aRegistration)
{
  std::string key = aRegistration.id + ' ';
  if (aRegistration.startTimeMs != 0) {
    return key + std::to_string(aRegistration.startTimeMs);
  }
  return key + ToString(aRegistration.endpoint) + ' ' + aRegistration.service;
}

void
Erase(std::vector<Ref<LeafHandle>>& aLeafs, const Ref<LeafHandle>& aLeaf)
{
  aLeafs.erase(std::remove(aLeafs.begin(), aLeafs.end(), aLeaf), aLeafs.end());
}

} // namespace

bool
LeafRegistration::operator==(const LeafRegistration& aOther) const
{
  return this->id == aOther.id && this->service == aOther.service && this->endpoint == aOther.endpoint &&
         this->failureDomain == aOther.failureDomain && this->slots == aOther.slots &&
         this->draining == aOther.draining && this->warmupLeft == aOther.warmupLeft &&
         this->startTimeMs == aOther.startTimeMs;
}

LeafNoticeEffect
LeafHandle::Apply(const LeafNotice& aNotice, const std::string& aRequest, TimePoint aNow)
{
  LeafNoticeEffect effect;
  if (aNotice.leaving && !this->incarnation->leaving) {
    effect.leavingBegan = true;
    this->incarnation->leaving = true;
    LogEvent(LogLevel::kInfo,
             "leaf_leaving",
             { { "leaf", this->registration.id },
               { "service", this->registration.service },
               { "answer_to", aRequest },
               { "in_flight", this->condition.InFlight() } });
  }
  if (aNotice.pause && *aNotice.pause > Duration::zero()) {
    effect.pauseBegan = !this->Paused(aNow);
    const TimePoint end = aNow + *aNotice.pause;
    std::optional<TimePoint>& pausedUntil = this->incarnation->pausedUntil;
    pausedUntil = effect.pauseBegan ? end : std::max(*pausedUntil, end);
  }
  if (effect.pauseBegan) {
    LogEvent(
      LogLevel::kInfo,
      "leaf_paused",
      { { "leaf", this->registration.id },
        { "service", this->registration.service },
        { "answer_to", aRequest },
        { "pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*aNotice.pause).count() } });
  }
  return effect;
}

void
LeafIncarnation::Apply(const LeafRegistration& aRegistration, TimePoint aNow)
{
  if (this->removed) {
    const bool fromCopy = EraOf(aRegistration.revision) > EraOf(this->lastRevision) &&
                          aRegistration.sequence <= this->lastSequence;
    this->removed = false;
    this->heldUntil = fromCopy ? std::make_optional(aNow + kCopyLapseTime) : std::nullopt;
  } else if (aRegistration.sequence > this->lastSequence) {
    this->heldUntil.reset();
  }
  if (aRegistration.draining) {
    this->drainingSequence = std::max(this->drainingSequence, aRegistration.sequence);
  }
  this->lastSequence =
    this->Held(aNow) ? std::max(this->lastSequence, aRegistration.sequence) : aRegistration.sequence;
  this->lastRevision = aRegistration.revision;
}

bool
LeafHandle::TurnsAway(TimePoint aNow) const
{
  if (this->incarnation->Held(aNow)) {
    return true;
  }
  const std::optional<TimePoint>& pausedUntil = this->incarnation->pausedUntil;
  if (!pausedUntil || aNow >= *pausedUntil + kReturnTime) {
    return false;
  }
  if (aNow < *pausedUntil) {
    return true;
  }
  const Duration elapsed = aNow - *pausedUntil;
  const auto allowed = static_cast<std::size_t>(this->registration.slots * elapsed / kReturnTime);
  return this->condition.InFlight() >= std::max<std::size_t>(1, allowed);
}

TimePoint
LeafHandle::ReturnsAt(TimePoint aNow) const
{
  if (!this->Paused(aNow)) {
    return aNow + kReturnTime / kReturnSteps;
  }
  return std::max(this->incarnation->pausedUntil.value_or(aNow), this->incarnation->heldUntil.value_or(aNow));
}

bool
LeafDirectory::Apply(const LeafRegistration& aRegistration)
{
  const auto known = this->byId.find(aRegistration.id);
  if (known != this->byId.end()) {
    LeafHandle& leaf = *known->second;
    const bool restarted = leaf.incarnation->EndedBefore(aRegistration);
    if (leaf.registration == aRegistration && !restarted) {
      SetRegistration(leaf, aRegistration);
      this->UpdateHolder(this->byEndpoint[aRegistration.endpoint]);
      return false;
    }
    const bool same = !restarted && leaf.registration.startTimeMs == aRegistration.startTimeMs &&
                      leaf.registration.service == aRegistration.service &&
                      leaf.registration.endpoint == aRegistration.endpoint;
    if (same) {
      SetRegistration(leaf, aRegistration);
      leaf.coldUntil = this->clock.Now() + aRegistration.warmupLeft;
      this->UpdateHolder(this->byEndpoint[aRegistration.endpoint]);
      return true;
    }
    this->Remove(aRegistration.id);
  }
  const Ref<LeafHandle> leaf(new LeafHandle);
  leaf->incarnation = this->FindIncarnation(aRegistration);
  SetRegistration(*leaf, aRegistration);
  leaf->coldUntil = this->clock.Now() + aRegistration.warmupLeft;
  std::vector<Ref<LeafHandle>>& sharing = this->byEndpoint[aRegistration.endpoint];
  sharing.push_back(leaf);
  this->UpdateHolder(sharing);
  this->byId[aRegistration.id] = leaf;
  this->byService[aRegistration.service].push_back(leaf);
  return true;
}

bool
LeafDirectory::Conflicts(const LeafRegistration& aRegistration) const
{
  const auto found = this->byId.find(aRegistration.id);
  if (found == this->byId.end() || found->second->registration.startTimeMs == 0) {
    return false;
  }
  const LeafRegistration& known = found->second->registration;
  const bool samePlace = known.service == aRegistration.service && known.endpoint == aRegistration.endpoint;
  return aRegistration.startTimeMs == 0 || (known.startTimeMs == aRegistration.startTimeMs && !samePlace);
}

bool
LeafDirectory::Remove(const std::string& aId)
{
  const auto known = this->byId.find(aId);
  if (known == this->byId.end()) {
    return false;
  }
  const Ref<LeafHandle> leaf = known->second;
  this->byId.erase(known);
  this->Unlink(leaf);
  this->Retire(*leaf->incarnation);
  return true;
}

void
LeafDirectory::SetRegistration(LeafHandle& aLeaf, const LeafRegistration& aRegistration)
{
  aLeaf.registration = aRegistration;
  aLeaf.incarnation->Apply(aRegistration, this->clock.Now());
}

Ref<LeafIncarnation>
LeafDirectory::FindIncarnation(const LeafRegistration& aRegistration)
{
  this->ForgetRetired();
  const std::string key = IncarnationKey(aRegistration);
  Ref<LeafIncarnation>& incarnation = this->incarnations[key];
  if (incarnation && incarnation->is_linked()) {
    incarnation->unlink();
    --this->retiredCount;
  }
  if (!incarnation || incarnation->EndedBefore(aRegistration)) {
    incarnation.reset(new LeafIncarnation);
    incarnation->key = key;
  }
  return incarnation;
}

void
LeafDirectory::Retire(LeafIncarnation& aIncarnation)
{
  aIncarnation.removed = true;
  aIncarnation.forgetAt = this->clock.Now() + kRetention;
  this->retired.push_back(aIncarnation);
  ++this->retiredCount;
  this->ForgetRetired();
}

void
LeafDirectory::ForgetRetired()
{
  const TimePoint now = this->clock.Now();
  while (!this->retired.empty()) {
    LeafIncarnation& oldest = this->retired.front();
    const bool excess = this->retiredCount > kMaxRetired;
    if (oldest.forgetAt > now && !excess) {
      return;
    }
    this->retired.pop_front();
    --this->retiredCount;
    if (!excess && oldest.pausedUntil && *oldest.pausedUntil > now) {
      this->Retire(oldest);
      return;
    }
    this->incarnations.erase(oldest.key);
  }
}

void
LeafDirectory::Unlink(const Ref<LeafHandle>& aLeaf)
{
  aLeaf->withdrawn = true;
  const auto sharing = this->byEndpoint.find(aLeaf->registration.endpoint);
  Erase(sharing->second, aLeaf);
  this->UpdateHolder(sharing->second);
  if (sharing->second.empty()) {
    this->byEndpoint.erase(sharing);
  }
  const auto service = this->byService.find(aLeaf->registration.service);
  if (service == this->byService.end()) {
    return;
  }
  Erase(service->second, aLeaf);
  if (service->second.empty()) {
    this->byService.erase(service);
  }
}

bool
LeafDirectory::IsNamed(const std::string& aService) const
{
  return this->services.empty() || this->services.count(aService) != 0;
}

void
LeafDirectory::UpdateHolder(const std::vector<Ref<LeafHandle>>& aSharing)
{
  const LeafHandle* holder = nullptr;
  for (const Ref<LeafHandle>& leaf : aSharing) {
    const bool later = holder == nullptr || leaf->registration.revision >= holder->registration.revision;
    if (later && this->IsNamed(leaf->registration.service)) {
      holder = leaf.get();
    }
  }
  for (const Ref<LeafHandle>& leaf : aSharing) {
    const bool superseded = holder != nullptr && leaf.get() != holder;
    if (leaf->superseded == superseded) {
      continue;
    }
    leaf->superseded = superseded;
    LogEvent(LogLevel::kInfo,
             superseded ? "leaf_superseded" : "leaf_holds_address",
             { { "leaf", leaf->registration.id },
               { "service", leaf->registration.service },
               { "address", ToString(leaf->registration.endpoint) },
               { "revision", PositionText(leaf->registration.revision) },
               { "holder", holder == nullptr ? "" : holder->registration.id } });
  }
}

void
LeafDirectory::SetServices(std::set<std::string> aServices)
{
  this->services = std::move(aServices);
  for (const auto& [endpoint, sharing] : this->byEndpoint) {
    this->UpdateHolder(sharing);
  }
}

std::size_t
LeafDirectory::CountSuperseded() const
{
  return static_cast<std::size_t>(std::count_if(
    this->byId.begin(), this->byId.end(), [](const auto& aLeaf) { return aLeaf.second->superseded; }));
}

const std::vector<Ref<LeafHandle>>&
LeafDirectory::Leafs(const std::string& aService) const
{
  static const std::vector<Ref<LeafHandle>> sNone;
  const auto found = this->byService.find(aService);
  return found == this->byService.end() ? sNone : found->second;
}

} // namespace yp
