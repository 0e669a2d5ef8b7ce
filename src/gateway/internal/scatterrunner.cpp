#include "gateway/internal/scatterrunner.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// A part is repeated at another leaf when it takes this much longer than 9 in 10 do.
constexpr double kHedgeFactor = 1.15;
// Time that a repeated part needs, in usual times, to be in before the objective.
constexpr double kHedgeLeadFactor = 1.5;
constexpr std::uint32_t kMaxUnsent = 3;
// A shard without leafs comes back with a new registration or the end of a leaf's exclusion.
constexpr Duration kShardsRetry = std::chrono::milliseconds(250);
constexpr double kRounding = 1e-9;
// With fewer shards the exchange between the nodes costs as much as the answers of the leafs.
constexpr std::size_t kLeastDelegated = 4;
// Part of a request's extra load that the other node may cause; this one keeps the rest for what comes back
// missing.
constexpr double kDelegateBudget = 0.6;
// Way between two nodes of a region and back, and the wait of both for a turn on a part of a core.
constexpr Duration kLeastDelegationTime = std::chrono::milliseconds(60);
constexpr Duration kDelegateMargin = std::chrono::milliseconds(12);

} // namespace

ScatterRunner::ScatterRunner(RunnerContext& aContext, RunnerFinished aFinished)
  : context(aContext)
  , finished(std::move(aFinished))
{
}

std::optional<GatewayReply>
ScatterRunner::Start(RunnerRequest aRequest)
{
  const RouteSpec& route = *aRequest.route;
  const TimePoint now = this->context.clock.Now();
  std::size_t usable = 0;
  for (const std::string& shard : route.shards) {
    usable += HasUsableLeaf(this->context.leafs.Leafs(shard), now) ? 1 : 0;
  }
  const double share = route.minCoverage * static_cast<double>(route.shards.size());
  const std::size_t needed = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(share - kRounding)));
  if (usable < needed && !aRequest.partial) {
    return Refusal("shards_unreachable", kShardsRetry, this->context.random);
  }
  auto owned = std::make_unique<Run>(route.topRecords);
  Run& run = *owned;
  run.request = std::move(aRequest);
  run.needed = run.request.partial ? 0 : needed;
  run.parts.resize(route.shards.size());
  this->runs.emplace(run.request.handle, std::move(owned));
  for (const std::size_t part : this->Delegate(run, now)) {
    this->SendOrFail(run, part, Purpose::kFirst);
  }
  this->Arm(run, now);
  return std::nullopt;
}

void
ScatterRunner::SendOrFail(Run& aRun, std::size_t aPart, Purpose aPurpose)
{
  if (this->Send(aRun, aPart, aPurpose)) {
    return;
  }
  aRun.parts[aPart].failed = true;
  ++aRun.failedCount;
}

std::vector<std::size_t>
ScatterRunner::Delegate(Run& aRun, TimePoint aNow)
{
  std::vector<bool> delegated(aRun.parts.size(), false);
  const bool timeEnough = aRun.request.objective - aNow >= kLeastDelegationTime;
  const bool wanted = this->context.delegates != nullptr && !aRun.request.partial && timeEnough;
  const auto lead = std::chrono::duration_cast<Duration>(aRun.request.times->Typical() * kHedgeLeadFactor);
  aRun.fallbackAt = aRun.request.objective - lead;
  Candidates candidates = wanted ? this->RemoteParts(aRun, aNow) : Candidates();
  while (!candidates.empty()) {
    const auto most =
      std::max_element(candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.size() < aRight.second.size();
      });
    const std::string domain = most->first;
    const std::vector<std::size_t> parts = std::move(most->second);
    candidates.erase(most);
    if (parts.size() < kLeastDelegated) {
      break;
    }
    if (!this->SendDelegation(aRun, domain, parts, aNow)) {
      continue;
    }
    for (const std::size_t part : parts) {
      delegated[part] = true;
    }
    for (auto& [other, rest] : candidates) {
      rest.erase(
        std::remove_if(rest.begin(), rest.end(), [&](std::size_t aPart) { return delegated[aPart]; }),
        rest.end());
    }
  }
  std::vector<std::size_t> direct;
  for (std::size_t part = 0; part < aRun.parts.size(); ++part) {
    if (!delegated[part]) {
      direct.push_back(part);
    }
  }
  return direct;
}

ScatterRunner::Candidates
ScatterRunner::RemoteParts(const Run& aRun, TimePoint aNow) const
{
  Candidates candidates;
  for (std::size_t part = 0; part < aRun.parts.size(); ++part) {
    std::set<std::string> domains;
    for (const Ref<LeafHandle>& leaf : this->context.leafs.Leafs(aRun.request.route->shards[part])) {
      if (leaf->Open() && !leaf->condition.Excluded(aNow) && !leaf->condition.Silent(aNow)) {
        domains.insert(leaf->spec.failureDomain);
      }
    }
    if (domains.count(this->context.options.failureDomain) != 0) {
      continue;
    }
    for (const std::string& domain : domains) {
      candidates[domain].push_back(part);
    }
  }
  return candidates;
}

