#include "query/internal/lookuprunner.h"
#include "query/internal/lookuplimits.h"
#include <algorithm>

namespace yp {

namespace {

// The node lowers its limit only when at least a quarter of the parts waited: admitting fewer lookups helps
// when many shards are full, not when one shard has lost replicas.
constexpr std::size_t kQueuedPartsDivisor = 4;
constexpr Duration kHedgePollInterval = std::chrono::milliseconds(2);
constexpr Duration kMaxDecisionMargin = std::chrono::milliseconds(2);
constexpr int kDecisionMarginDivisor = 20;

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
  this->sender.SetCapacityHandler([this](const Waiter& aWaiter) { return this->OnCapacity(aWaiter); });
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
    lookup.timer = this->timers.At(lookup.start, [this, aHandle] { this->OnTimer(aHandle); });
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
LookupRunner::OnTimer(std::uint64_t aHandle)
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
  if (lookup->discovering) {
    const bool late = now >= lookup->planned + lookup->hedgeDelay;
    if (late && this->node.TrySpendExtra(now)) {
      this->SendDiscovery(*lookup);
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
  aLookup.timer = this->timers.At(wake, [this, handle = aLookup.handle] { this->OnTimer(handle); });
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
      consider(std::min(part.waitUntil, std::max(part.retryAt, aNow + kWaitPollInterval)));
    } else if (part.state == PartState::kSent && part.hedges < kMaxHedges) {
      // A due hedge that found no capacity or budget is retried.
      consider(std::max(part.sentAt + aLookup.hedgeDelay, aNow + kHedgePollInterval));
    }
  }
  // Checks repeatedly whether the lookup can end early while parts are late.
  if (aNow >= early && aLookup.caller->policy == CallerPolicy::kLatency) {
    consider(aNow + kWaitPollInterval);
  }
  return wake;
}

bool
LookupRunner::Settled(const Lookup& aLookup) const
{
  if (aLookup.discovering) {
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
  // Replies received after a part failed may allow a snapshot with more coverage.
  if (!aLookup.discovering && aLookup.failedCount > 0 && aLookup.failure == RequestReason::kVersionChanged) {
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
  const auto hedged = std::chrono::duration_cast<Duration>(aLookup.hedgeDelay * options.earlyMinHedgeDelays);
  const auto share = std::chrono::duration_cast<Duration>((aLookup.decideBy - aLookup.start) *
                                                          options.earlyMinDeadlineFraction);
  return std::max(aLookup.planned + hedged, aLookup.start + share);
}

bool
LookupRunner::DecideEarly(Lookup& aLookup, TimePoint aNow)
{
  const QueryOptions& options = this->node.options;
  if (aLookup.discovering || aLookup.caller->policy != CallerPolicy::kLatency) {
    return false;
  }
  const double wanted = std::max(options.earlyMinCoverage, aLookup.caller->minCoverage);
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
  if (aLookup.discovering || aLookup.layout == nullptr || aLookup.merger.MergedCount() == 0 || !inTime) {
    answer.outcome = aLookup.mayHaveRun || outstanding ? RequestOutcome::kUnknown : RequestOutcome::kNotRun;
    answer.reason = inTime ? aReason : RequestReason::kDeadline;
    answer.detail = "no part of the answer arrived in time";
    this->Finish(aLookup, std::move(answer));
    return;
  }
  answer.coverage = aLookup.merger.Covered();
  answer.snapshot =
    Snapshot{ aLookup.request.service, aLookup.layout->layout, aLookup.version, aLookup.state->inForce };
  YP_INVARIANT(!answer.coverage.Complete() || aLookup.merger.AllMerged(),
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
  answer.hits = aLookup.merger.TakeBest(aLookup.request.limit);
  this->node.stats.partialAnswers += answer.coverage.Complete() ? 0 : 1;
  this->Finish(aLookup, std::move(answer));
}

void
LookupRunner::Finish(Lookup& aLookup, RequestAnswer aAnswer)
{
  if (!aLookup.hedgeTimeSeen && aLookup.plan) {
    ServiceHealth::UpdateEwma(aLookup.plan->health->latePerMille, 0, kLateSamples);
  }
  const std::uint64_t handle = aLookup.handle;
  const TimePoint now = this->clock.Now();
  std::size_t waited = 0;
  for (const Part& part : aLookup.parts) {
    waited += part.waitedLong || this->WaitedLong(aLookup, part, now) ? 1 : 0;
  }
  this->node.shedder.OnLookupEnd(waited * kQueuedPartsDivisor >= aLookup.parts.size() && waited > 0, now);
  this->node.stats.RecordAnswer(aAnswer, this->clock.Now() - aLookup.start);
  this->CancelAll(aLookup);
  this->timers.Cancel(aLookup.timer);
  this->lookups.erase(handle);
  this->finished(handle, std::move(aAnswer));
}

LookupRunner::Lookup*
LookupRunner::Find(std::uint64_t aHandle)
{
  const auto found = this->lookups.find(aHandle);
  return found == this->lookups.end() ? nullptr : found->second.get();
}

} // namespace yp
