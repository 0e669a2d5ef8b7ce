#include "app/internal/lifecycle.h"
#include "framework/global/log.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace yp {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct StartedEvent
{};
struct BecameReadyEvent
{};
struct LostReadinessEvent
{};
struct StopRequestedEvent
{};
struct LeaveTimeOverEvent
{};
struct DrainedEvent
{};

struct Starting : msm::front::state<>
{};
struct Learning : msm::front::state<>
{};
struct Ready : msm::front::state<>
{};
struct Leaving : msm::front::state<>
{};
struct Draining : msm::front::state<>
{};
struct Stopped : msm::front::state<>
{};

struct AnnounceLeaving
{
  template<class Event, class Fsm, class Source, class Target>
  void operator()(const Event&, Fsm& aFsm, Source&, Target&) const
  {
    aFsm.actions->AnnounceLeaving();
  }
};

struct StartDraining
{
  template<class Event, class Fsm, class Source, class Target>
  void operator()(const Event&, Fsm& aFsm, Source&, Target&) const
  {
    aFsm.actions->StartDraining();
  }
};

struct StopWork
{
  template<class Event, class Fsm, class Source, class Target>
  void operator()(const Event&, Fsm& aFsm, Source&, Target&) const
  {
    aFsm.actions->Stop();
  }
};

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef>
{
  using initial_state = Starting;

  // A node that never served is not handed out to callers, so it stops without leaving first.
  struct transition_table // NOLINT(readability-identifier-naming): MSM asks for this name
    : boost::mpl::vector<Row<Starting, StartedEvent, Learning, none, none>,
                         Row<Starting, StopRequestedEvent, Stopped, StopWork, none>,
                         Row<Learning, BecameReadyEvent, Ready, none, none>,
                         Row<Learning, StopRequestedEvent, Draining, StartDraining, none>,
                         Row<Ready, LostReadinessEvent, Learning, none, none>,
                         Row<Ready, StopRequestedEvent, Leaving, AnnounceLeaving, none>,
                         Row<Leaving, LeaveTimeOverEvent, Draining, StartDraining, none>,
                         Row<Draining, DrainedEvent, Stopped, StopWork, none>>
  {};

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }

  ILifecycleActions* actions = nullptr;
};

// In the order in which the states appear in the transition table, which is how MSM numbers them.
const std::string kStateNames[] = { "starting", "learning", "ready", "leaving", "draining", "stopped" };
constexpr int kReadyState = 2;
constexpr int kLeavingState = 3;
constexpr int kDrainingState = 4;

} // namespace

class Lifecycle::Machine
{
public:
  explicit Machine(ILifecycleActions& aActions)
  {
    this->states.actions = &aActions;
    this->states.start();
  }

  template<class Event>
  void Process(const Event& aEvent)
  {
    const int before = this->states.current_state()[0];
    this->states.process_event(aEvent);
    if (before != this->states.current_state()[0]) {
      LogEvent(LogLevel::kInfo, "lifecycle", { { "from", kStateNames[before] }, { "to", this->Name() } });
    }
  }

  int State() const { return this->states.current_state()[0]; }
  const std::string& Name() const { return kStateNames[this->State()]; }

private:
  msm::back::state_machine<LifecycleDef> states;
};

Lifecycle::Lifecycle(ILifecycleActions& aActions)
  : machine(std::make_unique<Machine>(aActions))
{
}

Lifecycle::~Lifecycle() = default;

void
Lifecycle::Started()
{
  this->machine->Process(StartedEvent{});
}

void
Lifecycle::BecameReady()
{
  this->machine->Process(BecameReadyEvent{});
}

void
Lifecycle::LostReadiness()
{
  this->machine->Process(LostReadinessEvent{});
}

void
Lifecycle::StopRequested()
{
  this->machine->Process(StopRequestedEvent{});
}

void
Lifecycle::LeaveTimeOver()
{
  this->machine->Process(LeaveTimeOverEvent{});
}

void
Lifecycle::Drained()
{
  this->machine->Process(DrainedEvent{});
}

const std::string&
Lifecycle::State() const
{
  return this->machine->Name();
}

bool
Lifecycle::Serves() const
{
  const int state = this->machine->State();
  return state == kReadyState || state == kLeavingState || state == kDrainingState;
}

} // namespace yp
