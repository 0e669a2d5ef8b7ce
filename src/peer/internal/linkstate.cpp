#include "linkstate.h"
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace yp {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ConnectedEvent
{};
struct HandshakeDoneEvent
{};
struct CloseEvent
{};

struct Connecting : msm::front::state<>
{};
struct Handshaking : msm::front::state<>
{};
struct Established : msm::front::state<>
{};
struct Closed : msm::front::state<>
{};

struct LinkDefinition : msm::front::state_machine_def<LinkDefinition>
{
  using initial_state = Connecting; // NOLINT(readability-identifier-naming): name required by MSM

  // MSM numbers the states in the order in which they first appear as sources, then as targets. LinkPhase
  // follows that order.
  struct transition_table // NOLINT(readability-identifier-naming): name required by MSM
    : boost::mpl::vector<Row<Connecting, ConnectedEvent, Handshaking, none, none>,
                         Row<Handshaking, HandshakeDoneEvent, Established, none, none>,
                         Row<Established, CloseEvent, Closed, none, none>,
                         Row<Connecting, CloseEvent, Closed, none, none>,
                         Row<Handshaking, CloseEvent, Closed, none, none>>
  {};

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using Backend = msm::back::state_machine<LinkDefinition>;

} // namespace

struct LinkState::Machine : Backend
{
  template<class Event>
  bool Process(const Event& aEvent)
  {
    return this->process_event(aEvent) == msm::back::HANDLED_TRUE;
  }
};

LinkState::LinkState()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

LinkState::~LinkState() = default;

bool
LinkState::Connected()
{
  return this->machine->Process(ConnectedEvent{});
}

bool
LinkState::HandshakeDone()
{
  return this->machine->Process(HandshakeDoneEvent{});
}

bool
LinkState::Close()
{
  return this->machine->Process(CloseEvent{});
}

LinkPhase
LinkState::Phase() const
{
  return static_cast<LinkPhase>(this->machine->current_state()[0]);
}

} // namespace yp
