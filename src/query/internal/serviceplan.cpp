#include "query/internal/serviceplan.h"
#include <algorithm>

namespace yp {

namespace {

// Draining and backoff end by time, without an event that changes the epoch.
constexpr Duration kChoiceLifetime = std::chrono::milliseconds(100);

} // namespace

bool
Replica::Serves(IndexVersion aVersion) const
{
  return std::find(this->versions.begin(), this->versions.end(), aVersion) != this->versions.end();
}

void
Replica::Refresh()
{
  const std::uint64_t epoch = this->health->VersionsEpoch();
  if (epoch != this->versionsEpoch) {
    this->versions = this->health->Versions();
    this->versionsEpoch = epoch;
  }
}

bool
LayoutPlan::Complete() const
{
  return !this->shards.empty() &&
         std::all_of(this->shards.begin(), this->shards.end(), [](const ShardPlan& aShard) {
           return !aShard.replicas.empty();
         });
}

ServicePlan::ServicePlan(Ref<const ServiceSpec> aSpec,
                         HealthMap& aHealth,
                         const std::string& aDomain,
                         TimePoint aNow)
  : spec(std::move(aSpec))
  , health(aHealth.Service(this->spec->name))
{
  std::map<std::pair<LayoutId, ShardId>, std::vector<Replica>> replicas;
  for (const LeafSpec& leaf : this->spec->leafs) {
    Replica replica;
    replica.leaf = &leaf;
    replica.health = aHealth.Leaf(*this->spec, leaf, aNow);
    replica.local = leaf.failureDomain == aDomain;
    replicas[{ leaf.layout, leaf.shard }].push_back(std::move(replica));
  }
  for (const LayoutSpec& layout : this->spec->layouts) {
    LayoutPlan plan;
    plan.layout = layout.layout;
    plan.totalWeight = layout.TotalWeight();
    for (const ShardSpec& shard : layout.shards) {
      plan.shards.push_back(
        ShardPlan{ shard.shard, shard.weight, std::move(replicas[{ layout.layout, shard.shard }]), 0, {} });
    }
    this->layouts.push_back(std::move(plan));
  }
  std::sort(this->layouts.begin(),
            this->layouts.end(),
            [](const LayoutPlan& aLeft, const LayoutPlan& aRight) { return aLeft.layout > aRight.layout; });
}

std::optional<SnapshotChoice>
ServicePlan::Snapshot(TimePoint aNow)
{
  const std::uint64_t epoch = this->health->epoch.load(std::memory_order_acquire);
  if (epoch == this->chosenEpoch && aNow - this->chosenAt < kChoiceLifetime) {
    return this->chosen;
  }
  std::vector<LayoutVersions> view;
  for (LayoutPlan& layout : this->layouts) {
    LayoutVersions versions{ layout.layout, {} };
    for (ShardPlan& shard : layout.shards) {
      ShardVersions part{ shard.weight, {} };
      for (Replica& replica : shard.replicas) {
        replica.Refresh();
        if (!replica.health->Draining(aNow) && !replica.health->Excluded()) {
          part.replicas.push_back(ReplicaVersions{ replica.VersionsKnown(), replica.versions });
        }
      }
      versions.shards.push_back(std::move(part));
    }
    view.push_back(std::move(versions));
  }
  this->chosen = ChooseSnapshot(view);
  this->chosenEpoch = epoch;
  this->chosenAt = aNow;
  this->FindProbes(aNow);
  return this->chosen;
}

LayoutPlan*
ServicePlan::NewestCompleteLayout()
{
  const auto found = std::find_if(
    this->layouts.begin(), this->layouts.end(), [](const LayoutPlan& aLayout) { return aLayout.Complete(); });
  return found == this->layouts.end() ? nullptr : &*found;
}

LayoutPlan*
ServicePlan::Find(LayoutId aLayout)
{
  for (LayoutPlan& layout : this->layouts) {
    if (layout.layout == aLayout) {
      return &layout;
    }
  }
  return nullptr;
}

Replica*
ServicePlan::NextProbe(TimePoint aNow)
{
  while (!this->probes.empty()) {
    Replica* replica = this->probes.back();
    this->probes.pop_back();
    replica->Refresh();
    const bool unknown =
      !replica->VersionsKnown() && !replica->health->Excluded() && replica->health->InFlight() == 0;
    if (!replica->health->Draining(aNow) && (replica->health->ProbeDue(aNow) || unknown)) {
      return replica;
    }
  }
  return nullptr;
}

void
ServicePlan::FindProbes(TimePoint aNow)
{
  this->probes.clear();
  for (LayoutPlan& layout : this->layouts) {
    for (ShardPlan& shard : layout.shards) {
      for (Replica& replica : shard.replicas) {
        if (replica.health->ProbeDue(aNow) || !replica.VersionsKnown()) {
          this->probes.push_back(&replica);
        }
      }
    }
  }
}

} // namespace yp
