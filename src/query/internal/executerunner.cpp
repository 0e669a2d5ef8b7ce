#include "query/internal/executerunner.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

// Time after the deadline to wait for the outcome of an attempt; a later reply is not expected.
constexpr Duration kOutcomeTimeout = std::chrono::seconds(5);
constexpr Duration kCapacityPollInterval = std::chrono::milliseconds(5);

/// \return the result as JSON text; none when the body is not a JSON object with a member "result"
std::optional<std::string>
ParseResult(const std::string& aBody)
{
  return Recover(
    [&]() -> Result<std::optional<std::string>> {
      BOOST_LEAF_AUTO(value, ParseJson(aBody));
      if (!value.is_object() || !value.contains("result")) {
        return std::optional<std::string>();
      }
      return std::optional<std::string>(value["result"].dump());
    },
    [](const Error&) { return std::optional<std::string>(); });
}

} // namespace

ExecuteRunner::ExecuteRunner(QueryNode& aNode,
                             AttemptSender& aSender,
                             const QueryEngineParts& aParts,
                             Finished aFinished)
  : node(aNode)
  , sender(aSender)
  , timers(aParts.timers)
  , clock(aParts.clock)
  , random(aParts.random)
  , requests(aParts.requests)
  , finished(std::move(aFinished))
{
}

ExecuteRunner::~ExecuteRunner()
{
  for (const auto& [handle, execution] : this->executions) {
    this->timers.Cancel(execution->timer);
  }
}

void
ExecuteRunner::Start(std::uint64_t aHandle,
                     ExecuteRequest aRequest,
                     Ref<ServicePlan> aPlan,
                     TicketNumber aTicket)
{
  auto owned = std::make_unique<Execution>();
  Execution& execution = *owned;
  execution.handle = aHandle;
  execution.body = R"({"key":)" + Json(aRequest.key).dump() + R"(,"body":)" + aRequest.body + "}";
  execution.request = std::move(aRequest);
  execution.plan = std::move(aPlan);
  execution.ticket = aTicket;
  execution.start = this->clock.Now();
  execution.layout = execution.plan->NewestCompleteLayout();
  if (execution.layout != nullptr) {
    const std::uint64_t index = Hash64(execution.request.key) % execution.layout->shards.size();
    execution.shard = &execution.layout->shards[index];
  }
  this->executions.emplace(aHandle, std::move(owned));
  this->node.budget.AddFirst(1, 0, execution.start);
  this->ArmAt(execution, execution.start);
}

void
ExecuteRunner::Abandon(std::uint64_t aHandle)
{
  Execution* execution = this->Find(aHandle);
  if (execution == nullptr) {
    return;
  }
  execution->notified = true;
  if (execution->attempt == 0) {
    this->Finish(*execution,
                 MakeAnswer(RequestOutcome::kNotRun, RequestReason::kConnectionLost, "the caller has gone"));
  }
}

void
ExecuteRunner::TrySend(Execution& aExecution)
{
  const TimePoint now = this->clock.Now();
  if (now >= aExecution.request.deadline) {
    this->Finish(
      aExecution,
      MakeAnswer(RequestOutcome::kNotRun, RequestReason::kDeadline, "not written before the deadline"));
    return;
  }
  if (aExecution.shard == nullptr) {
    this->Finish(
      aExecution,
      MakeAnswer(RequestOutcome::kNotRun, RequestReason::kNoReplica, "no layout has a leaf for each shard"));
    return;
  }
  const ReplicaRequirements requirements{ std::nullopt, aExecution.tried, false };
  const ReplicaChoice choice =
    ChooseReplica(*aExecution.shard, requirements, this->node.options, this->random, now);
  if (choice.index < 0 && choice.busy) {
    this->ArmAt(aExecution, std::min(aExecution.request.deadline, now + kCapacityPollInterval));
    return;
  }
  if (choice.index < 0) {
    this->Finish(aExecution,
                 MakeAnswer(RequestOutcome::kNotRun, aExecution.failure, "no replica left to try"));
    return;
  }
  if (aExecution.needsBudget && !this->node.TrySpendExtra(now)) {
    this->Finish(aExecution,
                 MakeAnswer(RequestOutcome::kNotRun, RequestReason::kOverload, "no budget for a retry"));
    return;
  }
  if (!this->requests.MayWrite(aExecution.request.requestId)) {
    this->Finish(
      aExecution,
      MakeAnswer(RequestOutcome::kNotRun, RequestReason::kExpiredId, "the id expired before it was written"));
    return;
  }
  this->SendAttempt(aExecution, static_cast<std::size_t>(choice.index));
}

