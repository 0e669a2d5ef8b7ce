#include "gateway/internal/scatterrunner.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// A part is hedged at another leaf after the estimated 90th percentile of the request time, times this
// factor.
constexpr double kHedgeFactor = 1.15;
// Lead before the objective, in typical request times, so that a hedged part is answered in time.
constexpr double kHedgeLeadFactor = 1.5;
constexpr std::uint32_t kMaxUnsent = 3;
// A shard without usable leafs recovers with a new registration or at the end of a leaf's exclusion.
constexpr Duration kShardsRetry = std::chrono::milliseconds(250);
constexpr double kRounding = 1e-9;
// Limits in queries of a route on one node. Normal load needs fewer than the initial minimum (4); the minimum
// (2) keeps a few slow leafs from blocking the route.
constexpr ConcurrencyLimit::Options kRouteLimit{ 4, 2, 64 };

// Bounds the head of a merged answer; a signature of this size still fits into a header field.
constexpr std::size_t kMaxSignatureBytes = 4000;

/// \return whether a signature can stand in a comma-separated list in a header field
bool
IsListable(const std::string& aSignature)
{
  return aSignature.size() <= kMaxSignatureBytes &&
         std::all_of(aSignature.begin(), aSignature.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~' && aCharacter != ',';
         });
}

} // namespace

ScatterRunner::RouteLoad::RouteLoad()
  : limit(kRouteLimit)
{
}

ScatterRunner::ScatterRunner(RunnerContext& aContext, RunnerFinished aFinished)
  : context(aContext)
  , finished(std::move(aFinished))
  , runs(aContext.timers)
{
}

std::optional<GatewayReply>
ScatterRunner::RefusalFor(const RouteSpec& aRoute, std::size_t aRequiredParts, TimePoint aNow)
{
  const auto count = [&](bool (*aPredicate)(const std::vector<Ref<LeafHandle>>&, TimePoint)) {
    return static_cast<std::size_t>(
      std::count_if(aRoute.shards.begin(), aRoute.shards.end(), [&](const std::string& aShard) {
        return aPredicate(this->context.leafs.Leafs(aShard), aNow);
      }));
  };
  const std::size_t withCapacity = count(HasCapacity);
  if (withCapacity < aRequiredParts) {
    const std::optional<TimePoint> returns =
      this->CoverageReturns(aRoute, aRequiredParts - withCapacity, aNow);
    if (returns) {
      GatewayReply refusal = PauseRefusal(*returns, aNow, this->context.random);
      refusal.missing = aRoute.shards.size() - withCapacity;
      return refusal;
    }
    const char* reason = count(HasUsableLeaf) < aRequiredParts ? "shards_unreachable" : "shards_busy";
    GatewayReply refusal = Refusal(reason, kShardsRetry, this->context.random);
    refusal.missing = aRoute.shards.size() - withCapacity;
    return refusal;
  }
  const RouteLoad& load = this->loads[aRoute.name];
  if (!load.limit.Admits(load.inFlight, aNow)) {
    return Refusal("overload", kShardsRetry, this->context.random);
  }
  return std::nullopt;
}

std::optional<TimePoint>
ScatterRunner::CoverageReturns(const RouteSpec& aRoute, std::size_t aMissing, TimePoint aNow) const
{
  std::vector<TimePoint> returns;
  for (const std::string& shard : aRoute.shards) {
    const std::vector<Ref<LeafHandle>>& leafs = this->context.leafs.Leafs(shard);
    const std::optional<TimePoint> earliest = EarliestReturn(leafs, aNow);
    if (earliest && !HasCapacity(leafs, aNow)) {
      returns.push_back(*earliest);
    }
  }
  if (returns.size() < aMissing) {
    return std::nullopt;
  }
  std::sort(returns.begin(), returns.end());
  return returns[aMissing - 1];
}

std::optional<GatewayReply>
ScatterRunner::Start(RunnerRequest aRequest)
{
  const RouteSpec& route = *aRequest.route;
  const TimePoint now = this->context.clock.Now();
  for (const std::string& shard : route.shards) {
    this->context.budget.OnRequest(shard);
  }
  const double share = route.minCoverage * static_cast<double>(route.shards.size());
  const std::size_t requiredParts =
    std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(share - kRounding)));
  std::optional<GatewayReply> refusal = this->RefusalFor(route, requiredParts, now);
  if (refusal) {
    return refusal;
  }
  auto owned = std::make_unique<Run>(route.topRecords);
  owned->request = std::move(aRequest);
  owned->requiredParts = requiredParts;
  owned->parts.resize(route.shards.size());
  Run& run = this->runs.Add(std::move(owned));
  RouteLoad& load = this->loads[route.name];
  load.limit.OnSend(now);
  ++load.inFlight;
  for (std::size_t part = 0; part < run.parts.size(); ++part) {
    if (!this->Send(run, part, CallPurpose::kFirst)) {
      run.parts[part].failed = true;
      ++run.failedCount;
    }
  }
  this->ArmTimer(run, now);
  return std::nullopt;
}

