#include "gossip/gossip.h"
#include <algorithm>

namespace yp {

namespace {

// Nodes next to the leafs take all callers as long as they keep this part of the capacity, and two of them
// are there: with fewer, the bytes that stay in a domain are not worth the queue in front of the processor.
constexpr double kLeastCapacityShare = 0.4;
constexpr std::size_t kLeastNodes = 2;
// When no other node of at least this many answers, the fault is more likely on this node's side.
constexpr std::size_t kLeastDownWhenCutOff = 2;

std::uint64_t
Capacity(const std::vector<const PeerRecord*>& aNodes)
{
  std::uint64_t sum = 0;
  for (const PeerRecord* node : aNodes) {
    sum += node->capacity;
  }
  return sum;
}

/// Nodes that run as far as this node knows.
std::vector<const PeerRecord*>
Candidates(const std::vector<PeerRecord>& aPeers, const std::string& aRegion)
{
  std::size_t running = 0;
  std::size_t down = 0;
  for (const PeerRecord& peer : aPeers) {
    running += peer.state == PeerState::kReady ? 1 : 0;
    down += peer.state == PeerState::kDown ? 1 : 0;
  }
  const bool cutOff = running <= 1 && down >= kLeastDownWhenCutOff;
  std::vector<const PeerRecord*> all;
  std::vector<const PeerRecord*> near;
  for (const PeerRecord& peer : aPeers) {
    if (peer.state != PeerState::kReady && !(cutOff && peer.state == PeerState::kDown)) {
      continue;
    }
    all.push_back(&peer);
    if (peer.region == aRegion) {
      near.push_back(&peer);
    }
  }
  return near.empty() ? all : near;
}

} // namespace

std::vector<Endpoint>
ChooseEntries(const std::vector<PeerRecord>& aPeers, const SteeringQuery& aQuery, IRandom& aRandom)
{
  std::vector<const PeerRecord*> nodes = Candidates(aPeers, aQuery.region);
  std::vector<const PeerRecord*> local;
  for (const PeerRecord* node : nodes) {
    if (aQuery.servedDomains.count(node->failureDomain) != 0) {
      local.push_back(node);
    }
  }
  const double least = kLeastCapacityShare * static_cast<double>(Capacity(nodes));
  if (local.size() >= kLeastNodes && static_cast<double>(Capacity(local)) >= least) {
    nodes = std::move(local);
  }
  std::vector<Endpoint> entries;
  while (!nodes.empty() && entries.size() < aQuery.maxAddresses) {
    const std::size_t chosen = aRandom.Below(nodes.size());
    entries.push_back(nodes[chosen]->callers);
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  return entries;
}

} // namespace yp
