#include "placement/internal/domainassignment.h"
#include "framework/global/hash.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::uint32_t kMinHolders = 2;
// Bound on a host's load relative to the mean.
constexpr double kLoadBound = 1.1;
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

std::uint32_t
HolderCount(const ServiceDemand& aDemand, std::size_t aServices, std::size_t aHosts)
{
  const std::size_t toUseAllHosts = (aHosts + aServices - 1) / aServices;
  const std::size_t wanted = std::max<std::size_t>(kMinHolders, toUseAllHosts);
  const std::size_t possible = std::min<std::size_t>(std::max(1U, aDemand.maxHolders), aHosts);
  return static_cast<std::uint32_t>(std::min(wanted, possible));
}

/// Chooses hosts for one position of one service after the other.
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
    std::uint32_t maxHolders = 0;
    double total = 0;
    double units = 0;
    std::vector<std::uint32_t> counts;
    for (const ServiceDemand& demand : this->demands) {
      const std::uint32_t count = HolderCount(demand, this->demands.size(), this->loads.size());
      counts.push_back(count);
      maxHolders = std::max(maxHolders, count);
      total += demand.load;
      units += count;
    }
    const double mean = total / static_cast<double>(this->loads.size());
    this->limit = std::max(mean * kLoadBound, mean + kUnitSlack * total / units);
    DomainAssignment result;
    result.owners.resize(this->demands.size());
    for (std::uint32_t position = 0; position < maxHolders; ++position) {
      for (std::size_t service = 0; service < this->demands.size(); ++service) {
        if (position < counts[service]) {
          const double load = this->demands[service].load / counts[service];
          const std::uint32_t host = this->Choose(service, position, load, result.owners[service]);
          result.owners[service].push_back(host);
          this->loads[host] += load;
        }
      }
    }
    return result;
  }

private:
  std::uint32_t Choose(std::size_t aService,
                       std::uint32_t aPosition,
                       double aLoad,
                       const std::vector<std::uint32_t>& aTaken) const
  {
    const std::uint64_t key = Mix(this->demands[aService].hash, aPosition + 1);
    std::int64_t best = -1;
    std::int64_t leastLoaded = -1;
    std::uint64_t bestScore = 0;
    for (std::uint32_t host = 0; host < this->loads.size(); ++host) {
      if (std::find(aTaken.begin(), aTaken.end(), host) != aTaken.end()) {
        continue;
      }
      if (leastLoaded < 0 || this->loads[host] < this->loads[static_cast<std::size_t>(leastLoaded)]) {
        leastLoaded = host;
      }
      if (this->loads[host] + aLoad > this->limit) {
        continue;
      }
      const std::uint64_t score = Mix(key, this->hostHashes[host]);
      if (best < 0 || score > bestScore) {
        best = host;
        bestScore = score;
      }
    }
    return static_cast<std::uint32_t>(best >= 0 ? best : leastLoaded);
  }

  const std::vector<ServiceDemand>& demands;
  std::vector<std::uint64_t> hostHashes;
  std::vector<double> loads;
  double limit = 0;
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
