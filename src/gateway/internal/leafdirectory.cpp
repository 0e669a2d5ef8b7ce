#include "gateway/leafdirectory.h"
#include <algorithm>

namespace yp {

bool
LeafRegistration::operator==(const LeafRegistration& aOther) const
{
  return this->id == aOther.id && this->service == aOther.service && this->endpoint == aOther.endpoint &&
         this->failureDomain == aOther.failureDomain && this->slots == aOther.slots &&
         this->draining == aOther.draining && this->warmupLeft == aOther.warmupLeft &&
         this->startTimeMs == aOther.startTimeMs;
}

bool
LeafDirectory::Apply(const LeafRegistration& aRegistration)
{
  const auto known = this->byId.find(aRegistration.id);
  if (known != this->byId.end()) {
    LeafHandle& leaf = *known->second;
    if (leaf.registration == aRegistration) {
      return false;
    }
    const bool same = leaf.registration.startTimeMs == aRegistration.startTimeMs &&
                      leaf.registration.service == aRegistration.service &&
                      leaf.registration.endpoint == aRegistration.endpoint;
    if (same) {
      leaf.registration = aRegistration;
      leaf.coldUntil = this->clock.Now() + aRegistration.warmupLeft;
      return true;
    }
    this->Remove(aRegistration.id);
  }
  const Ref<LeafHandle> leaf(new LeafHandle);
  leaf->registration = aRegistration;
  leaf->coldUntil = this->clock.Now() + aRegistration.warmupLeft;
  Ref<LeafHandle>& holder = this->byEndpoint[aRegistration.endpoint];
  if (holder) {
    holder->withdrawn = true;
  }
  holder = leaf;
  this->byId[aRegistration.id] = leaf;
  this->byService[aRegistration.service].push_back(leaf);
  return true;
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
  return true;
}

void
LeafDirectory::Unlink(const Ref<LeafHandle>& aLeaf)
{
  aLeaf->withdrawn = true;
  const auto holder = this->byEndpoint.find(aLeaf->registration.endpoint);
  if (holder != this->byEndpoint.end() && holder->second == aLeaf) {
    this->byEndpoint.erase(holder);
  }
  const auto service = this->byService.find(aLeaf->registration.service);
  if (service == this->byService.end()) {
    return;
  }
  std::vector<Ref<LeafHandle>>& leafs = service->second;
  leafs.erase(std::remove(leafs.begin(), leafs.end(), aLeaf), leafs.end());
  if (leafs.empty()) {
    this->byService.erase(service);
  }
}

const std::vector<Ref<LeafHandle>>&
LeafDirectory::Leafs(const std::string& aService) const
{
  static const std::vector<Ref<LeafHandle>> sNone;
  const auto found = this->byService.find(aService);
  return found == this->byService.end() ? sNone : found->second;
}

} // namespace yp