void
ExecuteRunner::SendAttempt(Execution& aExecution, std::size_t aReplica)
{
  YP_INVARIANT(aExecution.attempt == 0, "query.one_attempt_at_a_time", aExecution.request.requestId);
  const bool first = aExecution.tried == 0;
  QueryStats& stats = this->node.stats;
  (first ? stats.firstAttempts : aExecution.needsBudget ? stats.retries : stats.unbudgetedRetries)++;
  aExecution.tried |= 1ULL << aReplica;
  LeafAttempt attempt;
  attempt.execute = true;
  attempt.body = aExecution.body;
  attempt.deadline = aExecution.request.deadline;
  attempt.queueUntil = aExecution.request.deadline;
  AttemptTarget target{ aExecution.plan, aExecution.layout->layout, aExecution.shard, aReplica };
  const auto done = [this, handle = aExecution.handle](
                      const AttemptTarget&, std::uint64_t aAttempt, const LeafReply& aReply) {
    this->OnReply(handle, aAttempt, aReply);
  };
  aExecution.attempt = this->sender.Send(std::move(target), std::move(attempt), done);
  this->ArmAt(aExecution, aExecution.request.deadline);
}

void
ExecuteRunner::OnReply(std::uint64_t aHandle, std::uint64_t aAttempt, const LeafReply& aReply)
{
  Execution* execution = this->Find(aHandle);
  if (execution == nullptr || execution->attempt != aAttempt) {
    this->node.stats.droppedReplies++;
    return;
  }
  execution->attempt = 0;
  if (aReply.status == AttemptStatus::kAnswered) {
    this->Finish(*execution, this->Answered(*execution, aReply));
    return;
  }
  if (aReply.status == AttemptStatus::kUnknown) {
    this->Finish(*execution,
                 MakeAnswer(RequestOutcome::kUnknown,
                            RequestReason::kConnectionLost,
                            "no complete reply after the write"));
    return;
  }
  const bool shed = aReply.reason == NotRunReason::kShed;
  execution->needsBudget = shed || aReply.reason == NotRunReason::kCold;
  execution->failure = shed || aReply.reason == NotRunReason::kConnectionLimit ? RequestReason::kOverload
                                                                               : RequestReason::kNoReplica;
  if (execution->notified) {
    this->Finish(*execution,
                 MakeAnswer(RequestOutcome::kNotRun, execution->failure, "not run, and the caller has gone"));
    return;
  }
  this->TrySend(*execution);
}

void
ExecuteRunner::OnDeadline(std::uint64_t aHandle)
{
  Execution* execution = this->Find(aHandle);
  if (execution == nullptr) {
    return;
  }
  execution->timer = 0;
  if (execution->attempt == 0) {
    this->TrySend(*execution);
    return;
  }
  // The attempt stays open for a while, so that the request table can record its outcome.
  this->sender.CancelAt(execution->attempt, this->clock.Now() + kOutcomeTimeout);
  this->Notify(
    *execution,
    MakeAnswer(RequestOutcome::kUnknown, RequestReason::kDeadline, "no reply before the deadline"));
}

void
ExecuteRunner::ArmAt(Execution& aExecution, TimePoint aWhen)
{
  this->timers.Cancel(aExecution.timer);
  aExecution.timer = this->timers.At(aWhen, [this, handle = aExecution.handle] { this->OnDeadline(handle); });
}

RequestAnswer
ExecuteRunner::Answered(const Execution& aExecution, const LeafReply& aReply) const
{
  const std::optional<std::string> result = ParseResult(aReply.body);
  if (!result) {
    return MakeAnswer(
      RequestOutcome::kUnknown, RequestReason::kConnectionLost, "the leaf's reply is malformed");
  }
  RequestAnswer answer;
  answer.outcome = RequestOutcome::kAnswered;
  answer.result = *result;
  answer.snapshot =
    Snapshot{ aExecution.request.service, aExecution.layout->layout, aReply.indexVersion, aExecution.ticket };
  return answer;
}

void
ExecuteRunner::Finish(Execution& aExecution, RequestAnswer aAnswer)
{
  this->requests.Finish(aExecution.request.requestId, aAnswer);
  const std::uint64_t handle = aExecution.handle;
  const bool late = this->clock.Now() >= aExecution.request.deadline;
  // A result received after the deadline is kept in the table but not returned to the caller.
  if (late && aAnswer.outcome == RequestOutcome::kAnswered) {
    aAnswer =
      MakeAnswer(RequestOutcome::kUnknown, RequestReason::kDeadline, "the reply came after the deadline");
  }
  this->timers.Cancel(aExecution.timer);
  const std::unique_ptr<Execution> owned = std::move(this->executions[handle]);
  this->executions.erase(handle);
  this->Notify(*owned, std::move(aAnswer));
}

void
ExecuteRunner::Notify(Execution& aExecution, RequestAnswer aAnswer)
{
  if (aExecution.notified) {
    return;
  }
  aExecution.notified = true;
  this->node.stats.RecordAnswer(aAnswer, this->clock.Now() - aExecution.start);
  this->finished(aExecution.handle, std::move(aAnswer));
}

ExecuteRunner::Execution*
ExecuteRunner::Find(std::uint64_t aHandle)
{
  const auto found = this->executions.find(aHandle);
  return found == this->executions.end() ? nullptr : found->second.get();
}

} // namespace yp
