#include "changefeed/readerrank.h"
#include <algorithm>
#include <map>
#include <set>

namespace yp {

namespace {

// In a fleet of at most this size, reading by all nodes costs less than distribution between them.
constexpr std::size_t kSmallFleetSize = 4;
// Two readers may fail at the same time.
constexpr std::size_t kReaderCount = 3;

bool
IsUp(const PeerRecord& aPeer)
{
  return aPeer.state == PeerState::kReady || aPeer.state == PeerState::kJoining;
}

/// \return the joining and ready nodes: ready ones first, then by descending capacity
std::vector<const PeerRecord*>
Ranked(const std::vector<PeerRecord>& aPeers)
{
  std::vector<const PeerRecord*> ranked;
  for (const PeerRecord& peer : aPeers) {
    if (IsUp(peer)) {
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

/// The relay of each failure domain, which notifies the other nodes there: the first of the domain in the
/// ranking.
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
  const bool small = ranked.size() <= kSmallFleetSize;
  ranked.erase(std::remove_if(ranked.begin(),
                              ranked.end(),
                              [](const PeerRecord* aPeer) { return aPeer->sourceUnreachable; }),
               ranked.end());
  for (const bool distinctDomains : { true, false }) {
    for (const PeerRecord* peer : ranked) {
      const bool chosen = std::find(readers.begin(), readers.end(), peer->host) != readers.end();
      if (chosen || (distinctDomains && domains.count(peer->failureDomain) != 0)) {
        continue;
      }
      if (small || readers.size() < kReaderCount) {
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
  const bool notifiesDomain = aReads || isRelay(own);
  std::vector<const PeerRecord*> notified;
  for (const PeerRecord& peer : aPeers) {
    const bool domain = notifiesDomain && peer.failureDomain == own.failureDomain;
    if (&peer != &own && IsUp(peer) && (domain || (aReads && isRelay(peer)))) {
      notified.push_back(&peer);
    }
  }
  return notified;
}

} // namespace yp
