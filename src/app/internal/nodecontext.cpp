#include "app/internal/nodecontext.h"

namespace yp {

NodeContext::NodeContext(DaemonSettings aSettings)
  : settings(std::move(aSettings))
  , controlRandom(SystemSeed())
  , tableRandom(SystemSeed())
  , incarnation(MakeIncarnation(this->clock, this->controlRandom))
  , tickets(this->blackboard.Entry<TicketState>())
  , members(this->blackboard.Entry<MemberView>())
  , placement(this->blackboard.Entry<Placement>())
  , serving(this->clock)
  , queryNode(MakeQueryNode(this->settings.query))
  , requests(MakeRequestTable(this->clock, this->tableRandom, this->incarnation))
  , steering(MakeSteering())
{
}

} // namespace yp
