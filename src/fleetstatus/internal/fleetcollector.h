#ifndef YP_FLEETSTATUS_INTERNAL_FLEETCOLLECTOR_H
#define YP_FLEETSTATUS_INTERNAL_FLEETCOLLECTOR_H

#include "fleetstatus/fleetstatus.h"
#include "fleetstatus/internal/statusmessages.h"
#include <map>

namespace yp {

/// Asks one delegate a group, each of which asks its group, so that neither step has more than about sqrt(N)
/// calls. Members that no delegate heard are asked once more directly, since their delegate may have been
/// lost.
class FleetCollector final : public IFleetStatus
{
public:
  explicit FleetCollector(FleetStatusParts aParts);

  void Collect(Handler aHandler) override;

private:
  using Heard = std::map<std::string, AgedReport>;

  /// One running collection.
  struct Collection
  {
    TimePoint started;
    std::map<std::string, GroupMember> members;
    std::map<std::string, std::string> domains;
    Heard heard;
    std::size_t pending = 0;
    bool retried = false;
  };

  void Start();
  void AskGroups();
  void AskUnheard();
  void Ask(const GroupMember& aDelegate, const GroupQuestion& aQuestion);
  void OnReports(const std::variant<std::string, Error>& aReply, TimePoint aAsked);
  void Finish();
  void ServeGroup(const std::string& aPayload, const IPeerCalls::Respond& aRespond);
  void CollectGroup(const GroupQuestion& aQuestion, const IPeerCalls::Respond& aRespond);

  FleetStatusParts parts;
  std::unique_ptr<Collection> running;
  std::vector<Handler> waiting;
  std::vector<FleetRow> last;
  TimePoint lastFinished;
};

} // namespace yp

#endif