bool
ScatterRunner::SendDelegation(Run& aRun,
                              const std::string& aDomain,
                              const std::vector<std::size_t>& aParts,
                              TimePoint aNow)
{
  using std::chrono::milliseconds;
  const RouteSpec& route = *aRun.request.route;
  PartsRequest request;
  request.message = aRun.request.message;
  request.route = route.name;
  for (const std::size_t part : aParts) {
    request.shards.push_back(route.shards[part]);
    this->context.budget.OnRequest(route.shards[part], 1 - kDelegateBudget);
  }
  request.attempts = route.attempts;
  request.topRecords = route.topRecords;
  request.objective = std::chrono::duration_cast<milliseconds>(aRun.fallbackAt - kDelegateMargin - aNow);
  request.patience = std::chrono::duration_cast<milliseconds>(aRun.request.deadline - aNow);
  const std::size_t index = aRun.delegations.size();
  const std::uint64_t number = this->context.delegates->Send(
    aDomain, request, [this, handle = aRun.request.handle, index](IPartDelegates::Result aResult) {
      this->OnDelegated(handle, index, std::move(aResult));
    });
  if (number == 0) {
    return false;
  }
  this->context.stats.partsDelegated += aParts.size();
  aRun.delegations.push_back({ number, aParts });
  return true;
}

void
ScatterRunner::OnDelegated(std::uint64_t aHandle, std::size_t aDelegation, IPartDelegates::Result aResult)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  Delegation& delegation = run.delegations[aDelegation];
  delegation.number = 0;
  if (aResult.reply) {
    this->MergeDelegated(run, delegation.parts, *aResult.reply);
  } else {
    ++this->context.stats.delegationsFailed;
    this->AskDirectly(run, delegation.parts, aResult.sent ? Purpose::kExtra : Purpose::kUnsent);
  }
  const TimePoint now = this->context.clock.Now();
  if (!this->Decide(run, now)) {
    this->Arm(run, now);
  }
}

void
ScatterRunner::MergeDelegated(Run& aRun, const std::vector<std::size_t>& aParts, const PartsReply& aReply)
{
  const std::vector<std::string>& shards = aRun.request.route->shards;
  for (const std::size_t index : aParts) {
    Part& part = aRun.parts[index];
    const auto in = std::find(aReply.shards.begin(), aReply.shards.end(), shards[index]);
    if (in != aReply.shards.end()) {
      part.signature = aReply.signatures[static_cast<std::size_t>(in - aReply.shards.begin())];
      const bool fresh = aRun.signatures.insert(part.signature).second;
      YP_INVARIANT(fresh, "gateway.one_signature_a_part", part.signature);
      part.merged = true;
      ++aRun.mergedCount;
    }
  }
  aRun.merge.Add(aReply.records);
  for (const std::size_t index : aParts) {
    if (!aRun.parts[index].merged) {
      this->AskMissing(aRun, index, aReply.missing);
    }
  }
}

/// Asks for a part that another node has not got, at a leaf that was not tried.
void
ScatterRunner::AskMissing(Run& aRun, std::size_t aPart, const std::vector<MissingPart>& aMissing)
{
  const std::string& shard = aRun.request.route->shards[aPart];
  Part& part = aRun.parts[aPart];
  for (const MissingPart& missing : aMissing) {
    for (const Ref<LeafHandle>& leaf : this->context.leafs.Leafs(shard)) {
      const std::vector<std::string>& tried = missing.triedLeafs;
      if (missing.shard == shard && std::find(tried.begin(), tried.end(), leaf->spec.id) != tried.end()) {
        part.used.push_back(leaf.get());
        part.usedRefs.push_back(leaf);
        ++part.mayHaveRun;
      }
    }
  }
  const bool allowed = part.mayHaveRun < aRun.request.route->attempts;
  const Purpose purpose = part.used.empty() ? Purpose::kUnsent : Purpose::kExtra;
  if (!allowed || !this->Send(aRun, aPart, purpose)) {
    part.failed = true;
    ++aRun.failedCount;
  }
}

void
ScatterRunner::AskDirectly(Run& aRun, const std::vector<std::size_t>& aParts, Purpose aPurpose)
{
  for (const std::size_t part : aParts) {
    this->SendOrFail(aRun, part, aPurpose);
  }
}

