#include "gateway/internal/leafchoice.h"
#include <algorithm>

namespace yp {

namespace {

constexpr double kColdFactor =
  1.6; // a cold leaf takes 1.6 times as long, according to the users' service data
// About the length of a leaf's pause; an unresponsive leaf is chosen when the others are slower by more.
constexpr Duration kUnresponsivePenalty = std::chrono::milliseconds(120);
// Cost of a refused or failed request: it has to be repeated, or the answer lacks a part.
constexpr Duration kRefusalPenalty = std::chrono::milliseconds(200);
constexpr Duration kExcludedPenalty = std::chrono::seconds(10);
// Random variation that spreads requests over equally good leafs, as a fraction of the expected time.
constexpr double kJitter = 0.1;

bool
Used(const LeafRequirements& aRequirements, const LeafHandle* aLeaf)
{
  return aRequirements.used != nullptr &&
         std::find(aRequirements.used->begin(), aRequirements.used->end(), aLeaf) !=
           aRequirements.used->end();
}

Duration
Cost(const LeafHandle& aLeaf,
     const LeafRequirements& aRequirements,
     const GatewayOptions& aOptions,
     double aJitter,
     TimePoint aNow)
{
  double expected = static_cast<double>(
    aLeaf.condition.ExpectedTime(aRequirements.typical, aLeaf.registration.slots, aNow).count());
  if (aLeaf.limit.BelowOneCall()) {
    expected = std::max(expected, static_cast<double>(aLeaf.limit.AverageElapsed().count()));
  }
  expected *= aNow < aLeaf.coldUntil ? kColdFactor : 1;
  expected *= 1 + kJitter * aJitter;
  Duration cost{ static_cast<Duration::rep>(expected) };
  if (aLeaf.registration.failureDomain != aOptions.failureDomain) {
    cost += std::chrono::duration_cast<Duration>(aRequirements.objective * aOptions.remotePenaltyShare);
  }
  cost += aLeaf.condition.Unresponsive(aNow) ? kUnresponsivePenalty : Duration::zero();
  cost += aLeaf.condition.Excluded(aNow) ? kExcludedPenalty : Duration::zero();
  cost += std::chrono::duration_cast<Duration>(kRefusalPenalty * aLeaf.condition.FailureRate(aNow));
  return cost;
}

} // namespace

LeafHandle*
ChooseLeaf(const std::vector<Ref<LeafHandle>>& aLeafs,
           const LeafRequirements& aRequirements,
           const GatewayOptions& aOptions,
           IRandom& aRandom,
           TimePoint aNow)
{
  LeafHandle* best = nullptr;
  Duration bestCost = Duration::max();
  for (const Ref<LeafHandle>& leaf : aLeafs) {
    if (!leaf->AcceptsRequests() || leaf->TurnsAway(aNow) || Used(aRequirements, leaf.get())) {
      continue;
    }
    if (aRequirements.withinLimit && !leaf->limit.Admits(leaf->condition.InFlight(), aNow)) {
      continue;
    }
    if (aRequirements.responsiveOnly &&
        (leaf->condition.Unresponsive(aNow) || leaf->condition.Excluded(aNow))) {
      continue;
    }
    const Duration cost = Cost(*leaf, aRequirements, aOptions, aRandom.Real(), aNow);
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
    return aLeaf->AcceptsRequests() && !aLeaf->TurnsAway(aNow) && !aLeaf->condition.Excluded(aNow);
  });
}

bool
HasCapacity(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow)
{
  return std::any_of(aLeafs.begin(), aLeafs.end(), [aNow](const Ref<LeafHandle>& aLeaf) {
    return aLeaf->AcceptsRequests() && !aLeaf->TurnsAway(aNow) && !aLeaf->condition.Excluded(aNow) &&
           aLeaf->limit.Admits(aLeaf->condition.InFlight(), aNow);
  });
}

std::optional<TimePoint>
EarliestReturn(const std::vector<Ref<LeafHandle>>& aLeafs, TimePoint aNow)
{
  std::optional<TimePoint> earliest;
  for (const Ref<LeafHandle>& leaf : aLeafs) {
    if (leaf->AcceptsRequests() && leaf->TurnsAway(aNow)) {
      earliest = std::min(earliest.value_or(TimePoint::max()), leaf->ReturnsAt(aNow));
    }
  }
  return earliest;
}

} // namespace yp
