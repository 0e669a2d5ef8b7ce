#ifndef YP_GATEWAY_INTERNAL_LEAFCHOICE_H
#define YP_GATEWAY_INTERNAL_LEAFCHOICE_H

#include "gateway/igateway.h"
#include <optional>
#include <vector>

namespace yp {

/// Conditions for the choice of a leaf.
struct LeafRequirements
{
  Duration typical{ 0 };                              ///< typical time of such a request
  Duration objective{ 0 };                            ///< latency objective of the route
  const std::vector<Ref<LeafHandle>>* used = nullptr; ///< leafs that already got the request; not chosen
  bool responsiveOnly = false; ///< only leafs that are neither unresponsive nor excluded
  bool withinLimit = false;    ///< only leafs whose call limit admits one more call
};

/// Chooses the leaf that is expected to answer first. Leafs that are in another failure domain, unresponsive,
/// failing or excluded have a time penalty.
/// \return null when no leaf of the service meets the requirements
LeafHandle*
ChooseLeaf(const std::vector<Ref<LeafHandle>>& aLeafs,
           const LeafRequirements& aRequirements,
           const GatewayOptions& aOptions,
           IRandom& aRandom,
           TimePoint aNow);

/// \return whether a service has a usable leaf: one that accepts requests and is not excluded
bool
HasUsableLeaf(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow);

/// \return whether a service has a usable leaf whose call limit admits one more call
bool
HasCapacity(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow);

/// \return when the first of the leafs that turn requests away takes them again; none when no leaf does
std::optional<TimePoint>
EarliestReturn(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow);

} // namespace yp

#endif