void
ScatterRunner::FallBack(Run& aRun)
{
  for (Delegation& delegation : aRun.delegations) {
    if (delegation.number != 0 && !this->context.delegates->Responsive(delegation.number)) {
      // The answers of both ways could not be told apart, so the other node's is given up.
      this->context.delegates->Cancel(delegation.number, true);
      delegation.number = 0;
      ++this->context.stats.delegationsFailed;
      this->AskDirectly(aRun, delegation.parts, Purpose::kExtra);
    }
  }
}

void
ScatterRunner::CancelDelegations(Run& aRun, bool aLate)
{
  for (Delegation& delegation : aRun.delegations) {
    if (delegation.number != 0) {
      this->context.delegates->Cancel(delegation.number, aLate);
      delegation.number = 0;
    }
  }
}

bool
ScatterRunner::Send(Run& aRun, std::size_t aPart, Purpose aPurpose)
{
  const TimePoint now = this->context.clock.Now();
  const std::string& shard = aRun.request.route->shards[aPart];
  Part& part = aRun.parts[aPart];
  const bool extra = aPurpose == Purpose::kExtra;
  const LeafNeed need{ aRun.request.times->Typical(), aRun.request.route->objective, &part.used, extra };
  LeafHandle* leaf =
    ChooseLeaf(this->context.leafs.Leafs(shard), need, this->context.options, this->context.random, now);
  if (leaf == nullptr || leaf->condition.Excluded(now)) {
    return false;
  }
  if (extra && !this->context.TrySpend(shard)) {
    return false;
  }
  aRun.extra += extra ? 1 : 0;
  if (aPurpose == Purpose::kFirst) {
    ++this->context.stats.firstCalls;
    this->context.budget.OnRequest(shard, aRun.request.partial ? kDelegateBudget : 1);
  }
  part.used.push_back(leaf);
  part.usedRefs.emplace_back(leaf);
  part.sentAt = now;
  ++part.mayHaveRun;
  LeafCall call;
  call.leaf = leaf;
  call.request = aRun.request.message;
  call.deadline = aRun.request.deadline;
  part.calls.push_back(this->context.sender.Send(
    std::move(call),
    aRun.request.times,
    [this, handle = aRun.request.handle, aPart](std::uint64_t aCall, LeafResult aResult) {
      this->OnResult(handle, aPart, aCall, std::move(aResult));
    }));
  return true;
}

void
ScatterRunner::OnResult(std::uint64_t aHandle, std::size_t aPart, std::uint64_t aCall, LeafResult aResult)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  Part& part = run.parts[aPart];
  part.calls.erase(std::remove(part.calls.begin(), part.calls.end(), aCall), part.calls.end());
  if (part.merged) {
    return;
  }
  if (aResult.outcome != LeafOutcome::kAnswered || !this->Merge(run, part, aResult)) {
    this->OnUnanswered(run, aPart, aResult);
  }
  const TimePoint now = this->context.clock.Now();
  if (!this->Decide(run, now)) {
    this->Arm(run, now);
  }
}

bool
ScatterRunner::Merge(Run& aRun, Part& aPart, const LeafResult& aResult)
{
  // The same signature twice would make the whole answer wrong.
  if (!aRun.signatures.insert(aResult.signature).second) {
    return false;
  }
  aRun.merge.Add(aResult.response.body);
  aPart.signature = aResult.signature;
  aPart.merged = true;
  ++aRun.mergedCount;
  aRun.failedCount -= aPart.failed ? 1 : 0;
  aPart.failed = false;
  for (const std::uint64_t call : aPart.calls) {
    this->context.sender.Release(call);
  }
  aPart.calls.clear();
  return true;
}

void
ScatterRunner::OnUnanswered(Run& aRun, std::size_t aPart, const LeafResult& aResult)
{
  Part& part = aRun.parts[aPart];
  const bool ran = aResult.outcome == LeafOutcome::kFailed || aResult.outcome == LeafOutcome::kLost ||
                   aResult.outcome == LeafOutcome::kAnswered;
  part.mayHaveRun -= ran ? 0 : 1;
  if (!part.calls.empty()) {
    return;
  }
  const bool unsent = aResult.outcome == LeafOutcome::kNotSent;
  if (unsent && ++part.unsent <= kMaxUnsent && this->Send(aRun, aPart, Purpose::kUnsent)) {
    return;
  }
  if (part.mayHaveRun < aRun.request.route->attempts && this->Send(aRun, aPart, Purpose::kExtra)) {
    return;
  }
  part.failed = true;
  ++aRun.failedCount;
}

