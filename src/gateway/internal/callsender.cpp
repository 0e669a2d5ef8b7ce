#include "gateway/internal/callsender.h"
#include <algorithm>
#include <vector>

namespace yp {

namespace {

// Longer than a leaf's pause, shorter than the 0.5 s after which work on an abandoned request counts
// as waste.
constexpr Duration kReleasedTimeout = std::chrono::milliseconds(400);
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);

} // namespace

CallSender::CallSender(const GatewayParts& aParts, LogBudget& aLog, GatewayStats& aStats)
  : exchange(aParts.exchange)
  , timers(aParts.timers)
  , clock(aParts.clock)
  , log(aLog)
  , stats(aStats)
{
}

CallSender::~CallSender()
{
  this->timers.Cancel(this->sweepTimer);
}

std::uint64_t
CallSender::Send(LeafCall aCall,
                 Ref<RouteTimes> aTimes,
                 Duration aLatencyTarget,
                 bool aRepeated,
                 Handler aHandler)
{
  const std::uint64_t id = ++this->lastId;
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.id = id;
  call.leaf = aCall.leaf;
  call.times = std::move(aTimes);
  call.expected = call.times->Typical();
  call.request = aCall.request;
  call.latencyTarget = aLatencyTarget;
  call.repeated = aRepeated;
  call.handler = std::move(aHandler);
  const TimePoint now = this->clock.Now();
  call.leaf->condition.OnSend(call, now);
  call.leaf->limit.OnSend(now);
  this->calls.emplace(id, std::move(owned));
  aCall.id = id;
  this->exchange.Send(std::move(aCall),
                      [this, id](LeafResult aResult) { this->OnResult(id, std::move(aResult)); });
  return id;
}

void
CallSender::Release(std::uint64_t aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = *found->second;
  call.handler = nullptr;
  call.releasedAt = this->clock.Now();
  ++this->released;
  if (call.releasedAt - call.sentAt > call.latencyTarget) {
    this->UpdateLimit(call, call.releasedAt - call.sentAt, call.releasedAt);
  }
  if (call.leaf->limit.BelowOneCall()) {
    // The released call would take capacity from requests that still need this leaf.
    this->Cancel(aCall);
    return;
  }
  this->ArmSweep();
}

std::unique_ptr<CallSender::Call>
CallSender::Take(std::uint64_t aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return nullptr;
  }
  std::unique_ptr<Call> call = std::move(found->second);
  this->calls.erase(found);
  this->released -= call->handler ? 0 : 1;
  call->unlink();
  return call;
}

void
CallSender::Cancel(std::uint64_t aCall)
{
  const std::unique_ptr<Call> call = this->Take(aCall);
  if (!call) {
    return;
  }
  call->leaf->condition.OnCancelled();
  this->exchange.Cancel(aCall);
}

bool
CallSender::Withdraw(std::uint64_t aCall)
{
  if (!this->exchange.Withdraw(aCall)) {
    return false;
  }
  const std::unique_ptr<Call> call = this->Take(aCall);
  if (call) {
    call->leaf->condition.OnCancelled();
  }
  return true;
}

void
CallSender::Expire(std::uint64_t aCall)
{
  const std::unique_ptr<Call> call = this->Take(aCall);
  if (!call) {
    return;
  }
  const TimePoint now = this->clock.Now();
  call->leaf->condition.OnUnreachable(call->sentAt, now);
  this->UpdateLimit(*call, now - call->sentAt, now);
  this->Log(*call, "no_answer", now - call->sentAt, {});
  this->exchange.Expire(aCall);
}

void
CallSender::OnResult(std::uint64_t aCall, LeafResult aResult)
{
  const std::unique_ptr<Call> call = this->Take(aCall);
  if (!call) {
    return;
  }
  this->UpdateCondition(*call, aResult);
  if (aResult.outcome != LeafOutcome::kAnswered || call->repeated) {
    this->Log(*call, ToString(aResult.outcome), this->clock.Now() - call->sentAt, aResult.error);
  }
  if (call->handler) {
    call->handler(aCall, std::move(aResult));
  }
}

