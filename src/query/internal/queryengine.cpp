#include "query/internal/executerunner.h"
#include "query/internal/lookuprunner.h"
#include <algorithm>

namespace yp {

namespace {

class QueryEngine final : public IQueryEngine
{
public:
  explicit QueryEngine(const QueryEngineParts& aParts)
    : node(dynamic_cast<QueryNode&>(aParts.node))
    , timers(aParts.timers)
    , clock(aParts.clock)
    , requests(aParts.requests)
    , tickets(aParts.tickets)
    , sender(this->node, aParts.transport, aParts.timers, aParts.clock)
    , lookups(
        this->node,
        this->sender,
        aParts,
        [this](const Ref<const ServiceSpec>& aSpec) { return this->PlanOf(aSpec); },
        [this](std::uint64_t aHandle, RequestAnswer aAnswer) { this->End(aHandle, std::move(aAnswer)); })
    , executes(
        this->node,
        this->sender,
        aParts,
        [this](std::uint64_t aHandle, RequestAnswer aAnswer) { this->End(aHandle, std::move(aAnswer)); })
    , self(std::make_shared<QueryEngine*>(this))
  {
  }

  RequestHandle Lookup(LookupRequest aRequest, Handler aHandler) override
  {
    this->node.stats.lookups++;
    const RequestHandle handle = this->Begin(aRequest.caller, std::move(aHandler));
    const Admission admission = this->Admit(handle, aRequest.caller, aRequest.service, aRequest.deadline);
    if (admission.refusal == RequestReason::kNone) {
      this->lookups.Start(handle, std::move(aRequest), admission.state, admission.caller);
      return handle;
    }
    this->Refuse(handle, admission.refusal);
    return handle;
  }

  RequestHandle Execute(ExecuteRequest aRequest, Handler aHandler) override
  {
    this->node.stats.executes++;
    const RequestHandle handle = this->Begin(aRequest.caller, std::move(aHandler));
    const Admission admission = this->Admit(handle, aRequest.caller, aRequest.service, aRequest.deadline);
    if (admission.refusal == RequestReason::kNone) {
      const Ref<ServicePlan> plan = this->PlanOf(admission.service);
      this->executes.Start(handle, std::move(aRequest), plan, admission.state->inForce);
      return handle;
    }
    RequestAnswer answer;
    answer.reason = admission.refusal;
    answer.detail = "the request was refused before it was run";
    this->requests.Finish(aRequest.requestId, answer);
    this->Refuse(handle, admission.refusal);
    return handle;
  }

  void Abandon(RequestHandle aRequest) override
  {
    const auto found = this->open.find(aRequest);
    if (found == this->open.end()) {
      return;
    }
    this->Close(found);
    this->lookups.Abandon(aRequest);
    this->executes.Abandon(aRequest);
  }

  std::size_t InFlight() const override { return this->open.size(); }

private:
  struct Open
  {
    std::string caller;
    Handler handler;
    bool admitted = false;
  };

  struct Admission
  {
    RequestReason refusal = RequestReason::kNone;
    Ref<const TicketState> state;
    Ref<const CallerSpec> caller;
    Ref<const ServiceSpec> service;
  };

  using OpenMap = std::unordered_map<RequestHandle, Open>;

  RequestHandle Begin(const std::string& aCaller, Handler aHandler)
  {
    const RequestHandle handle = ++this->lastHandle;
    this->open.emplace(handle, Open{ aCaller, std::move(aHandler), false });
    return handle;
  }

  /// Validates a request and, if admitted, counts it as in flight at this node.
  /// \param aDeadline set to the caller's default when the request has none
  Admission Admit(RequestHandle aHandle,
                  const std::string& aCaller,
                  const std::string& aService,
                  TimePoint& aDeadline)
  {
    Admission admission;
    const TimePoint now = this->clock.Now();
    admission.state = this->tickets();
    if (!admission.state) {
      admission.refusal = RequestReason::kNotReady;
      return admission;
    }
    admission.caller = admission.state->FindCaller(aCaller);
    if (!admission.caller) {
      admission.refusal = RequestReason::kUnknownCaller;
      return admission;
    }
    const std::vector<std::string>& services = admission.caller->services;
    admission.service = admission.state->FindService(aService);
    if (!admission.service || std::find(services.begin(), services.end(), aService) == services.end()) {
      admission.refusal = RequestReason::kUnknownService;
      return admission;
    }
    if (aDeadline == TimePoint()) {
      aDeadline = now + admission.caller->deadline;
    }
    if (now >= aDeadline) {
      admission.refusal = RequestReason::kDeadline;
      return admission;
    }
    if (!this->node.shedder.TryAdmit(aCaller, admission.caller->share, now)) {
      this->node.stats.sheds++;
      admission.refusal = RequestReason::kOverload;
      return admission;
    }
    this->open[aHandle].admitted = true;
    return admission;
  }

  void Refuse(RequestHandle aHandle, RequestReason aReason)
  {
    this->timers.At(this->clock.Now(), [weak = std::weak_ptr(this->self), aHandle, aReason] {
      const auto engine = weak.lock();
      if (!engine) {
        return;
      }
      RequestAnswer answer;
      answer.reason = aReason;
      answer.detail = "the request was refused before it was run";
      (*engine)->node.stats.RecordAnswer(answer, Duration(0));
      (*engine)->End(aHandle, std::move(answer));
    });
  }

  void End(RequestHandle aHandle, RequestAnswer aAnswer)
  {
    const auto found = this->open.find(aHandle);
    if (found == this->open.end()) {
      return;
    }
    const Handler handler = std::move(found->second.handler);
    this->Close(found);
    handler(std::move(aAnswer));
  }

  void Close(OpenMap::iterator aOpen)
  {
    if (aOpen->second.admitted) {
      this->node.shedder.Release(aOpen->second.caller);
    }
    this->open.erase(aOpen);
  }

  /// \return the plan of a service, rebuilt when a ticket changed the service
  Ref<ServicePlan> PlanOf(const Ref<const ServiceSpec>& aSpec)
  {
    Ref<ServicePlan>& plan = this->plans[aSpec->name];
    if (!plan || plan->spec != aSpec) {
      plan = new ServicePlan(aSpec, this->node.health, this->node.options.failureDomain, this->clock.Now());
    }
    return plan;
  }

  QueryNode& node;
  ITimers& timers;
  const IClock& clock;
  IRequestTable& requests;
  std::function<Ref<const TicketState>()> tickets;
  RequestHandle lastHandle = 0;
  OpenMap open;
  std::unordered_map<std::string, Ref<ServicePlan>> plans;
  AttemptSender sender;
  LookupRunner lookups;
  ExecuteRunner executes;
  std::shared_ptr<QueryEngine*> self; ///< expires with this object, so that a deferred refusal is ignored
};

} // namespace

std::unique_ptr<IQueryNode>
MakeQueryNode(QueryOptions aOptions)
{
  return std::make_unique<QueryNode>(std::move(aOptions));
}

std::unique_ptr<IQueryEngine>
MakeQueryEngine(const QueryEngineParts& aParts)
{
  return std::make_unique<QueryEngine>(aParts);
}

} // namespace yp
