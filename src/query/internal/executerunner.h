#ifndef YP_QUERY_INTERNAL_EXECUTERUNNER_H
#define YP_QUERY_INTERNAL_EXECUTERUNNER_H

#include "query/internal/attemptsender.h"
#include "query/internal/replicachooser.h"

namespace yp {

/// Runs non-idempotent requests: one attempt at a time, and a further one only when the previous one was
/// certainly not run.
class ExecuteRunner
{
public:
  using Finished = std::function<void(std::uint64_t, RequestAnswer)>;

  ExecuteRunner(QueryNode& aNode, AttemptSender& aSender, const QueryEngineParts& aParts, Finished aFinished);

  ~ExecuteRunner();
  ExecuteRunner(const ExecuteRunner&) = delete;
  ExecuteRunner& operator=(const ExecuteRunner&) = delete;

  /// Starts a request that has been admitted.
  void Start(std::uint64_t aHandle, ExecuteRequest aRequest, Ref<ServicePlan> aPlan, TicketNumber aTicket);

  /// Gives up a request whose caller has disconnected. An attempt in flight continues, and its outcome is
  /// recorded.
  void Abandon(std::uint64_t aHandle);

private:
  struct Execution
  {
    std::uint64_t handle = 0;
    ExecuteRequest request;
    std::string body;
    Ref<ServicePlan> plan;
    TicketNumber ticket = 0;
    LayoutPlan* layout = nullptr; ///< points into plan
    ShardPlan* shard = nullptr;   ///< points into plan
    std::uint64_t tried = 0;
    std::uint64_t attempt = 0; ///< id of the attempt in flight; 0: none
    bool needsBudget = false;  ///< the next attempt is a retry that takes from the extra load budget
    bool notified = false;     ///< the caller has been answered or has disconnected
    RequestReason failure = RequestReason::kNoReplica;
    TimePoint start;
    TimerId timer = 0;
  };

  void TrySend(Execution& aExecution);
  void SendAttempt(Execution& aExecution, std::size_t aReplica);
  void OnReply(std::uint64_t aHandle, std::uint64_t aAttempt, const LeafReply& aReply);
  void OnDeadline(std::uint64_t aHandle);
  void ArmAt(Execution& aExecution, TimePoint aWhen);
  RequestAnswer Answered(const Execution& aExecution, const LeafReply& aReply) const;

  /// Records the outcome and notifies the caller, unless it was notified before.
  void Finish(Execution& aExecution, RequestAnswer aAnswer);
  void Notify(Execution& aExecution, RequestAnswer aAnswer);
  Execution* Find(std::uint64_t aHandle);

  QueryNode& node;
  AttemptSender& sender;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
  IRequestTable& requests;
  Finished finished;
  std::unordered_map<std::uint64_t, std::unique_ptr<Execution>> executions;
};

} // namespace yp

#endif