void
CallSender::UpdateCondition(Call& aCall, const LeafResult& aResult)
{
  const TimePoint now = this->clock.Now();
  LeafCondition& condition = aCall.leaf->condition;
  if (aResult.notice.pause) {
    condition.OnTurnedAway(now);
    return;
  }
  switch (aResult.outcome) {
    case LeafOutcome::kAnswered:
      aCall.times->Add(aResult.elapsed);
      condition.OnAnswer(aResult.elapsed, aCall.expected, now);
      this->UpdateLimit(aCall, now - aCall.sentAt, now);
      return;
    case LeafOutcome::kNotRun:
      condition.OnFailure(now);
      this->UpdateLimit(aCall, Duration::zero(), now);
      return;
    case LeafOutcome::kFailed:
      condition.OnFailure(now);
      return;
    case LeafOutcome::kMisdirected:
      condition.OnMisdirected(now);
      return;
    case LeafOutcome::kNotSent:
      condition.OnUnreachable(aCall.sentAt, now);
      return;
    case LeafOutcome::kHeldBack:
      condition.OnCancelled();
      return;
    case LeafOutcome::kLost:
      condition.OnAnswerLost(aCall.sentAt, now);
      return;
  }
}

void
CallSender::UpdateLimit(const Call& aCall, Duration aElapsed, TimePoint aNow)
{
  if (aCall.latencyTarget <= Duration::zero()) {
    return;
  }
  LeafHandle& leaf = *aCall.leaf;
  const bool before = leaf.limit.Bounded();
  if (aElapsed > Duration::zero() && aElapsed <= aCall.latencyTarget) {
    leaf.limit.OnInTime(aElapsed);
  } else {
    // The call has already been removed from the leaf's calls in flight, so it is added here.
    leaf.limit.OnCongested({ aCall.sentAt, aElapsed, aCall.latencyTarget, leaf.condition.InFlight() + 1 },
                           aNow);
  }
  this->stats.leafBounds += !before && leaf.limit.Bounded() ? 1 : 0;
  if (before != leaf.limit.Bounded() && this->log.Take(true)) {
    LogEvent(LogLevel::kInfo,
             "leaf_limit",
             { { "leaf", leaf.registration.id },
               { "service", leaf.registration.service },
               { "bounded", !before },
               { "window", leaf.limit.Window() } });
  }
}

void
CallSender::Log(const Call& aCall, const char* aOutcome, Duration aElapsed, const Error& aError)
{
  if (!this->log.Take(true)) {
    return;
  }
  const LeafCondition& condition = aCall.leaf->condition;
  const TimePoint now = this->clock.Now();
  const auto milliseconds = [](Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  };
  LogEvent(
    LogLevel::kInfo,
    "leaf_call",
    { { "id", aCall.request->id },
      { "leaf", aCall.leaf->registration.id },
      { "service", aCall.leaf->registration.service },
      { "outcome", aOutcome },
      { "repeated", aCall.repeated ? 1 : 0 },
      { "wanted", aCall.handler ? 1 : 0 },
      { "elapsed_ms", milliseconds(aElapsed) },
      { "in_flight", condition.InFlight() },
      { "window", aCall.leaf->limit.Bounded() ? aCall.leaf->limit.Window() : 0 },
      { "excluded_ms", milliseconds(std::max(Duration::zero(), Duration(condition.ExcludedUntil() - now))) },
      { "step", aError.step },
      { "detail", aError.detail } });
}

void
CallSender::ArmSweep()
{
  if (this->sweepTimer == 0) {
    this->sweepTimer = this->timers.At(this->clock.Now() + kSweepInterval, [this] { this->Sweep(); });
  }
}

void
CallSender::Sweep()
{
  this->sweepTimer = 0;
  const TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, call] : this->calls) {
    if (!call->handler && now - call->releasedAt >= kReleasedTimeout) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->Expire(id);
  }
  if (this->released > 0) {
    this->ArmSweep();
  }
}

} // namespace yp
