#ifndef YP_ENTRY_TESTS_ENTRYFIXTURE_H
#define YP_ENTRY_TESTS_ENTRYFIXTURE_H

#include "entry/entry.h"
#include "framework/global/tests/faketimers.h"
#include <deque>
#include <map>
#include <vector>

namespace yp {

/// An engine that answers when the test says so.
class FakeEngine final : public IQueryEngine
{
public:
  RequestHandle Lookup(LookupRequest aRequest, Handler aHandler) override
  {
    this->lookups.push_back(std::move(aRequest));
    this->handlers.push_back(std::move(aHandler));
    return this->handlers.size();
  }
  RequestHandle Execute(ExecuteRequest aRequest, Handler aHandler) override
  {
    this->executes.push_back(std::move(aRequest));
    this->handlers.push_back(std::move(aHandler));
    return this->handlers.size();
  }
  void Abandon(RequestHandle aRequest) override { this->abandoned.push_back(aRequest); }
  std::size_t InFlight() const override { return this->handlers.size(); }

  std::vector<LookupRequest> lookups;
  std::vector<ExecuteRequest> executes;
  std::vector<Handler> handlers;
  std::vector<RequestHandle> abandoned;
};

/// A forwarder that records what it is given and answers with a fixed answer.
class FakeForwarder final : public IForwarder
{
public:
  void Lookup(const std::string& aHost, const LookupRequest&, Post, AnswerHandler aHandler) override
  {
    this->targets.push_back(aHost);
    aHandler(this->answer);
  }
  void Execute(const Incarnation& aOwner, const ExecuteRequest&, Post, AnswerHandler aHandler) override
  {
    this->targets.push_back(ToString(aOwner));
    aHandler(this->answer);
  }
  void FindOutcome(const Incarnation& aOwner,
                   const std::string&,
                   TimePoint,
                   Post,
                   AnswerHandler aHandler) override
  {
    this->targets.push_back(ToString(aOwner));
    aHandler(this->answer);
  }
  void IssueIds(const std::string& aHost,
                const std::string&,
                std::uint32_t,
                TimePoint,
                Post,
                IdsHandler aHandler) override
  {
    this->targets.push_back(aHost);
    aHandler(std::vector<std::string>{ "foreign-id" });
  }

  RequestAnswer answer;
  std::vector<std::string> targets;
};

class FakeSteering final : public ISteering
{
public:
  void Update(Ref<const TicketState>,
              Ref<const MemberView>,
              Ref<const Placement>,
              const std::map<std::string, NodeLoad>&,
              TimePoint) override
  {
  }
  Result<AddressAnswer> Answer(const std::string& aCaller, IRandom&) const override
  {
    if (aCaller != "screen") {
      return Fail(ErrorCode::kNotFound, "fake.answer", "", "unknown caller");
    }
    AddressAnswer answer;
    answer.ttl = std::chrono::milliseconds(1000);
    answer.addresses.push_back({ "entry-1", { "127.0.0.1", 7001 }, "centrs", 1.0 });
    return answer;
  }
  Result<std::string> ForwardTarget(const std::string&, IRandom& aRandom) const override
  {
    return "entry-" + std::to_string(2 + aRandom.Below(this->holders));
  }

  std::size_t holders = 1; ///< entry-2 and as many after it
};

/// A request service over fakes: caller "screen" of the service "kiosk", which this node holds, and "refill",
/// which it does not.
struct EntryFixture
{
  EntryFixture()
  {
    Ref<TicketState> state(new TicketState);
    state->fleet = new FleetSpec;
    Ref<CallerSpec> caller(new CallerSpec);
    caller->name = "screen";
    caller->services = { "kiosk", "refill" };
    state->callers["screen"] = caller;
    state->services["kiosk"] = new ServiceSpec;
    state->services["refill"] = new ServiceSpec;
    this->tickets.Publish(state);
    Ref<Placement> held(new Placement);
    held->services["kiosk"].ownConnections["leaf"] = 1;
    held->services["kiosk"].holders = { "entry-1" };
    held->services["refill"].holders = { "entry-2" };
    this->placement.Publish(held);
    this->serving.Tick(true);
  }

  ExecuteRequest Request(const std::string& aId, const std::string& aService = "kiosk")
  {
    ExecuteRequest request;
    request.requestId = aId;
    request.caller = "screen";
    request.service = aService;
    request.key = "key";
    request.body = "{}";
    request.deadline = this->clock.Now() + std::chrono::milliseconds(500);
    return request;
  }

  std::string NewId()
  {
    return Recover(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(ids, this->requests->Issue(1));
        return ids.front();
      },
      [](const Error&) { return std::string(); });
  }

  IRequestService::AnswerHandler Keep()
  {
    return [this](const RequestAnswer& aAnswer) { this->answers.push_back(aAnswer); };
  }

  ManualClock clock;
  FakeTimers timers{ this->clock };
  SeededRandom random{ 1 };
  SeededRandom tableRandom{ 2 };
  Incarnation incarnation = MakeIncarnation(this->clock, this->random);
  std::unique_ptr<IRequestTable> requests =
    MakeRequestTable(this->clock, this->tableRandom, this->incarnation);
  FakeEngine engine;
  FakeForwarder forwarder;
  FakeSteering steering;
  ServingState serving{ this->clock };
  EntryStats stats;
  BlackboardEntry<TicketState> tickets;
  BlackboardEntry<Placement> placement;
  std::vector<RequestAnswer> answers;
  std::unique_ptr<IRequestService> service =
    MakeRequestService({ this->engine,
                         *this->requests,
                         this->forwarder,
                         this->steering,
                         this->timers,
                         this->clock,
                         this->random,
                         this->serving,
                         this->stats,
                         this->tickets,
                         this->placement,
                         [](const std::function<void()>& aFunction) { aFunction(); } });
  std::unique_ptr<ICallerApi> api = MakeCallerApi(
    { *this->service, this->steering, this->clock, this->random, this->serving, this->stats, this->tickets });
};

} // namespace yp

#endif