bool
ScatterRunner::Send(Run& aRun, std::size_t aPart, CallPurpose aPurpose)
{
  return SendToLeaf(this->context,
                    aRun.request,
                    aRun.parts[aPart].attempts,
                    aRun.request.route->shards[aPart],
                    aPurpose,
                    false,
                    [this, handle = aRun.request.handle, aPart](std::uint64_t aCall, LeafResult aResult) {
                      this->OnResult(handle, aPart, aCall, std::move(aResult));
                    });
}

void
ScatterRunner::OnResult(std::uint64_t aHandle, std::size_t aPart, std::uint64_t aCall, LeafResult aResult)
{
  Run* found = this->runs.Find(aHandle);
  if (found == nullptr) {
    return;
  }
  Run& run = *found;
  Part& part = run.parts[aPart];
  part.attempts.OnResult(aCall, aResult.outcome);
  if (part.merged) {
    return;
  }
  if (aResult.outcome != LeafOutcome::kAnswered || !this->Merge(run, part, aResult)) {
    this->OnUnanswered(run, aPart, aResult);
  }
  const TimePoint now = this->context.clock.Now();
  if (!this->Decide(run, now)) {
    this->ArmTimer(run, now);
  }
}

bool
ScatterRunner::Merge(Run& aRun, Part& aPart, const LeafResult& aResult)
{
  if (!IsListable(aResult.signature)) {
    ++this->context.stats.partsUnlistable;
    return false;
  }
  // An answer that contains the same signature twice would be invalid.
  if (!aRun.signatures.insert(aResult.signature).second) {
    return false;
  }
  aRun.merge.Add(aResult.response.body);
  aPart.merged = true;
  ++aRun.mergedCount;
  for (const PendingAttempt& pending : aPart.attempts.calls) {
    this->context.sender.Release(pending.call);
  }
  aPart.attempts.calls.clear();
  return true;
}

void
ScatterRunner::OnUnanswered(Run& aRun, std::size_t aPart, const LeafResult& aResult)
{
  Part& part = aRun.parts[aPart];
  if (!part.attempts.calls.empty()) {
    return;
  }
  const bool unsent = WasUnwritten(aResult.outcome);
  if (unsent && ++part.attempts.unsent <= kMaxUnsent && this->Send(aRun, aPart, CallPurpose::kReplacement)) {
    return;
  }
  if (part.attempts.mayHaveRun < aRun.request.route->attempts &&
      this->Send(aRun, aPart, CallPurpose::kExtra)) {
    return;
  }
  part.failed = true;
  ++aRun.failedCount;
  aRun.unloadedCount += aResult.outcome == LeafOutcome::kLost || aResult.notice.pause ? 1 : 0;
}

TimePoint
ScatterRunner::HedgeAt(const Run& aRun, const Part& aPart) const
{
  const RouteTimes& times = *aRun.request.times;
  const auto slow = std::chrono::duration_cast<Duration>(times.High() * kHedgeFactor);
  const auto lead = std::chrono::duration_cast<Duration>(times.Typical() * kHedgeLeadFactor);
  const TimePoint latest = std::max(aPart.attempts.sentAt + times.Typical(), aRun.request.objective - lead);
  return std::min(aPart.attempts.sentAt + slow, latest);
}

void
ScatterRunner::Hedge(Run& aRun, TimePoint aNow)
{
  for (std::size_t index = 0; index < aRun.parts.size(); ++index) {
    Part& part = aRun.parts[index];
    if (part.attempts.hedged || part.attempts.calls.empty() || this->HedgeAt(aRun, part) > aNow) {
      continue;
    }
    part.attempts.hedged = true;
    if (part.attempts.mayHaveRun < aRun.request.route->attempts) {
      this->Send(aRun, index, CallPurpose::kExtra);
    }
  }
}

bool
ScatterRunner::Decide(Run& aRun, TimePoint aNow)
{
  const std::size_t total = aRun.parts.size();
  if (aRun.mergedCount + aRun.failedCount == total || aNow >= aRun.request.objective) {
    if (aRun.mergedCount >= aRun.requiredParts) {
      this->Answer(aRun);
      return true;
    }
  }
  if (total - aRun.failedCount < aRun.requiredParts) {
    this->Fail(aRun, GatewayOutcome::kFailed, "coverage_out_of_reach");
    return true;
  }
  if (aNow >= aRun.request.answerBy) {
    this->Fail(aRun, GatewayOutcome::kTimedOut, aNow < this->context.end ? "timeout" : "stopping");
    return true;
  }
  return false;
}