TimePoint
ScatterRunner::HedgeAt(const Run& aRun, const Part& aPart) const
{
  const RouteTimes& times = *aRun.request.times;
  const auto slow = std::chrono::duration_cast<Duration>(times.High() * kHedgeFactor);
  const auto lead = std::chrono::duration_cast<Duration>(times.Typical() * kHedgeLeadFactor);
  const TimePoint latest = std::max(aPart.sentAt + times.Typical(), aRun.request.objective - lead);
  return std::min(aPart.sentAt + slow, latest);
}

void
ScatterRunner::Hedge(Run& aRun, TimePoint aNow)
{
  for (std::size_t index = 0; index < aRun.parts.size(); ++index) {
    Part& part = aRun.parts[index];
    if (part.hedged || part.calls.empty() || this->HedgeAt(aRun, part) > aNow) {
      continue;
    }
    part.hedged = true;
    if (part.mayHaveRun < aRun.request.route->attempts) {
      this->Send(aRun, index, Purpose::kExtra);
    }
  }
}

bool
ScatterRunner::Decide(Run& aRun, TimePoint aNow)
{
  const std::size_t total = aRun.parts.size();
  const bool settled = aRun.mergedCount + aRun.failedCount == total;
  if ((settled || aNow >= aRun.request.objective) && aRun.mergedCount >= aRun.needed) {
    this->Answer(aRun);
    return true;
  }
  if (total - aRun.failedCount < aRun.needed) {
    this->Fail(aRun, GatewayOutcome::kFailed, "coverage_out_of_reach");
    return true;
  }
  if (aNow >= aRun.request.answerBy) {
    this->Fail(aRun, GatewayOutcome::kTimedOut, "timeout");
    return true;
  }
  return false;
}

void
ScatterRunner::Arm(Run& aRun, TimePoint aNow)
{
  TimePoint wake = aRun.request.answerBy;
  if (aRun.mergedCount + aRun.failedCount == aRun.parts.size()) {
    wake = aNow;
  }
  const bool delegated = std::any_of(aRun.delegations.begin(),
                                     aRun.delegations.end(),
                                     [](const Delegation& aOther) { return aOther.number != 0; });
  if (delegated && aRun.fallbackAt > aNow) {
    wake = std::min(wake, aRun.fallbackAt);
  }
  if (aRun.request.objective > aNow) {
    wake = std::min(wake, aRun.request.objective);
  }
  for (const Part& part : aRun.parts) {
    if (!part.hedged && !part.calls.empty()) {
      wake = std::min(wake, this->HedgeAt(aRun, part));
    }
  }
  if (aRun.timer != 0 && aRun.timerAt <= wake) {
    return;
  }
  this->context.timers.Cancel(aRun.timer);
  aRun.timerAt = wake;
  aRun.timer = this->context.timers.At(wake, [this, handle = aRun.request.handle] { this->Tick(handle); });
}

void
ScatterRunner::Tick(std::uint64_t aHandle)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  run.timer = 0;
  const TimePoint now = this->context.clock.Now();
  if (this->Decide(run, now)) {
    return;
  }
  if (now >= run.fallbackAt) {
    this->FallBack(run);
  }
  this->Hedge(run, now);
  this->Arm(run, now);
}

void
ScatterRunner::Answer(Run& aRun)
{
  YP_INVARIANT(
    aRun.signatures.size() == aRun.mergedCount, "gateway.one_signature_a_part", aRun.request.message->id);
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kMerged;
  reply.reason = aRun.mergedCount == aRun.parts.size() ? "complete" : "partial";
  for (std::size_t i = 0; i < aRun.parts.size(); ++i) {
    const Part& part = aRun.parts[i];
    const std::string& shard = aRun.request.route->shards[i];
    if (part.merged) {
      reply.signatures.push_back(part.signature);
      reply.shards.push_back(shard);
    } else {
      MissingPart& missing = reply.missingParts.emplace_back();
      missing.shard = shard;
      for (const Ref<LeafHandle>& leaf : part.usedRefs) {
        missing.triedLeafs.push_back(leaf->spec.id);
      }
    }
  }
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
  const auto found = this->runs.find(aRun.request.handle);
  const std::unique_ptr<Run> run = std::move(found->second);
  this->runs.erase(found);
  this->context.timers.Cancel(run->timer);
  this->CancelDelegations(*run, false);
  for (const Part& part : run->parts) {
    for (const std::uint64_t call : part.calls) {
      this->context.sender.Release(call);
    }
  }
  this->finished(run->request, std::move(aReply), run->extra);
}

void
ScatterRunner::Abandon(std::uint64_t aHandle)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  const std::unique_ptr<Run> run = std::move(found->second);
  this->runs.erase(found);
  this->context.timers.Cancel(run->timer);
  this->CancelDelegations(*run, false);
  for (const Part& part : run->parts) {
    for (const std::uint64_t call : part.calls) {
      this->context.sender.Cancel(call);
    }
  }
}

} // namespace yp
