#include "query/internal/lookuprunner.h"
#include <algorithm>

namespace yp {

namespace {

// Rooms that another thread makes are not announced here, so waiting parts look again after this time.
// Admitting fewer lookups helps when many shards are full, not when one shard has lost replicas, so a quarter
// of the parts has to have waited.
constexpr std::size_t kQueuedShare = 4;
constexpr Duration kWaitPoll = std::chrono::milliseconds(5);
constexpr Duration kHedgePoll = std::chrono::milliseconds(2);
constexpr std::uint32_t kMaxHedges = 2;
// Shorter waits for room are ordinary bursts and no sign of overload.
constexpr Duration kLongWait = std::chrono::milliseconds(20);
constexpr Duration kRetryBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
constexpr Duration kMaxDecisionMargin = std::chrono::milliseconds(2);
constexpr int kDecisionMarginDivisor = 20;
constexpr std::size_t kMaxProbes = 2;
constexpr std::uint32_t kLearningAttempts = 6;
constexpr std::uint32_t kLateSamples = 20;
constexpr std::size_t kMaxWaiting = 1024;

/// \return whether a refused attempt cost the leaf no slot, so that another attempt is no extra load
bool
CostNothing(const LeafReply& aReply)
{
  if (aReply.status != AttemptStatus::kNotRun) {
    return false;
  }
  switch (aReply.reason) {
    case NotRunReason::kVersion:
    case NotRunReason::kDraining:
    case NotRunReason::kConnect:
    case NotRunReason::kConnections:
    case NotRunReason::kNoConnection:
      return true;
    default:
      return false;
  }
}

RequestReason
ReasonOf(const LeafReply& aReply)
{
  switch (aReply.reason) {
    case NotRunReason::kShed:
    case NotRunReason::kConnections:
    case NotRunReason::kNoConnection:
      return RequestReason::kOverload;
    case NotRunReason::kVersion:
      return RequestReason::kVersionChanged;
    case NotRunReason::kDeadline:
      return RequestReason::kDeadline;
    default:
      return aReply.status == AttemptStatus::kUnknown ? RequestReason::kConnectionLost
                                                      : RequestReason::kNoReplica;
  }
}

} // namespace

LookupRunner::LookupRunner(QueryNode& aNode,
                           AttemptSender& aSender,
                           const QueryEngineParts& aParts,
                           PlanSource aPlans,
                           Finished aFinished)
  : node(aNode)
  , sender(aSender)
  , timers(aParts.timers)
  , clock(aParts.clock)
  , random(aParts.random)
  , tickets(aParts.tickets)
  , plans(std::move(aPlans))
  , finished(std::move(aFinished))
{
  this->sender.OnRoom([this](const Waiter& aWaiter) { return this->OnRoom(aWaiter); });
}

LookupRunner::~LookupRunner()
{
  for (const auto& [handle, lookup] : this->lookups) {
    this->timers.Cancel(lookup->timer);
  }
}

void
LookupRunner::Start(std::uint64_t aHandle,
                    LookupRequest aRequest,
                    Ref<const TicketState> aState,
                    Ref<const CallerSpec> aCaller)
{
  auto owned = std::make_unique<Lookup>();
  Lookup& lookup = *owned;
  lookup.handle = aHandle;
  lookup.body = R"({"query":)" + aRequest.query + R"(,"limit":)" + std::to_string(aRequest.limit) + "}";
  lookup.request = std::move(aRequest);
  lookup.state = std::move(aState);
  lookup.caller = std::move(aCaller);
  lookup.start = this->clock.Now();
  const Duration margin =
    std::min(kMaxDecisionMargin, (lookup.request.deadline - lookup.start) / kDecisionMarginDivisor);
  lookup.decideBy = lookup.request.deadline - margin;
  this->lookups.emplace(aHandle, std::move(owned));
  this->Plan(lookup);
  if (this->Settled(lookup)) {
    lookup.timerAt = lookup.start;
    lookup.timer = this->timers.At(lookup.start, [this, aHandle] { this->Tick(aHandle); });
    return;
  }
  this->Arm(lookup);
}

void
LookupRunner::Abandon(std::uint64_t aHandle)
{
  Lookup* lookup = this->Find(aHandle);
  if (lookup == nullptr) {
    return;
  }
  this->CancelAll(*lookup);
  this->timers.Cancel(lookup->timer);
  this->lookups.erase(aHandle);
}

void
LookupRunner::Plan(Lookup& aLookup)
{
  const TimePoint now = this->clock.Now();
  const QueryOptions& options = this->node.options;
  aLookup.plan = this->plans(aLookup.state->FindService(aLookup.request.service));
  aLookup.planned = now;
  aLookup.hedgeDelay = options.fixedHedgeDelay;
  if (options.hedge == HedgePolicy::kAdaptive) {
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

void
LookupRunner::TrySend(Lookup& aLookup, std::size_t aPart, Purpose aPurpose)
{
  const TimePoint now = this->clock.Now();
  Part& part = aLookup.parts[aPart];
  const ReplicaNeed need{ aLookup.version, part.tried, false };
  ShardPlan& shard = aLookup.layout->shards[aPart];
  const ReplicaChoice choice = ChooseReplica(shard, need, this->node.options, this->random, now);
  if (choice.index >= 0) {
    if (part.paid && !this->node.TrySpendExtra(now)) {
      this->Wait(aLookup, aPart, now + kWaitPoll);
      return;
    }
    this->SendAttempt(aLookup, aPart, static_cast<std::size_t>(choice.index), aPurpose);
    return;
  }
  if (choice.busy) {
    this->Wait(aLookup, aPart, now);
    part.roomSince = part.roomSince == TimePoint() ? now : part.roomSince;
    if (!part.queued && shard.waiting.size() < kMaxWaiting) {
      part.queued = true;
      shard.waiting.push_back(Waiter{ aLookup.handle, aLookup.generation, aPart });
    }
    return;
  }
  this->FailPart(aLookup, aPart, RequestReason::kNoReplica);
}

void
LookupRunner::SendAttempt(Lookup& aLookup, std::size_t aPart, std::size_t aReplica, Purpose aPurpose)
{
  const TimePoint now = this->clock.Now();
  if (now >= aLookup.request.deadline) {
    return;
  }
  this->CountAttempt(aPurpose);
  Part& part = aLookup.parts[aPart];
  part.waitedLong |= this->WaitedLong(aLookup, part, now);
  part.roomSince = TimePoint();
  part.state = PartState::kSent;
  part.tried |= 1ULL << aReplica;
  if (aPurpose == Purpose::kHedge) {
    ++part.hedges;
  }
  part.sentAt = now;
  LeafAttempt attempt;
  if (!aLookup.learning) {
    attempt.indexVersion = aLookup.version;
  }
  attempt.body = aLookup.body;
  attempt.deadline = aLookup.request.deadline;
  attempt.queueUntil = std::min(aLookup.request.deadline, now + this->node.options.queueWait);
  AttemptTarget target{ aLookup.plan, aLookup.layout->layout, &aLookup.layout->shards[aPart], aReplica };
  const auto done = [this, handle = aLookup.handle, generation = aLookup.generation, aPart](
                      const AttemptTarget& aTarget, std::uint64_t aAttempt, const LeafReply& aReply) {
    this->OnReply(handle, generation, aPart, aTarget, aAttempt, aReply);
  };
  part.attempts.push_back(this->sender.Send(std::move(target), std::move(attempt), done));
}

void
LookupRunner::CountAttempt(Purpose aPurpose)
{
  QueryStats& stats = this->node.stats;
  switch (aPurpose) {
    case Purpose::kFirst:
    case Purpose::kFirstRepeated:
      stats.firstAttempts++;
      break;
    case Purpose::kRetry:
      stats.retries++;
      break;
    case Purpose::kFreeRetry:
      stats.freeRetries++;
      break;
    case Purpose::kHedge:
      stats.hedges++;
      break;
  }
}

void
LookupRunner::Wait(Lookup& aLookup, std::size_t aPart, TimePoint aRetryAt)
{
  Part& part = aLookup.parts[aPart];
  const TimePoint now = this->clock.Now();
  if (part.waitUntil <= now) {
    const bool whole = aLookup.caller->policy == CallerPolicy::kCoverage;
    part.waitUntil =
      whole ? aLookup.decideBy : std::min(aLookup.decideBy, now + this->node.options.queueWait);
  }
  part.state = PartState::kWaiting;
  part.retryAt = aRetryAt;
}

void
LookupRunner::FailPart(Lookup& aLookup, std::size_t aPart, RequestReason aReason)
{
  Part& part = aLookup.parts[aPart];
  if (part.state == PartState::kFailed) {
    return;
  }
  part.state = PartState::kFailed;
  ++aLookup.failedCount;
  aLookup.failure = aReason;
}

void
LookupRunner::Hedge(Lookup& aLookup, TimePoint aNow)
{
  if (!aLookup.hedgeTimeSeen && aNow >= aLookup.planned + aLookup.hedgeDelay) {
    aLookup.hedgeTimeSeen = true;
    const std::size_t late = aLookup.parts.size() - aLookup.merger.MergedCount() - aLookup.failedCount;
    ServiceHealth::Move(
      aLookup.plan->health->latePerMille,
      static_cast<std::uint32_t>(late * 1000 / std::max<std::size_t>(1, aLookup.parts.size())),
      kLateSamples);
  }
  if (this->node.options.hedge == HedgePolicy::kNone) {
    return;
  }
  for (std::size_t index = 0; index < aLookup.parts.size(); ++index) {
    Part& part = aLookup.parts[index];
    if (part.state != PartState::kSent || part.hedges >= kMaxHedges ||
        aNow < part.sentAt + aLookup.hedgeDelay) {
      continue;
    }
    ReplicaNeed need{ aLookup.version, part.tried, true };
    ShardPlan& shard = aLookup.layout->shards[index];
    ReplicaChoice choice = ChooseReplica(shard, need, this->node.options, this->random, aNow);
    if (choice.index < 0 && !choice.busy && part.hedges > 0) {
      // A delay may belong to the attempt and not to the leaf, so the second hedge may repeat a leaf.
      need.tried = 0;
      choice = ChooseReplica(shard, need, this->node.options, this->random, aNow);
    }
    if (choice.index < 0) {
      continue;
    }
    const bool held = this->node.options.budget && aLookup.plan->health->Holding();
    if (held || !this->node.TrySpendExtra(aNow)) {
      this->node.stats.hedgesHeld++;
      continue;
    }
    this->SendAttempt(aLookup, index, static_cast<std::size_t>(choice.index), Purpose::kHedge);
  }
}

void
LookupRunner::RetryWaiting(Lookup& aLookup, std::size_t aPart, TimePoint aNow)
{
  Part& part = aLookup.parts[aPart];
  if (part.state != PartState::kWaiting) {
    return;
  }
  if (aNow >= part.waitUntil) {
    this->FailPart(aLookup, aPart, RequestReason::kOverload);
    return;
  }
  if (aNow < part.retryAt) {
    return;
  }
  if (part.paid && this->node.options.budget && aLookup.plan->health->Holding()) {
    part.retryAt = aNow + kWaitPoll;
    return;
  }
  const Purpose later = part.freeRetry ? Purpose::kFreeRetry : Purpose::kFirst;
  this->TrySend(aLookup, aPart, part.paid ? Purpose::kRetry : later);
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

void
LookupRunner::OnReply(std::uint64_t aHandle,
                      std::uint32_t aGeneration,
                      std::size_t aPart,
                      const AttemptTarget& aTarget,
                      std::uint64_t aAttempt,
                      const LeafReply& aReply)
{
  Lookup* lookup = this->Find(aHandle);
  if (lookup == nullptr || lookup->generation != aGeneration) {
    this->node.stats.dropped++;
    return;
  }
  std::vector<std::uint64_t>& attempts = lookup->parts[aPart].attempts;
  attempts.erase(std::remove(attempts.begin(), attempts.end(), aAttempt), attempts.end());
  lookup->mayHaveRun |= aReply.status != AttemptStatus::kNotRun;
  if (this->clock.Now() >= lookup->request.deadline) {
    this->Decide(*lookup, RequestReason::kDeadline);
    return;
  }
  if (lookup->learning) {
    this->OnLearnt(*lookup, aTarget, aPart, aReply);
    if (lookup->learning && !this->SendLearning(*lookup)) {
      this->Decide(*lookup, ReasonOf(aReply));
      return;
    }
  } else if (aReply.status == AttemptStatus::kAnswered) {
    this->OnPart(*lookup, aPart, aTarget, aReply);
  } else {
    this->OnFailure(*lookup, aPart, aReply);
  }
  if (!this->DecideIfSettled(*lookup)) {
    this->Arm(*lookup);
  }
}

void
LookupRunner::OnPart(Lookup& aLookup,
                     std::size_t aPart,
                     const AttemptTarget& aTarget,
                     const LeafReply& aReply)
{
  Part& part = aLookup.parts[aPart];
  const PartIdentity identity{ aTarget.layout, aTarget.shard->shard, aReply.indexVersion };
  std::optional<std::vector<Hit>> hits;
  if (identity.version == aLookup.version) {
    hits = ParseHits(aReply.body);
  }
  if (!hits) {
    this->node.stats.mismatched++;
    LeafReply failure;
    failure.status = AttemptStatus::kUnknown;
    this->OnFailure(aLookup, aPart, failure);
    return;
  }
  if (part.state == PartState::kMerged || !aLookup.merger.Merge(aPart, identity, std::move(*hits))) {
    this->node.stats.dropped++;
    return;
  }
  aLookup.failedCount -= part.state == PartState::kFailed ? 1 : 0;
  part.state = PartState::kMerged;
  const std::vector<std::uint64_t> others = std::move(part.attempts);
  part.attempts.clear();
  for (const std::uint64_t attempt : others) {
    this->sender.Cancel(attempt);
  }
}

void
LookupRunner::OnFailure(Lookup& aLookup, std::size_t aPart, const LeafReply& aReply)
{
  Part& part = aLookup.parts[aPart];
  if (part.state != PartState::kSent || !part.attempts.empty()) {
    return;
  }
  const TimePoint now = this->clock.Now();
  part.freeRetry = CostNothing(aReply);
  part.paid = !part.freeRetry;
  const ReplicaNeed need{ aLookup.version, part.tried, false };
  ShardPlan& shard = aLookup.layout->shards[aPart];
  const ReplicaChoice choice = ChooseReplica(shard, need, this->node.options, this->random, now);
  if (choice.index >= 0 || choice.busy) {
    this->Wait(aLookup, aPart, now);
    this->RetryWaiting(aLookup, aPart, now);
    return;
  }
  if (this->ReplanIfBetter(aLookup, aPart)) {
    return;
  }
  // All replicas were tried. Shed and lost attempts are worth another round after a pause.
  const ReplicaNeed again{ aLookup.version, 0, false };
  const ReplicaChoice second = ChooseReplica(shard, again, this->node.options, this->random, now);
  if (second.index < 0 && !second.busy) {
    this->FailPart(aLookup, aPart, ReasonOf(aReply));
    return;
  }
  part.tried = 0;
  part.paid = true;
  part.hedges = 0;
  const Duration backoff = kRetryBackoff * (1LL << std::min(part.rounds, kMaxBackoffDoublings));
  ++part.rounds;
  this->Wait(aLookup, aPart, now + backoff);
}

bool
LookupRunner::OnRoom(const Waiter& aWaiter)
{
  Lookup* lookup = this->Find(aWaiter.lookup);
  if (lookup == nullptr || lookup->generation != aWaiter.generation) {
    return false;
  }
  Part& part = lookup->parts[aWaiter.part];
  part.queued = false;
  const TimePoint now = this->clock.Now();
  if (part.state != PartState::kWaiting || now >= lookup->decideBy) {
    return false;
  }
  this->RetryWaiting(*lookup, aWaiter.part, now);
  // A part that found no room has queued itself again, so a further waiter would find none either.
  const bool used = part.state != PartState::kFailed;
  if (!this->DecideIfSettled(*lookup)) {
    this->Arm(*lookup);
  }
  return used;
}

void
LookupRunner::Tick(std::uint64_t aHandle)
{
  Lookup* lookup = this->Find(aHandle);
  if (lookup == nullptr) {
    return;
  }
  lookup->timer = 0;
  const TimePoint now = this->clock.Now();
  if (now >= lookup->decideBy) {
    this->Decide(*lookup, RequestReason::kDeadline);
    return;
  }
  if (lookup->learning) {
    const bool late = now >= lookup->planned + lookup->hedgeDelay;
    if (late && this->node.TrySpendExtra(now)) {
      this->SendLearning(*lookup);
    }
    lookup->planned = late ? now : lookup->planned;
  } else {
    for (std::size_t part = 0; part < lookup->parts.size(); ++part) {
      this->RetryWaiting(*lookup, part, now);
    }
    this->Hedge(*lookup, now);
  }
  if (!this->DecideIfSettled(*lookup) && !this->DecideEarly(*lookup, now)) {
    this->Arm(*lookup);
  }
}

void
LookupRunner::Arm(Lookup& aLookup)
{
  const TimePoint now = this->clock.Now();
  const TimePoint wake = this->NextWake(aLookup, now);
  if (aLookup.timer != 0 && aLookup.timerAt <= wake) {
    return;
  }
  this->timers.Cancel(aLookup.timer);
  aLookup.timerAt = wake;
  aLookup.timer = this->timers.At(wake, [this, handle = aLookup.handle] { this->Tick(handle); });
}

TimePoint
LookupRunner::NextWake(const Lookup& aLookup, TimePoint aNow) const
{
  TimePoint wake = aLookup.decideBy;
  const auto consider = [&wake, aNow](TimePoint aWhen) {
    if (aWhen > aNow) {
      wake = std::min(wake, aWhen);
    }
  };
  consider(aLookup.planned + aLookup.hedgeDelay);
  const TimePoint early = this->EarliestPartial(aLookup);
  consider(early);
  for (const Part& part : aLookup.parts) {
    if (part.state == PartState::kWaiting) {
      consider(std::min(part.waitUntil, std::max(part.retryAt, aNow + kWaitPoll)));
    } else if (part.state == PartState::kSent && part.hedges < kMaxHedges) {
      // A hedge that was due but found no room or budget is tried again.
      consider(std::max(part.sentAt + aLookup.hedgeDelay, aNow + kHedgePoll));
    }
  }
  // Early completion is looked for again while parts are late.
  if (aNow >= early && aLookup.caller->policy == CallerPolicy::kLatency) {
    consider(aNow + kWaitPoll);
  }
  return wake;
}

bool
LookupRunner::Settled(const Lookup& aLookup) const
{
  if (aLookup.learning) {
    return std::all_of(
      aLookup.parts.begin(), aLookup.parts.end(), [](const Part& aPart) { return aPart.attempts.empty(); });
  }
  return aLookup.merger.MergedCount() + aLookup.failedCount >= aLookup.parts.size();
}

bool
LookupRunner::DecideIfSettled(Lookup& aLookup)
{
  if (!this->Settled(aLookup)) {
    return false;
  }
  // Replies that came after a part failed may have shown a snapshot with more coverage.
  if (!aLookup.learning && aLookup.failedCount > 0 && aLookup.failure == RequestReason::kVersionChanged) {
    for (std::size_t part = 0; part < aLookup.parts.size(); ++part) {
      if (aLookup.parts[part].state == PartState::kFailed && this->ReplanIfBetter(aLookup, part)) {
        return false;
      }
    }
  }
  this->Decide(aLookup, aLookup.failure);
  return true;
}

TimePoint
LookupRunner::EarliestPartial(const Lookup& aLookup) const
{
  const QueryOptions& options = this->node.options;
  const auto hedged = std::chrono::duration_cast<Duration>(aLookup.hedgeDelay * options.earlyDelayFactor);
  const auto share =
    std::chrono::duration_cast<Duration>((aLookup.decideBy - aLookup.start) * options.earlyDeadlineShare);
  return std::max(aLookup.planned + hedged, aLookup.start + share);
}

bool
LookupRunner::DecideEarly(Lookup& aLookup, TimePoint aNow)
{
  const QueryOptions& options = this->node.options;
  if (aLookup.learning || aLookup.caller->policy != CallerPolicy::kLatency) {
    return false;
  }
  const double wanted = std::max(options.earlyFraction, aLookup.caller->minCoverage);
  if (aNow < this->EarliestPartial(aLookup) || aLookup.merger.Covered().Fraction() < wanted) {
    return false;
  }
  this->Decide(aLookup, RequestReason::kDeadline);
  return true;
}

void
LookupRunner::Decide(Lookup& aLookup, RequestReason aReason)
{
  RequestAnswer answer;
  bool outstanding = false;
  for (const Part& part : aLookup.parts) {
    outstanding |= !part.attempts.empty();
  }
  const bool inTime = this->clock.Now() < aLookup.request.deadline;
  if (aLookup.learning || aLookup.layout == nullptr || aLookup.merger.MergedCount() == 0 || !inTime) {
    answer.outcome = aLookup.mayHaveRun || outstanding ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
    answer.reason = inTime ? aReason : RequestReason::kDeadline;
    answer.detail = "no part of the answer arrived in time";
    this->Finish(aLookup, std::move(answer));
    return;
  }
  answer.coverage = aLookup.merger.Covered();
  answer.snapshot =
    Snapshot{ aLookup.request.service, aLookup.layout->layout, aLookup.version, aLookup.state->inForce };
  YP_INVARIANT(!answer.coverage.Complete() || aLookup.merger.All(),
               "query.complete_only_with_all_shards",
               aLookup.request.service);
  if (answer.coverage.Fraction() < aLookup.caller->minCoverage) {
    answer.outcome = RequestOutcome::kUnknown;
    answer.reason = RequestReason::kCoverageTooLow;
    answer.detail = "coverage is below the caller's minimum";
    this->Finish(aLookup, std::move(answer));
    return;
  }
  answer.outcome = RequestOutcome::kAnswered;
  answer.hits = aLookup.merger.Take(aLookup.request.limit);
  this->node.stats.partial += answer.coverage.Complete() ? 0 : 1;
  this->Finish(aLookup, std::move(answer));
}

void
LookupRunner::Finish(Lookup& aLookup, RequestAnswer aAnswer)
{
  if (!aLookup.hedgeTimeSeen && aLookup.plan) {
    ServiceHealth::Move(aLookup.plan->health->latePerMille, 0, kLateSamples);
  }
  const std::uint64_t handle = aLookup.handle;
  const TimePoint now = this->clock.Now();
  std::size_t waited = 0;
  for (const Part& part : aLookup.parts) {
    waited += part.waitedLong || this->WaitedLong(aLookup, part, now) ? 1 : 0;
  }
  this->node.shedder.OnEnd(waited * kQueuedShare >= aLookup.parts.size() && waited > 0, now);
  this->node.stats.RecordAnswer(aAnswer, this->clock.Now() - aLookup.start);
  this->CancelAll(aLookup);
  this->timers.Cancel(aLookup.timer);
  this->lookups.erase(handle);
  this->finished(handle, std::move(aAnswer));
}

bool
LookupRunner::WaitedLong(const Lookup& aLookup, const Part& aPart, TimePoint aNow) const
{
  return aPart.roomSince != TimePoint() && aNow - aPart.roomSince > std::max(kLongWait, aLookup.hedgeDelay);
}

void
LookupRunner::CancelAll(Lookup& aLookup)
{
  for (Part& part : aLookup.parts) {
    const std::vector<std::uint64_t> attempts = std::move(part.attempts);
    part.attempts.clear();
    aLookup.mayHaveRun |= !attempts.empty();
    for (const std::uint64_t attempt : attempts) {
      this->sender.Cancel(attempt);
    }
  }
}

LookupRunner::Lookup*
LookupRunner::Find(std::uint64_t aHandle)
{
  const auto found = this->lookups.find(aHandle);
  return found == this->lookups.end() ? nullptr : found->second.get();
}

} // namespace yp
