#ifndef YP_PLACEMENT_INTERNAL_PLACEMENTPLANNER_H
#define YP_PLACEMENT_INTERNAL_PLACEMENTPLANNER_H

#include "placement/internal/domainassignment.h"
#include "placement/internal/leafshares.h"
#include "placement/placement.h"
#include <deque>
#include <optional>

namespace yp {

/// Keeps the assignment of each failure domain and recomputes only those whose hosts changed.
class PlacementPlanner final : public IPlacementPlanner
{
public:
  explicit PlacementPlanner(const PlacementOptions& aOptions);

  Ref<const Placement> Plan(const TicketState& aState, const MemberView& aView, TimePoint aNow) override;
  PlacementHistory ExportHistory(TimePoint aNow) const override;
  void ImportHistory(const PlacementHistory& aHistory, TimePoint aNow) override;

private:
  struct Domain
  {
    std::vector<std::string> hosts;
    DomainAssignment assignment;
  };

  /// A host set of the own failure domain and what it means under the current tickets.
  struct PastSet
  {
    TimePoint since;
    Domain domain;
  };

  /// Placed hosts of a view. An index into names is called a rank.
  struct PlacedHosts
  {
    std::vector<const std::string*> names;            ///< sorted
    std::vector<std::vector<std::uint32_t>> byDomain; ///< ranks of each failure domain's hosts
  };

  bool UpdateServices(const TicketState& aState);
  PlacedHosts GroupHosts(const MemberView& aView) const;
  void UpdateDomains(const PlacedHosts& aPlaced, bool aAll);
  void UpdateHistory(const MemberView& aView, TimePoint aNow, bool aAll);
  void DropOldHistory(TimePoint aNow);
  bool OthersReady(const MemberView& aView) const;
  void BuildHolders(const PlacedHosts& aPlaced);
  /// \param aTakeover whether a position counts as free when its holder in a past set is certainly gone
  std::map<std::string, std::uint32_t> LeastShares(const TicketState& aState,
                                                   const MemberView& aView,
                                                   std::size_t aService,
                                                   bool aTakeover) const;
  std::map<std::string, std::uint32_t> OwnConnections(const TicketState& aState,
                                                      const MemberView& aView,
                                                      std::size_t aService) const;
  std::vector<bool> AllowedPositions(const PastSet& aSet,
                                     const MemberView& aView,
                                     std::size_t aService,
                                     bool aTakeover) const;

  const PlacementOptions options;
  std::map<std::string, Ref<const ServiceSpec>> knownServices;
  Ref<const FleetSpec> knownFleet;
  std::vector<ServiceDemand> demands;
  DeclaredDomains declared;
  std::vector<Domain> domains;
  int ownDomain = -1;
  std::string self;
  std::deque<PastSet> history;        ///< oldest first; the last one is in force
  std::optional<TimePoint> waitUntil; ///< a process that started without history holds nothing before
  bool planned = false;
  std::map<std::string, ServicePlacement> holders; ///< without own connections
};

} // namespace yp

#endif
