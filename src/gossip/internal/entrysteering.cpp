#include "gossip/gossip.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace yp {

namespace {

// A group of nodes suffices as entries if it holds at least this share of the capacity of all known nodes.
constexpr double kMinCapacityShare = 0.15;
// Large nodes with at least this share carry callers together with only as many other nodes as reach
// kMinCapacityShare. A small node may take longer than a route's objective for the processing of one query,
// so that the loss of a few large nodes must not send most callers to small ones.
constexpr double kMinLargeShare = 0.1;
constexpr std::size_t kMinEntries = 2;
// Nodes in failure domains whose coverage is below this fraction of the best domain's are avoided, because
// more of their traffic to leafs crosses failure domains.
constexpr double kNearCoverageRatio = 0.7;
// Nodes with at least this fraction of the largest node's capacity count as large.
constexpr double kLargeCapacityRatio = 0.5;
// When at least this many nodes are unresponsive and no other node answers, the fault is probably on this
// node's side.
constexpr std::size_t kMinDownWhenDisconnected = 2;
// Lets a caller avoid several failing nodes and keeps the answer short.
constexpr std::size_t kAddressesPerAnswer = 8;

using Nodes = std::vector<const PeerRecord*>;

std::uint64_t
TotalCapacity(const Nodes& aNodes)
{
  std::uint64_t sum = 0;
  for (const PeerRecord* node : aNodes) {
    sum += node->capacity;
  }
  return sum;
}

Nodes
SelectRunning(const std::vector<PeerRecord>& aPeers)
{
  Nodes ready;
  Nodes down;
  for (const PeerRecord& peer : aPeers) {
    if (peer.state == PeerState::kReady && !peer.suspected) {
      ready.push_back(&peer);
    } else if (peer.state == PeerState::kReady || peer.state == PeerState::kDown) {
      down.push_back(&peer);
    }
  }
  if (ready.size() <= 1 && down.size() >= kMinDownWhenDisconnected) {
    ready.insert(ready.end(), down.begin(), down.end());
  }
  return ready;
}

template<class Predicate>
Nodes
Select(const Nodes& aNodes, Predicate aPredicate)
{
  Nodes selected;
  std::copy_if(aNodes.begin(), aNodes.end(), std::back_inserter(selected), aPredicate);
  return selected;
}

bool
Suffices(const Nodes& aNodes, double aRequiredCapacity)
{
  return aNodes.size() >= kMinEntries && static_cast<double>(TotalCapacity(aNodes)) >= aRequiredCapacity;
}

double
CoverageOf(const EntryPolicy& aPolicy, const PeerRecord& aNode)
{
  const auto found = aPolicy.coverage.find(aNode.failureDomain);
  return found == aPolicy.coverage.end() ? 0 : found->second;
}

Nodes
SelectNearLeafs(const Nodes& aNodes, const EntryPolicy& aPolicy)
{
  double best = 0;
  for (const auto& [domain, share] : aPolicy.coverage) {
    best = std::max(best, share);
  }
  return Select(aNodes, [&](const PeerRecord* aNode) {
    return CoverageOf(aPolicy, *aNode) >= kNearCoverageRatio * best;
  });
}

Nodes
SelectLarge(const Nodes& aNodes)
{
  std::uint32_t largest = 0;
  for (const PeerRecord* node : aNodes) {
    largest = std::max(largest, node->capacity);
  }
  return Select(
    aNodes, [largest](const PeerRecord* aNode) { return aNode->capacity >= kLargeCapacityRatio * largest; });
}

/// Adds nodes to the entries until they hold the required capacity. Nodes near leafs come first, then large
/// ones; the hash gives all viewers the same order, spread over the failure domains.
Nodes
FillUp(Nodes aChosen, const Nodes& aRunning, const Nodes& aNear, double aRequiredCapacity)
{
  const auto contains = [](const Nodes& aNodes, const PeerRecord* aNode) {
    return std::find(aNodes.begin(), aNodes.end(), aNode) != aNodes.end();
  };
  std::vector<std::tuple<bool, std::uint32_t, std::uint64_t, const PeerRecord*>> others;
  for (const PeerRecord* node : aRunning) {
    if (!contains(aChosen, node)) {
      others.emplace_back(contains(aNear, node), node->capacity, Hash64(node->host), node);
    }
  }
  std::sort(others.begin(), others.end(), std::greater<>());
  auto capacity = static_cast<double>(TotalCapacity(aChosen));
  for (const auto& [near, nodeCapacity, hash, node] : others) {
    if (capacity >= aRequiredCapacity) {
      break;
    }
    aChosen.push_back(node);
    capacity += nodeCapacity;
  }
  return aChosen;
}

} // namespace

EntryPlan
PlanEntries(const std::vector<PeerRecord>& aPeers, const EntryPolicy& aPolicy)
{
  std::uint64_t known = 0;
  for (const PeerRecord& peer : aPeers) {
    known += peer.capacity;
  }
  const double requiredCapacity = kMinCapacityShare * static_cast<double>(known);
  const Nodes running = SelectRunning(aPeers);
  const Nodes large = SelectLarge(running);
  Nodes chosen = running;
  if (Suffices(large, requiredCapacity)) {
    chosen = large;
  } else if (Suffices(large, kMinLargeShare * static_cast<double>(known))) {
    chosen = FillUp(large, running, SelectNearLeafs(running, aPolicy), requiredCapacity);
  }
  const Nodes near = SelectNearLeafs(chosen, aPolicy);
  chosen = Suffices(near, requiredCapacity) ? near : chosen;
  EntryPlan plan;
  for (const PeerRecord* node : chosen) {
    plan.entries.push_back(*node);
    plan.capacity += node->capacity;
    plan.includesOwn |= node == &aPeers.front();
  }
  return plan;
}

std::vector<Endpoint>
DrawEntries(const EntryPlan& aPlan, const std::string& aRegion, IRandom& aRandom)
{
  const bool near = std::any_of(aPlan.entries.begin(),
                                aPlan.entries.end(),
                                [&aRegion](const PeerRecord& aEntry) { return aEntry.region == aRegion; });
  // Weighted sampling without replacement: orders the entries by -log(u) / capacity with u uniform in (0, 1].
  std::vector<std::pair<double, const PeerRecord*>> keys;
  for (const PeerRecord& entry : aPlan.entries) {
    if (!near || entry.region == aRegion) {
      keys.emplace_back(-std::log(1 - aRandom.Real()) / entry.capacity, &entry);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(keys.size(), kAddressesPerAnswer));
  std::vector<Endpoint> addresses;
  for (const auto& [key, entry] : keys) {
    addresses.push_back(entry->callerEndpoint);
  }
  return addresses;
}

} // namespace yp
