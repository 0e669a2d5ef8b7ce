#ifndef YP_QUERY_INTERNAL_LOOKUPRUNNER_H
#define YP_QUERY_INTERNAL_LOOKUPRUNNER_H

#include "query/internal/attemptsender.h"
#include "query/internal/partmerger.h"
#include "query/internal/replicachooser.h"

namespace yp {

/// Runs lookups: chooses the snapshot, sends attempts, hedges and retries, replans, and decides the answer.
class LookupRunner
{
public:
  using Finished = std::function<void(std::uint64_t, RequestAnswer)>;
  using PlanSource = std::function<Ref<ServicePlan>(const Ref<const ServiceSpec>&)>;

  /// \param aFinished called once per lookup with its answer; never from within Start
  LookupRunner(QueryNode& aNode,
               AttemptSender& aSender,
               const QueryEngineParts& aParts,
               PlanSource aPlans,
               Finished aFinished);

  ~LookupRunner();
  LookupRunner(const LookupRunner&) = delete;
  LookupRunner& operator=(const LookupRunner&) = delete;

  /// Starts a lookup that has been admitted.
  void Start(std::uint64_t aHandle,
             LookupRequest aRequest,
             Ref<const TicketState> aState,
             Ref<const CallerSpec> aCaller);

  /// Cancels the outstanding attempts and removes the lookup.
  void Abandon(std::uint64_t aHandle);

private:
  enum class PartState
  {
    kIdle,
    kSent,
    kWaiting, ///< for capacity at a leaf, or for a retry
    kMerged,
    kFailed
  };

  enum class Purpose
  {
    kFirst,
    kFirstRepeated, ///< first attempt of a plan that replaces an earlier one
    kRetry,
    kUnbudgetedRetry,
    kHedge
  };

  struct Part
  {
    PartState state = PartState::kIdle;
    std::uint64_t tried = 0;
    std::uint32_t hedges = 0; ///< sent since all replicas were last tried
    bool needsBudget = false; ///< the pending retry takes from the extra load budget
    bool unbudgetedRetry = false;
    bool queued = false; ///< in the waiter queue of its shard
    std::uint32_t rounds = 0;
    TimePoint sentAt;
    TimePoint retryAt;
    TimePoint waitUntil;
    bool waitedLong = false;             ///< an attempt was sent only after a long wait for capacity
    TimePoint waitingSince;              ///< start of the wait for capacity; TimePoint() while not waiting
    std::vector<std::uint64_t> attempts; ///< ids of the outstanding attempts
  };

  struct Lookup
  {
    std::uint64_t handle = 0;
    LookupRequest request;
    std::string body;
    Ref<const TicketState> state;
    Ref<const CallerSpec> caller;
    Ref<ServicePlan> plan;
    LayoutPlan* layout = nullptr; ///< points into plan
    IndexVersion version = 0;
    bool discovering = false;
    std::size_t nextDiscoveryPart = 0;
    std::uint32_t discoveryAttemptsLeft = 0;
    std::uint32_t generation = 0;
    std::uint32_t replans = 0;
    PartMerger merger;
    std::vector<Part> parts;
    std::size_t failedCount = 0;
    RequestReason failure = RequestReason::kNoReplica; ///< of the last failed part
    bool mayHaveRun = false;
    bool hedgeTimeSeen = false;
    TimePoint start;
    TimePoint planned;
    TimePoint decideBy; ///< shortly before the deadline, so that the answer is in time
    Duration hedgeDelay{ 0 };
    TimerId timer = 0;
    TimePoint timerAt;
  };

  void Plan(Lookup& aLookup);
  void Pin(Lookup& aLookup, LayoutPlan& aLayout, IndexVersion aVersion);
  void SendFirstAttempts(Lookup& aLookup);
  void SendProbes(Lookup& aLookup);
  void BeginDiscovery(Lookup& aLookup);
  bool SendDiscovery(Lookup& aLookup);
  void OnDiscoveryReply(Lookup& aLookup,
                        const AttemptTarget& aTarget,
                        std::size_t aPart,
                        const LeafReply& aReply);

  /// Sends an attempt for a part, queues the part, or marks it failed.
  void TrySend(Lookup& aLookup, std::size_t aPart, Purpose aPurpose);
  void SendAttempt(Lookup& aLookup, std::size_t aPart, std::size_t aReplica, Purpose aPurpose);
  void CountAttempt(Purpose aPurpose);
  void Wait(Lookup& aLookup, std::size_t aPart, TimePoint aRetryAt);
  void FailPart(Lookup& aLookup, std::size_t aPart, RequestReason aReason);
  void Hedge(Lookup& aLookup, TimePoint aNow);
  void RetryWaiting(Lookup& aLookup, std::size_t aPart, TimePoint aNow);
  bool ReplanIfBetter(Lookup& aLookup, std::size_t aPart);

  void OnReply(std::uint64_t aHandle,
               std::uint32_t aGeneration,
               std::size_t aPart,
               const AttemptTarget& aTarget,
               std::uint64_t aAttempt,
               const LeafReply& aReply);
  void OnPart(Lookup& aLookup, std::size_t aPart, const AttemptTarget& aTarget, const LeafReply& aReply);
  void OnFailure(Lookup& aLookup, std::size_t aPart, const LeafReply& aReply);
  bool OnCapacity(const Waiter& aWaiter);
  bool Settled(const Lookup& aLookup) const;

  void OnTimer(std::uint64_t aHandle);
  void Arm(Lookup& aLookup);
  TimePoint NextWake(const Lookup& aLookup, TimePoint aNow) const;

  /// Ends the lookup when all parts are merged or failed and no replan is possible.
  /// \return whether it ended
  bool DecideIfSettled(Lookup& aLookup);
  /// \return the earliest time of a partial answer to a caller with policy kLatency
  TimePoint EarliestPartial(const Lookup& aLookup) const;
  bool DecideEarly(Lookup& aLookup, TimePoint aNow);
  void Decide(Lookup& aLookup, RequestReason aReason);
  void Finish(Lookup& aLookup, RequestAnswer aAnswer);
  bool WaitedLong(const Lookup& aLookup, const Part& aPart, TimePoint aNow) const;
  void CancelAll(Lookup& aLookup);
  Lookup* Find(std::uint64_t aHandle);

  QueryNode& node;
  AttemptSender& sender;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
  std::function<Ref<const TicketState>()> tickets;
  PlanSource plans;
  Finished finished;
  std::unordered_map<std::uint64_t, std::unique_ptr<Lookup>> lookups;
};

} // namespace yp

#endif
