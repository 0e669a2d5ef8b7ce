#include "placement/internal/domainassignment.h"
#include "framework/global/hash.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::size_t kMinHolders = 2;
// Bound on a host's load relative to the mean. The weights even the load out within 10 %, so the bound only
// has to keep hosts from staying without work; a tight one makes chains of moves when a host goes.
constexpr double kLoadBound = 1.5;
// With few services a host, the bound must leave room for a whole service.
constexpr double kUnitSlack = 0.5;

/// Mixes two hashes (finaliser of SplitMix64); a full hash of the strings for each pair costs ten times more.
std::uint64_t
Mix(std::uint64_t aFirst, std::uint64_t aSecond)
{
  std::uint64_t value = aFirst ^ (aSecond * 0x9e3779b97f4a7c15ULL);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Every host gets a position if the services have enough; two positions if that leaves each holder two
/// connections to every shard. With one position a host, some hosts stay without work; with one connection to
/// a shard, a holder cannot send a hedge to another replica.
std::uint32_t
HolderCount(const ServiceDemand& aDemand, std::size_t aServices, std::size_t aHosts)
{
  const std::size_t most = std::max<std::size_t>(1, aDemand.maxHolders);
  const std::size_t onePerHost = (aHosts + aServices - 1) / aServices;
  const std::size_t twoPerHost = (2 * aHosts + aServices - 1) / aServices;
  const std::size_t wanted = std::max({ kMinHolders, onePerHost, std::min(twoPerHost, most / 2) });
  return static_cast<std::uint32_t>(std::min({ wanted, most, aHosts }));
}

/// One position of one service.
struct Unit
{
  std::size_t service = 0;
  std::uint32_t position = 0;
  std::uint64_t key = 0;
  double load = 0;
};

/// The best host with room for a unit, in one round.
struct Bid
{
  std::uint32_t host = 0;
  std::uint64_t score = 0;
  std::size_t unit = 0;
};

/// Assigns units to hosts in rounds. In each round every open unit bids for its best host with room, and
/// hosts accept by score. A unit that has to move then competes only with units that are open in its round;
/// when units choose one after the other, it takes the first choice of a later one, which starts a chain of
/// moves.
class Assigner
{
public:
  Assigner(const std::vector<ServiceDemand>& aDemands, const std::vector<std::string>& aHosts)
    : demands(aDemands)
    , loads(aHosts.size(), 0.0)
  {
    for (const std::string& host : aHosts) {
      this->hostHashes.push_back(Hash64(host));
    }
  }

  DomainAssignment Run()
  {
    this->MakeUnits();
    while (!this->open.empty()) {
      this->Round();
    }
    return std::move(this->result);
  }

private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  void MakeUnits()
  {
    double total = 0;
    this->result.owners.resize(this->demands.size());
    for (std::size_t service = 0; service < this->demands.size(); ++service) {
      const ServiceDemand& demand = this->demands[service];
      const std::uint32_t count = HolderCount(demand, this->demands.size(), this->loads.size());
      this->result.owners[service].assign(count, kNone);
      total += demand.load;
      for (std::uint32_t position = 0; position < count; ++position) {
        this->units.push_back({ service, position, Mix(demand.hash, position + 1), demand.load / count });
        this->open.push_back(this->units.size() - 1);
      }
    }
    const double mean = total / static_cast<double>(this->loads.size());
    const double meanUnit = total / static_cast<double>(this->units.size());
    this->limit = std::max(mean * kLoadBound, mean + kUnitSlack * meanUnit);
  }

  void Round()
  {
    std::vector<Bid> bids;
    std::vector<std::size_t> homeless;
    for (const std::size_t unit : this->open) {
      const Bid bid = this->BestHost(unit);
      if (bid.host == kNone) {
        homeless.push_back(unit);
      } else {
        bids.push_back(bid);
      }
    }
    std::sort(bids.begin(), bids.end(), [](const Bid& aLeft, const Bid& aRight) {
      return aLeft.score != aRight.score ? aLeft.score > aRight.score : aLeft.unit < aRight.unit;
    });
    this->open.clear();
    for (const Bid& bid : bids) {
      const Unit& unit = this->units[bid.unit];
      if (this->HasRoom(bid.host, unit) && !this->Holds(bid.host, unit)) {
        this->Accept(bid.host, unit);
      } else {
        this->open.push_back(bid.unit);
      }
    }
    for (const std::size_t unit : homeless) {
      this->Accept(this->LeastLoaded(this->units[unit]), this->units[unit]);
    }
  }

  bool HasRoom(std::uint32_t aHost, const Unit& aUnit) const
  {
    return this->loads[aHost] + aUnit.load <= this->limit;
  }

  /// \return whether a host has another position of the unit's service
  bool Holds(std::uint32_t aHost, const Unit& aUnit) const
  {
    const std::vector<std::uint32_t>& owners = this->result.owners[aUnit.service];
    return std::find(owners.begin(), owners.end(), aHost) != owners.end();
  }

  void Accept(std::uint32_t aHost, const Unit& aUnit)
  {
    this->loads[aHost] += aUnit.load;
    this->result.owners[aUnit.service][aUnit.position] = aHost;
  }

  Bid BestHost(std::size_t aUnit) const
  {
    const Unit& unit = this->units[aUnit];
    Bid best{ kNone, 0, aUnit };
    for (std::uint32_t host = 0; host < this->loads.size(); ++host) {
      const std::uint64_t score = Mix(unit.key, this->hostHashes[host]);
      const bool better = best.host == kNone || score > best.score;
      if (better && this->HasRoom(host, unit) && !this->Holds(host, unit)) {
        best.host = host;
        best.score = score;
      }
    }
    return best;
  }

  std::uint32_t LeastLoaded(const Unit& aUnit) const
  {
    std::uint32_t least = kNone;
    for (std::uint32_t host = 0; host < this->loads.size(); ++host) {
      if (!this->Holds(host, aUnit) && (least == kNone || this->loads[host] < this->loads[least])) {
        least = host;
      }
    }
    return least;
  }

  const std::vector<ServiceDemand>& demands;
  std::vector<std::uint64_t> hostHashes;
  std::vector<double> loads;
  std::vector<Unit> units;
  std::vector<std::size_t> open; ///< units without a host, in the order of the demands
  double limit = 0;
  DomainAssignment result;
};

} // namespace

DomainAssignment
AssignDomain(const std::vector<ServiceDemand>& aDemands, const std::vector<std::string>& aHosts)
{
  if (aDemands.empty() || aHosts.empty()) {
    DomainAssignment none;
    none.owners.resize(aDemands.size());
    return none;
  }
  return Assigner(aDemands, aHosts).Run();
}

} // namespace yp
