#include "gateway/internal/plainrunner.h"
#include <algorithm>

namespace yp {

namespace {

// A request is repeated at another leaf when the first one takes this much longer than 9 in 10 do.
constexpr double kHedgeFactor = 1.3;
constexpr std::uint32_t kMaxUnsent = 4;
// Registrations of new leafs arrive within about this time.
constexpr Duration kNoLeafRetry = std::chrono::milliseconds(400);
constexpr Duration kFullRetry = std::chrono::milliseconds(120);

} // namespace

PlainRunner::PlainRunner(RunnerContext& aContext, RunnerFinished aFinished)
  : context(aContext)
  , finished(std::move(aFinished))
{
}

std::optional<GatewayReply>
PlainRunner::Start(RunnerRequest aRequest, const std::string& aService)
{
  const std::vector<Ref<LeafHandle>>& leafs = this->context.leafs.Leafs(aService);
  this->context.budget.OnRequest(aService);
  if (!HasUsableLeaf(leafs, this->context.clock.Now())) {
    return Refusal(leafs.empty() ? "no_leaf" : "leafs_unreachable", kNoLeafRetry, this->context.random);
  }
  auto owned = std::make_unique<Run>();
  Run& run = *owned;
  run.request = std::move(aRequest);
  run.service = aService;
  const std::uint64_t handle = run.request.handle;
  this->runs.emplace(handle, std::move(owned));
  this->Send(run, Purpose::kFirst);
  this->Arm(run);
  return std::nullopt;
}

bool
PlainRunner::Send(Run& aRun, Purpose aPurpose)
{
  const TimePoint now = this->context.clock.Now();
  const bool hedge = aPurpose == Purpose::kExtra;
  const LeafNeed need{ aRun.request.times->Typical(), aRun.request.route->objective, &aRun.used, hedge };
  LeafHandle* leaf = ChooseLeaf(
    this->context.leafs.Leafs(aRun.service), need, this->context.options, this->context.random, now);
  if (leaf == nullptr || (hedge && !this->context.TrySpend(aRun.service))) {
    return false;
  }
  aRun.extra += hedge ? 1 : 0;
  this->context.stats.firstCalls += aPurpose == Purpose::kFirst ? 1 : 0;
  YP_INVARIANT(aRun.request.route->idempotent || aRun.mayHaveRun == 0,
               "gateway.non_idempotent_once",
               aRun.request.message->id);
  aRun.used.push_back(leaf);
  aRun.usedRefs.emplace_back(leaf);
  aRun.sentAt = now;
  ++aRun.mayHaveRun;
  LeafCall call;
  call.leaf = leaf;
  call.request = aRun.request.message;
  call.deadline = aRun.request.deadline;
  call.freshConnection = !aRun.request.route->idempotent;
  aRun.calls.push_back(
    this->context.sender.Send(std::move(call),
                              aRun.request.times,
                              aPurpose != Purpose::kFirst,
                              [this, handle = aRun.request.handle](std::uint64_t aCall, LeafResult aResult) {
                                this->OnResult(handle, aCall, std::move(aResult));
                              }));
  return true;
}

void
PlainRunner::OnResult(std::uint64_t aHandle, std::uint64_t aCall, LeafResult aResult)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  run.calls.erase(std::remove(run.calls.begin(), run.calls.end(), aCall), run.calls.end());
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
  const bool ran = outcome == LeafOutcome::kFailed || outcome == LeafOutcome::kLost;
  aRun.mayHaveRun -= ran ? 0 : 1;
  if (outcome == LeafOutcome::kFailed) {
    aRun.failure = std::move(aResult.response);
  }
  if (!aRun.calls.empty()) {
    return;
  }
  if (outcome == LeafOutcome::kNotSent && ++aRun.unsent <= kMaxUnsent && this->Send(aRun, Purpose::kUnsent)) {
    this->Arm(aRun);
    return;
  }
  if (this->MayRepeat(aRun, outcome) && this->Send(aRun, Purpose::kExtra)) {
    this->Arm(aRun);
    return;
  }
  this->GiveUp(aRun);
}

bool
PlainRunner::MayRepeat(const Run& aRun, LeafOutcome aOutcome) const
{
  const RouteSpec& route = *aRun.request.route;
  if (aRun.mayHaveRun >= (route.idempotent ? route.attempts : 1)) {
    return false;
  }
  const TimePoint now = this->context.clock.Now();
  // An answer after the caller's deadline helps nobody.
  return aOutcome != LeafOutcome::kFailed || now + aRun.request.times->Typical() < aRun.request.answerBy;
}

void
PlainRunner::GiveUp(Run& aRun)
{
  if (aRun.failure) {
    GatewayReply reply;
    reply.outcome = GatewayOutcome::kPassed;
    reply.response = std::move(*aRun.failure);
    reply.reason = "leaf_failed";
    this->Finish(aRun, std::move(reply));
    return;
  }
  if (aRun.mayHaveRun == 0) {
    this->Finish(aRun, Refusal("leafs_full", kFullRetry, this->context.random));
    return;
  }
  GatewayReply reply;
  reply.outcome = GatewayOutcome::kFailed;
  reply.reason = "answer_lost";
  this->Finish(aRun, std::move(reply));
}

Duration
PlainRunner::HedgeDelay(const Run& aRun) const
{
  return std::chrono::duration_cast<Duration>(aRun.request.times->High() * kHedgeFactor);
}

void
PlainRunner::Arm(Run& aRun)
{
  this->context.timers.Cancel(aRun.timer);
  TimePoint wake = aRun.request.answerBy;
  if (aRun.request.route->idempotent && !aRun.hedged) {
    wake = std::min(wake, aRun.sentAt + this->HedgeDelay(aRun));
  }
  aRun.timer = this->context.timers.At(wake, [this, handle = aRun.request.handle] { this->Tick(handle); });
}

void
PlainRunner::Tick(std::uint64_t aHandle)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = *found->second;
  run.timer = 0;
  const TimePoint now = this->context.clock.Now();
  if (now >= run.request.answerBy) {
    GatewayReply reply;
    reply.outcome = GatewayOutcome::kTimedOut;
    reply.reason = "timeout";
    this->Finish(run, std::move(reply));
    return;
  }
  run.hedged = true;
  if (this->MayRepeat(run, LeafOutcome::kLost)) {
    this->Send(run, Purpose::kExtra);
  }
  this->Arm(run);
}

void
PlainRunner::Finish(Run& aRun, GatewayReply aReply)
{
  const std::uint64_t handle = aRun.request.handle;
  const auto found = this->runs.find(handle);
  const std::unique_ptr<Run> run = std::move(found->second);
  this->runs.erase(found);
  this->context.timers.Cancel(run->timer);
  const bool late = aReply.outcome == GatewayOutcome::kTimedOut;
  for (const std::uint64_t call : run->calls) {
    if (late) {
      this->context.sender.Expire(call);
    } else {
      this->context.sender.Release(call);
    }
  }
  this->finished(run->request, std::move(aReply), run->extra);
}

void
PlainRunner::Abandon(std::uint64_t aHandle)
{
  const auto found = this->runs.find(aHandle);
  if (found == this->runs.end()) {
    return;
  }
  const std::unique_ptr<Run> run = std::move(found->second);
  this->runs.erase(found);
  this->context.timers.Cancel(run->timer);
  for (const std::uint64_t call : run->calls) {
    this->context.sender.Cancel(call);
  }
}

} // namespace yp
