#include "changefeed/readerrank.h"
#include <algorithm>
#include <map>
#include <set>

namespace yp {

namespace {

// Below this size it costs less that all nodes read than that they tell each other.
constexpr std::size_t kSmallFleet = 4;
// Any two may be lost at the same moment.
constexpr std::size_t kReaders = 3;

bool
Up(const PeerRecord& aPeer)
{
  return aPeer.state == PeerState::kReady || aPeer.state == PeerState::kJoining;
}

/// Largest first; ready ones before joining ones.
std::vector<const PeerRecord*>
Ranked(const std::vector<PeerRecord>& aPeers)
{
  std::vector<const PeerRecord*> ranked;
  for (const PeerRecord& peer : aPeers) {
    if (Up(peer)) {
      ranked.push_back(&peer);
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const PeerRecord* aLeft, const PeerRecord* aRight) {
    if (aLeft->state != aRight->state) {
      return aLeft->state == PeerState::kReady;
    }
    if (aLeft->capacity != aRight->capacity) {
      return aLeft->capacity > aRight->capacity;
    }
    return Hash64(aLeft->host) < Hash64(aRight->host);
  });
  return ranked;
}

/// The node that passes news on inside each failure domain: the first of the domain in the ranking.
using Relays = std::map<std::string, const PeerRecord*>;

Relays
ChooseRelays(const std::vector<PeerRecord>& aPeers)
{
  Relays relays;
  for (const PeerRecord* peer : Ranked(aPeers)) {
    relays.emplace(peer->failureDomain, peer);
  }
  return relays;
}

} // namespace

std::vector<std::string>
ChooseReaders(const std::vector<PeerRecord>& aPeers)
{
  std::vector<std::string> readers;
  std::set<std::string> domains;
  std::vector<const PeerRecord*> ranked = Ranked(aPeers);
  const bool small = ranked.size() <= kSmallFleet;
  ranked.erase(std::remove_if(ranked.begin(),
                              ranked.end(),
                              [](const PeerRecord* aPeer) { return aPeer->sourceUnreachable; }),
               ranked.end());
  for (const bool spread : { true, false }) {
    for (const PeerRecord* peer : ranked) {
      const bool chosen = std::find(readers.begin(), readers.end(), peer->host) != readers.end();
      if (chosen || (spread && domains.count(peer->failureDomain) != 0)) {
        continue;
      }
      if (small || readers.size() < kReaders) {
        readers.push_back(peer->host);
        domains.insert(peer->failureDomain);
      }
    }
  }
  return readers;
}

std::vector<const PeerRecord*>
ChoosePeersToNotify(const std::vector<PeerRecord>& aPeers, bool aReads)
{
  const PeerRecord& own = aPeers.front();
  const Relays relays = ChooseRelays(aPeers);
  const auto isRelay = [&relays](const PeerRecord& aPeer) {
    const auto found = relays.find(aPeer.failureDomain);
    return found != relays.end() && found->second == &aPeer;
  };
  const bool tellsDomain = aReads || isRelay(own);
  std::vector<const PeerRecord*> told;
  for (const PeerRecord& peer : aPeers) {
    const bool domain = tellsDomain && peer.failureDomain == own.failureDomain;
    if (&peer != &own && Up(peer) && (domain || (aReads && isRelay(peer)))) {
      told.push_back(&peer);
    }
  }
  return told;
}

} // namespace yp
