#ifndef YP_GATEWAY_INTERNAL_LEAFCHOICE_H
#define YP_GATEWAY_INTERNAL_LEAFCHOICE_H

#include "gateway/igateway.h"
#include <vector>

namespace yp {

/// What is asked of a leaf that is chosen.
struct LeafNeed
{
  Duration typical{ 0 };                              ///< usual time of such a request
  Duration objective{ 0 };                            ///< of the route
  const std::vector<Ref<LeafHandle>>* used = nullptr; ///< leafs that got the request; not chosen again
  bool proven = false;                                ///< only leafs that answer now, for a repeated request
  bool withinLimit = false;                           ///< only leafs that are likely to answer in time
};

/// Chooses the leaf that is expected to answer first. A leaf in another failure domain has to be faster by
/// the penalty of the options. Silent and excluded leafs are chosen only when there is no other. \return null
/// when no leaf of the service may get the request
LeafHandle*
ChooseLeaf(const std::vector<Ref<LeafHandle>>& aLeafs,
           const LeafNeed& aNeed,
           const GatewayOptions& aOptions,
           IRandom& aRandom,
           TimePoint aNow);

/// \return whether a service has a leaf that may get requests and is not excluded
bool
HasUsableLeaf(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow);

/// \return whether a service has a usable leaf that is likely to answer one more request in time
bool
HasRoom(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow);

} // namespace yp

#endif
