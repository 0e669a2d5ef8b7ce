#include "gossip/gossip.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// The largest nodes carry the callers alone while they hold this part of the capacity of all known nodes.
constexpr double kLeastCapacityShare = 0.2;
constexpr std::size_t kLeastEntries = 2;
// A node whose domain has fewer leafs than this part of the best one's moves more bytes between domains.
constexpr double kNearCoverage = 0.7;
// Nodes of at least this part of the largest one's capacity count as large.
constexpr double kLargeCapacity = 0.5;
// When no other node of at least this many answers, the fault is more likely on this node's side.
constexpr std::size_t kLeastDownWhenCutOff = 2;
// Enough for a caller to avoid several that fail; fewer keep the answer short.
constexpr std::size_t kAddressesAnAnswer = 8;

using Nodes = std::vector<const PeerRecord*>;

std::uint64_t
Capacity(const Nodes& aNodes)
{
  std::uint64_t sum = 0;
  for (const PeerRecord* node : aNodes) {
    sum += node->capacity;
  }
  return sum;
}

Nodes
Running(const std::vector<PeerRecord>& aPeers)
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
  if (ready.size() <= 1 && down.size() >= kLeastDownWhenCutOff) {
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
Suffices(const Nodes& aNodes, std::uint64_t aNeeded)
{
  return aNodes.size() >= kLeastEntries && Capacity(aNodes) >= aNeeded;
}

double
CoverageOf(const EntryPolicy& aPolicy, const PeerRecord& aNode)
{
  const auto found = aPolicy.coverage.find(aNode.failureDomain);
  return found == aPolicy.coverage.end() ? 0 : found->second;
}

Nodes
NearLeafs(const Nodes& aNodes, const EntryPolicy& aPolicy)
{
  double best = 0;
  for (const auto& [domain, share] : aPolicy.coverage) {
    best = std::max(best, share);
  }
  return Select(aNodes,
                [&](const PeerRecord* aNode) { return CoverageOf(aPolicy, *aNode) >= kNearCoverage * best; });
}

Nodes
Large(const Nodes& aNodes)
{
  std::uint32_t largest = 0;
  for (const PeerRecord* node : aNodes) {
    largest = std::max(largest, node->capacity);
  }
  return Select(aNodes,
                [largest](const PeerRecord* aNode) { return aNode->capacity >= kLargeCapacity * largest; });
}

} // namespace

EntryPlan
PlanEntries(const std::vector<PeerRecord>& aPeers, const EntryPolicy& aPolicy)
{
  std::uint64_t known = 0;
  for (const PeerRecord& peer : aPeers) {
    known += peer.capacity;
  }
  const auto needed = static_cast<std::uint64_t>(kLeastCapacityShare * static_cast<double>(known));
  const Nodes running = Running(aPeers);
  const Nodes large = Large(running);
  Nodes chosen = Suffices(large, needed) ? large : running;
  const Nodes near = NearLeafs(chosen, aPolicy);
  chosen = Suffices(near, needed) ? near : chosen;
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
  // Weighted sampling without replacement: the smallest of -log(u) / weight come first.
  std::vector<std::pair<double, const PeerRecord*>> keys;
  for (const PeerRecord& entry : aPlan.entries) {
    if (!near || entry.region == aRegion) {
      keys.emplace_back(-std::log(1 - aRandom.Real()) / entry.capacity, &entry);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.resize(std::min(keys.size(), kAddressesAnAnswer));
  std::vector<Endpoint> addresses;
  for (const auto& [key, entry] : keys) {
    addresses.push_back(entry->callerEndpoint);
  }
  return addresses;
}

} // namespace yp