void
ScatterRunner::ArmTimer(Run& aRun, TimePoint aNow)
{
  // No result makes an earlier wake-up necessary, and the timer is armed again when it fires.
  if (aRun.timer != 0) {
    return;
  }
  TimePoint wake = aRun.request.answerBy;
  if (aRun.request.objective > aNow) {
    wake = std::min(wake, aRun.request.objective);
  }
  for (const Part& part : aRun.parts) {
    if (!part.attempts.hedged && !part.attempts.calls.empty()) {
      wake = std::min(wake, this->HedgeAt(aRun, part));
    }
  }
  aRun.timer = this->context.timers.At(wake, [this, handle = aRun.request.handle] { this->OnTimer(handle); });
}

void
ScatterRunner::OnTimer(std::uint64_t aHandle)
{
  Run* found = this->runs.Find(aHandle);
  if (found == nullptr) {
    return;
  }
  Run& run = *found;
  run.timer = 0;
  const TimePoint now = this->context.clock.Now();
  if (this->Decide(run, now)) {
    return;
  }
  this->Hedge(run, now);
  this->ArmTimer(run, now);
}

void
ScatterRunner::Answer(Run& aRun)
{
  YP_INVARIANT(
    aRun.signatures.size() == aRun.mergedCount, "gateway.one_signature_a_part", aRun.request.message->id);
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kMerged;
  reply.reason = aRun.mergedCount == aRun.parts.size() ? "complete" : "partial";
  reply.signatures.assign(aRun.signatures.begin(), aRun.signatures.end());
  reply.missing = aRun.parts.size() - aRun.mergedCount;
  reply.records = aRun.merge.Take();
  this->context.stats.partsMissing += reply.missing;
  this->Finish(aRun, std::move(reply));
}

void
ScatterRunner::Fail(Run& aRun, GatewayOutcome aOutcome, const char* aReason)
{
  GatewayReply reply;
  reply.outcome = aOutcome;
  reply.reason = aReason;
  reply.missing = aRun.parts.size() - aRun.mergedCount;
  this->Finish(aRun, std::move(reply));
}

void
ScatterRunner::Finish(Run& aRun, GatewayReply aReply)
{
  const std::unique_ptr<Run> run = this->runs.Take(aRun.request.handle);
  for (const Part& part : run->parts) {
    for (const PendingAttempt& pending : part.attempts.calls) {
      this->context.sender.Release(pending.call);
    }
  }
  this->UpdateRouteLimit(*run, aReply.outcome == GatewayOutcome::kMerged);
  this->finished(run->request, std::move(aReply));
}

void
ScatterRunner::UpdateRouteLimit(const Run& aRun, bool aCovered)
{
  const RouteSpec& route = *aRun.request.route;
  RouteLoad& load = this->loads[route.name];
  const bool before = load.limit.Bounded();
  const TimePoint now = this->context.clock.Now();
  // A caller's second attempt may begin after the objective, so only the time of this attempt measures the
  // load.
  const Duration elapsed = now - aRun.request.received;
  const bool inTime = elapsed <= route.objective;
  // Lost answers and pauses alone are no sign of load: the leafs may have free slots, and a pause ends by
  // itself.
  const std::size_t failedForOtherReasons = aRun.failedCount - aRun.unloadedCount;
  const bool coveredButForLosses = aRun.parts.size() - failedForOtherReasons >= aRun.requiredParts;
  if (aCovered && inTime) {
    load.limit.OnInTime(elapsed);
  } else if (!inTime || !coveredButForLosses) {
    load.limit.OnCongested({ aRun.request.received, elapsed, route.objective, load.inFlight }, now);
  }
  --load.inFlight;
  this->context.stats.routeBounds += !before && load.limit.Bounded() ? 1 : 0;
  if (before != load.limit.Bounded()) {
    LogEvent(LogLevel::kInfo,
             "route_limit",
             { { "route", route.name }, { "bounded", !before }, { "window", load.limit.Window() } });
  }
}

void
ScatterRunner::KeepRoutes(const std::set<std::string>& aRoutes)
{
  for (auto load = this->loads.begin(); load != this->loads.end();) {
    const bool needed = aRoutes.count(load->first) != 0 || load->second.inFlight != 0;
    load = needed ? std::next(load) : this->loads.erase(load);
  }
}

void
ScatterRunner::LimitToEnd()
{
  for (const std::uint64_t handle : this->runs.Handles()) {
    Run& run = *this->runs.Find(handle);
    run.request.answerBy = std::min(run.request.answerBy, this->context.end);
    this->context.timers.Cancel(run.timer);
    run.timer = 0;
    this->ArmTimer(run, this->context.clock.Now());
  }
}

void
ScatterRunner::Abandon(std::uint64_t aHandle)
{
  const std::unique_ptr<Run> run = this->runs.Take(aHandle);
  if (!run) {
    return;
  }
  --this->loads[run->request.route->name].inFlight;
  for (const Part& part : run->parts) {
    for (const PendingAttempt& pending : part.attempts.calls) {
      this->context.sender.Cancel(pending.call);
    }
  }
}

} // namespace yp
