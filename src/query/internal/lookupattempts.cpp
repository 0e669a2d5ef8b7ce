#include "query/internal/lookuplimits.h"
#include "query/internal/lookuprunner.h"
#include <algorithm>

namespace yp {

namespace {

// Shorter waits for room are ordinary bursts and no sign of overload.
constexpr Duration kLongWait = std::chrono::milliseconds(20);
constexpr Duration kRetryBackoff = std::chrono::milliseconds(20);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
constexpr std::size_t kMaxWaiting = 1024;
/// \return whether a refused attempt cost the leaf no slot, so that another attempt is no extra load
bool
CostNothing(const LeafReply& aReply)
{
  if (aReply.status != AttemptStatus::kNotRun) {
    return false;
  }
  switch (aReply.reason) {
    case NotRunReason::kVersionNotServed:
    case NotRunReason::kDraining:
    case NotRunReason::kConnectFailed:
    case NotRunReason::kConnectionLimit:
    case NotRunReason::kNoFreeConnection:
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
    case NotRunReason::kConnectionLimit:
    case NotRunReason::kNoFreeConnection:
      return RequestReason::kOverload;
    case NotRunReason::kVersionNotServed:
      return RequestReason::kVersionChanged;
    case NotRunReason::kDeadline:
      return RequestReason::kDeadline;
    default:
      return aReply.status == AttemptStatus::kUnknown ? RequestReason::kConnectionLost
                                                      : RequestReason::kNoReplica;
  }
}

} // namespace

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
  attempt.queueUntil = std::min(aLookup.request.deadline, now + this->node.options.maxQueueWait);
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
      stats.unbudgetedRetries++;
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
      whole ? aLookup.decideBy : std::min(aLookup.decideBy, now + this->node.options.maxQueueWait);
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
  if (this->node.options.hedgePolicy == HedgePolicy::kNone) {
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
    const bool held = this->node.options.limitExtraLoad && aLookup.plan->health->Holding();
    if (held || !this->node.TrySpendExtra(aNow)) {
      this->node.stats.hedgesSuppressed++;
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
  if (part.paid && this->node.options.limitExtraLoad && aLookup.plan->health->Holding()) {
    part.retryAt = aNow + kWaitPoll;
    return;
  }
  const Purpose later = part.freeRetry ? Purpose::kFreeRetry : Purpose::kFirst;
  this->TrySend(aLookup, aPart, part.paid ? Purpose::kRetry : later);
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
    this->node.stats.droppedReplies++;
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
    this->node.stats.mismatchedReplies++;
    LeafReply failure;
    failure.status = AttemptStatus::kUnknown;
    this->OnFailure(aLookup, aPart, failure);
    return;
  }
  if (part.state == PartState::kMerged || !aLookup.merger.Merge(aPart, identity, std::move(*hits))) {
    this->node.stats.droppedReplies++;
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

} // namespace yp
