#include "gateway/internal/leafchoice.h"
#include <algorithm>

namespace yp {

namespace {

constexpr double kColdFactor = 1.6; // from the users' service data: a cold leaf takes this much longer
// A pause of a leaf lasts about this long; a silent leaf is chosen when the others are slower by more.
constexpr Duration kSilencePenalty = std::chrono::milliseconds(120);
// Cost of a refused request: it has to be repeated, or the answer lacks a part.
constexpr Duration kRefusalPenalty = std::chrono::milliseconds(200);
constexpr Duration kExcludedPenalty = std::chrono::seconds(10);
// Leafs that are equally good get requests alike.
constexpr double kJitter = 0.1;

bool
Used(const LeafNeed& aNeed, const LeafHandle* aLeaf)
{
  return aNeed.used != nullptr &&
         std::find(aNeed.used->begin(), aNeed.used->end(), aLeaf) != aNeed.used->end();
}

Duration
Cost(const LeafHandle& aLeaf,
     const LeafNeed& aNeed,
     const GatewayOptions& aOptions,
     double aJitter,
     TimePoint aNow)
{
  double expected =
    static_cast<double>(aLeaf.condition.ExpectedTime(aNeed.typical, aLeaf.registration.slots, aNow).count());
  if (aLeaf.limit.BelowOneCall()) {
    expected = std::max(expected, static_cast<double>(aLeaf.limit.AverageElapsed().count()));
  }
  expected *= aNow < aLeaf.coldUntil ? kColdFactor : 1;
  expected *= 1 + kJitter * aJitter;
  Duration cost{ static_cast<Duration::rep>(expected) };
  if (aLeaf.registration.failureDomain != aOptions.failureDomain) {
    cost += std::chrono::duration_cast<Duration>(aNeed.objective * aOptions.remotePenaltyShare);
  }
  cost += aLeaf.condition.Unresponsive(aNow) ? kSilencePenalty : Duration::zero();
  cost += aLeaf.condition.Excluded(aNow) ? kExcludedPenalty : Duration::zero();
  cost += std::chrono::duration_cast<Duration>(kRefusalPenalty * aLeaf.condition.FailureRate(aNow));
  return cost;
}

} // namespace

LeafHandle*
ChooseLeaf(const std::vector<Ref<LeafHandle>>& aLeafs,
           const LeafNeed& aNeed,
           const GatewayOptions& aOptions,
           IRandom& aRandom,
           TimePoint aNow)
{
  LeafHandle* best = nullptr;
  Duration bestCost = Duration::max();
  for (const Ref<LeafHandle>& leaf : aLeafs) {
    if (!leaf->AcceptsRequests() || Used(aNeed, leaf.get())) {
      continue;
    }
    if (aNeed.withinLimit && !leaf->limit.Admits(leaf->condition.InFlight(), aNow)) {
      continue;
    }
    if (aNeed.proven && (leaf->condition.Unresponsive(aNow) || leaf->condition.Excluded(aNow))) {
      continue;
    }
    const Duration cost = Cost(*leaf, aNeed, aOptions, aRandom.Real(), aNow);
    if (cost < bestCost) {
      best = leaf.get();
      bestCost = cost;
    }
  }
  return best;
}

bool
HasUsableLeaf(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow)
{
  return std::any_of(aLeafs.begin(), aLeafs.end(), [aNow](const Ref<LeafHandle>& aLeaf) {
    return aLeaf->AcceptsRequests() && !aLeaf->condition.Excluded(aNow);
  });
}

bool
HasRoom(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow)
{
  return std::any_of(aLeafs.begin(), aLeafs.end(), [aNow](const Ref<LeafHandle>& aLeaf) {
    return aLeaf->AcceptsRequests() && !aLeaf->condition.Excluded(aNow) &&
           aLeaf->limit.Admits(aLeaf->condition.InFlight(), aNow);
  });
}

} // namespace yp
