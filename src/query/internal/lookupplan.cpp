#include "query/internal/lookuprunner.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::size_t kMaxProbes = 2;
constexpr std::uint32_t kLearningAttempts = 6;

} // namespace

void
LookupRunner::Plan(Lookup& aLookup)
{
  const TimePoint now = this->clock.Now();
  const QueryOptions& options = this->node.options;
  aLookup.plan = this->plans(aLookup.state->FindService(aLookup.request.service));
  aLookup.planned = now;
  aLookup.hedgeDelay = options.fixedHedgeDelay;
  if (options.hedgePolicy == HedgePolicy::kAdaptive) {
    const Duration quantile =
      aLookup.plan->health->latency.Quantile(options.hedgeQuantile, options.fixedHedgeDelay, now);
    aLookup.hedgeDelay = std::max(options.minHedgeDelay, quantile);
  }
  const std::optional<SnapshotChoice> choice = aLookup.plan->Snapshot(now);
  if (!choice) {
    this->BeginLearning(aLookup);
    return;
  }
  this->Pin(aLookup, *aLookup.plan->Find(choice->layout), choice->version);
  this->SendFirstAttempts(aLookup);
}

void
LookupRunner::Pin(Lookup& aLookup, LayoutPlan& aLayout, IndexVersion aVersion)
{
  std::vector<ShardSpec> shards;
  shards.reserve(aLayout.shards.size());
  for (const ShardPlan& shard : aLayout.shards) {
    shards.push_back(ShardSpec{ shard.shard, shard.weight });
  }
  ++aLookup.generation;
  aLookup.learning = false;
  aLookup.layout = &aLayout;
  aLookup.version = aVersion;
  aLookup.merger = PartMerger(aLayout.layout, aVersion, shards);
  aLookup.parts.assign(aLayout.shards.size(), Part{});
  aLookup.failedCount = 0;
}

void
LookupRunner::SendFirstAttempts(Lookup& aLookup)
{
  const bool repeated = aLookup.replans > 0;
  if (!repeated) {
    this->node.budget.AddFirst(static_cast<std::uint32_t>(aLookup.parts.size()),
                               aLookup.state->fleet ? aLookup.state->fleet->extraLoadPercent : 5.0,
                               this->clock.Now());
  }
  for (std::size_t part = 0; part < aLookup.parts.size(); ++part) {
    if (aLookup.parts[part].state == PartState::kIdle) {
      this->TrySend(aLookup, part, repeated ? Purpose::kFirstRepeated : Purpose::kFirst);
    }
  }
  this->SendProbes(aLookup);
}

void
LookupRunner::SendProbes(Lookup& aLookup)
{
  const TimePoint now = this->clock.Now();
  for (std::size_t sent = 0; sent < kMaxProbes; ++sent) {
    Replica* replica = aLookup.plan->NextProbe(now);
    if (replica == nullptr || !this->node.TrySpendExtra(now)) {
      return;
    }
    this->node.stats.probes++;
    AttemptTarget target{ aLookup.plan, replica->leaf->layout, nullptr, 0 };
    for (ShardPlan& shard : aLookup.plan->Find(target.layout)->shards) {
      if (shard.shard == replica->leaf->shard) {
        target.shard = &shard;
        target.replica = static_cast<std::size_t>(replica - shard.replicas.data());
      }
    }
    LeafAttempt attempt;
    attempt.body = aLookup.body;
    attempt.deadline = aLookup.request.deadline;
    attempt.queueUntil = aLookup.request.deadline;
    aLookup.mayHaveRun = true;
    const std::uint64_t id = this->sender.Send(std::move(target), std::move(attempt), nullptr);
    this->sender.CancelAt(id, aLookup.request.deadline);
  }
}

void
LookupRunner::BeginLearning(Lookup& aLookup)
{
  LayoutPlan* layout = aLookup.plan->NewestWhole();
  if (layout == nullptr && !aLookup.plan->layouts.empty()) {
    layout = &aLookup.plan->layouts.front();
  }
  aLookup.learning = true;
  aLookup.layout = layout;
  ++aLookup.generation;
  const std::size_t count = layout == nullptr ? 0 : layout->shards.size();
  aLookup.parts.assign(count, Part{});
  aLookup.learnNext = count == 0 ? 0 : this->random.Below(count);
  aLookup.learnLeft = std::max<std::uint32_t>(kLearningAttempts, static_cast<std::uint32_t>(count));
  this->node.budget.AddFirst(1, 0, this->clock.Now());
  this->SendLearning(aLookup);
}

bool
LookupRunner::SendLearning(Lookup& aLookup)
{
  const TimePoint now = this->clock.Now();
  while (aLookup.learnLeft > 0 && !aLookup.parts.empty()) {
    --aLookup.learnLeft;
    const std::size_t part = aLookup.learnNext++ % aLookup.parts.size();
    const ReplicaNeed need{ std::nullopt, aLookup.parts[part].tried, false };
    const ReplicaChoice choice =
      ChooseReplica(aLookup.layout->shards[part], need, this->node.options, this->random, now);
    if (choice.index >= 0) {
      this->SendAttempt(aLookup, part, static_cast<std::size_t>(choice.index), Purpose::kFirst);
      return true;
    }
  }
  return false;
}

void
LookupRunner::OnLearnt(Lookup& aLookup,
                       const AttemptTarget& aTarget,
                       std::size_t aPart,
                       const LeafReply& aReply)
{
  const std::optional<SnapshotChoice> choice = aLookup.plan->Snapshot(this->clock.Now());
  if (!choice && aReply.status != AttemptStatus::kAnswered) {
    return;
  }
  const LayoutId layout = choice ? choice->layout : aTarget.layout;
  const IndexVersion version = choice ? choice->version : aReply.indexVersion;
  this->CancelAll(aLookup);
  this->Pin(aLookup, *aLookup.plan->Find(layout), version);
  if (aReply.status == AttemptStatus::kAnswered && layout == aTarget.layout &&
      version == aReply.indexVersion) {
    this->OnPart(aLookup, aPart, aTarget, aReply);
  }
  this->SendFirstAttempts(aLookup);
}

bool
LookupRunner::ReplanIfBetter(Lookup& aLookup, std::size_t aPart)
{
  const TimePoint now = this->clock.Now();
  for (Replica& replica : aLookup.layout->shards[aPart].replicas) {
    replica.Refresh();
    if (!replica.health->Draining(now) && replica.MayServe(aLookup.version)) {
      return false;
    }
  }
  if (aLookup.replans >= this->node.options.maxReplans || now + aLookup.hedgeDelay >= aLookup.decideBy) {
    return false;
  }
  const Ref<const TicketState> state = this->tickets();
  const Ref<const ServiceSpec> spec = state ? state->FindService(aLookup.request.service) : nullptr;
  if (!spec) {
    return false;
  }
  const std::optional<SnapshotChoice> choice = this->plans(spec)->Snapshot(now);
  const bool same =
    !choice || (choice->layout == aLookup.layout->layout && choice->version == aLookup.version);
  if (same) {
    return false;
  }
  this->node.stats.replans++;
  ++aLookup.replans;
  this->CancelAll(aLookup);
  aLookup.state = state;
  this->Plan(aLookup);
  return true;
}

} // namespace yp
