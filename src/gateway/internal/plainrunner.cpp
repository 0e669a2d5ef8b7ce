#include "gateway/internal/plainrunner.h"
#include <algorithm>

namespace yp {

namespace {

// A request is hedged at another leaf after the estimated 90th percentile of the request time, times this
// factor.
constexpr double kHedgeFactor = 1.3;
constexpr std::uint32_t kMaxUnsent = 4;
// New leafs are usually registered within this time.
constexpr Duration kNoLeafRetry = std::chrono::milliseconds(400);
constexpr Duration kLeafsFullRetry = std::chrono::milliseconds(120);

/// \return why a service has no usable leaf, for logs
const char*
ReasonForNoLeaf(const std::vector<Ref<LeafHandle>>& aLeafs)
{
  if (aLeafs.empty()) {
    return "no_leaf";
  }
  const bool accepting = std::any_of(
    aLeafs.begin(), aLeafs.end(), [](const Ref<LeafHandle>& aLeaf) { return aLeaf->AcceptsRequests(); });
  return accepting ? "leafs_unreachable" : "leafs_leaving";
}

} // namespace

PlainRunner::PlainRunner(RunnerContext& aContext, RunnerFinished aFinished)
  : context(aContext)
  , finished(std::move(aFinished))
  , runs(aContext.timers)
{
}

std::optional<GatewayReply>
PlainRunner::Start(RunnerRequest aRequest, const std::string& aService)
{
  const std::vector<Ref<LeafHandle>>& leafs = this->context.leafs.Leafs(aService);
  this->context.budget.OnRequest(aService);
  const TimePoint now = this->context.clock.Now();
  if (!HasUsableLeaf(leafs, now)) {
    const std::optional<TimePoint> returns = EarliestReturn(leafs, now);
    return returns ? PauseRefusal(*returns, now, this->context.random)
                   : Refusal(ReasonForNoLeaf(leafs), kNoLeafRetry, this->context.random);
  }
  auto owned = std::make_unique<Run>();
  owned->request = std::move(aRequest);
  owned->service = aService;
  Run& run = this->runs.Add(std::move(owned));
  this->Send(run, CallPurpose::kFirst);
  this->ArmTimer(run);
  return std::nullopt;
}

bool
PlainRunner::Send(Run& aRun, CallPurpose aPurpose)
{
  return SendToLeaf(this->context,
                    aRun.request,
                    aRun.attempts,
                    aRun.service,
                    aPurpose,
                    true,
                    [this, handle = aRun.request.handle](std::uint64_t aCall, LeafResult aResult) {
                      this->OnResult(handle, aCall, std::move(aResult));
                    });
}

void
PlainRunner::OnResult(std::uint64_t aHandle, std::uint64_t aCall, LeafResult aResult)
{
  Run* found = this->runs.Find(aHandle);
  if (found == nullptr) {
    return;
  }
  Run& run = *found;
  run.attempts.OnResult(aCall, aResult.outcome);
  if (aResult.outcome == LeafOutcome::kAnswered) {
    GatewayReply reply;
    reply.outcome = GatewayOutcome::kPassed;
    reply.response = std::move(aResult.response);
    reply.reason = "answered";
    this->Finish(run, std::move(reply));
    return;
  }
  this->OnUnanswered(run, std::move(aResult));
}

void
PlainRunner::OnUnanswered(Run& aRun, LeafResult aResult)
{
  const LeafOutcome outcome = aResult.outcome;
  if (outcome == LeafOutcome::kFailed) {
    aRun.failure = std::move(aResult.response);
  }
  if (!aRun.attempts.calls.empty()) {
    return;
  }
  if (WasUnwritten(outcome) && ++aRun.attempts.unsent <= kMaxUnsent &&
      this->Send(aRun, CallPurpose::kReplacement)) {
    this->ArmTimer(aRun);
    return;
  }
  if (this->MayRepeat(aRun, outcome) && this->Send(aRun, CallPurpose::kExtra)) {
    this->ArmTimer(aRun);
    return;
  }
  this->FinishUnanswered(aRun);
}

bool
PlainRunner::MayRepeat(const Run& aRun, LeafOutcome aOutcome) const
{
  const RouteSpec& route = *aRun.request.route;
  if (aRun.attempts.mayHaveRun >= (route.idempotent ? route.attempts : 1)) {
    return false;
  }
  const TimePoint now = this->context.clock.Now();
  // After a failure, repeat only if an answer can be expected before the caller's deadline.
  return aOutcome != LeafOutcome::kFailed || now + aRun.request.times->Typical() < aRun.request.answerBy;
}

void
PlainRunner::FinishUnanswered(Run& aRun)
{
  if (aRun.failure) {
    GatewayReply reply;
    reply.outcome = GatewayOutcome::kPassed;
    reply.response = std::move(*aRun.failure);
    reply.reason = "leaf_failed";
    this->Finish(aRun, std::move(reply));
    return;
  }
  if (aRun.attempts.mayHaveRun == 0) {
    this->Finish(aRun, this->RefusalForUnsent(aRun));
    return;
  }
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kFailed;
  reply.reason = "answer_lost";
  this->Finish(aRun, std::move(reply));
}

GatewayReply
PlainRunner::RefusalForUnsent(const Run& aRun) const
{
  const TimePoint now = this->context.clock.Now();
  if (!this->context.CanAnswer(*aRun.request.times, now)) {
    return Refusal("stopping", kStoppingRetry, this->context.random);
  }
  const std::vector<Ref<LeafHandle>>& leafs = this->context.leafs.Leafs(aRun.service);
  const std::optional<TimePoint> returns = EarliestReturn(leafs, now);
  if (returns && !HasUsableLeaf(leafs, now)) {
    return PauseRefusal(*returns, now, this->context.random);
  }
  return Refusal("leafs_full", kLeafsFullRetry, this->context.random);
}

Duration
PlainRunner::HedgeDelay(const Run& aRun) const
{
  return std::chrono::duration_cast<Duration>(aRun.request.times->High() * kHedgeFactor);
}

void
PlainRunner::ArmTimer(Run& aRun)
{
  this->context.timers.Cancel(aRun.timer);
  TimePoint wake = aRun.request.answerBy;
  if (aRun.request.route->idempotent && !aRun.attempts.hedged) {
    wake = std::min(wake, aRun.attempts.sentAt + this->HedgeDelay(aRun));
  }
  aRun.timer = this->context.timers.At(wake, [this, handle = aRun.request.handle] { this->OnTimer(handle); });
}

void
PlainRunner::OnTimer(std::uint64_t aHandle)
{
  Run* found = this->runs.Find(aHandle);
  if (found == nullptr) {
    return;
  }
  Run& run = *found;
  run.timer = 0;
  const TimePoint now = this->context.clock.Now();
  if (now >= run.request.answerBy) {
    this->OnTimeout(run);
    return;
  }
  run.attempts.hedged = true;
  if (this->MayRepeat(run, LeafOutcome::kLost)) {
    this->Send(run, CallPurpose::kExtra);
  }
  this->ArmTimer(run);
}

void
PlainRunner::OnTimeout(Run& aRun)
{
  aRun.attempts.WithdrawUnwritten(this->context.sender);
  if (aRun.attempts.mayHaveRun == 0) {
    this->FinishUnanswered(aRun);
    return;
  }
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kTimedOut;
  reply.reason = this->context.clock.Now() < this->context.end ? "timeout" : "stopping";
  this->Finish(aRun, std::move(reply));
}

void
PlainRunner::LimitToEnd()
{
  for (const std::uint64_t handle : this->runs.Handles()) {
    Run& run = *this->runs.Find(handle);
    run.request.answerBy = std::min(run.request.answerBy, this->context.end);
    this->ArmTimer(run);
  }
}

void
PlainRunner::RefuseWaiting()
{
  const TimePoint now = this->context.clock.Now();
  for (const std::uint64_t handle : this->runs.Handles()) {
    // An earlier answer may have made its caller leave, and with it a request further on.
    Run* run = this->runs.Find(handle);
    if (run == nullptr || this->context.CanAnswer(*run->request.times, now)) {
      continue;
    }
    run->attempts.WithdrawUnwritten(this->context.sender);
    if (run->attempts.calls.empty()) {
      this->FinishUnanswered(*run);
    }
  }
}

void
PlainRunner::Finish(Run& aRun, GatewayReply aReply)
{
  const std::unique_ptr<Run> run = this->runs.Take(aRun.request.handle);
  const bool late = aReply.outcome == GatewayOutcome::kTimedOut;
  for (const PendingAttempt& pending : run->attempts.calls) {
    if (late) {
      this->context.sender.Expire(pending.call);
    } else {
      this->context.sender.Release(pending.call);
    }
  }
  this->finished(run->request, std::move(aReply));
}

void
PlainRunner::Abandon(std::uint64_t aHandle)
{
  const std::unique_ptr<Run> run = this->runs.Take(aHandle);
  if (!run) {
    return;
  }
  for (const PendingAttempt& pending : run->attempts.calls) {
    this->context.sender.Cancel(pending.call);
  }
}

} // namespace yp
