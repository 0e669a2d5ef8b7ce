#include "placement/internal/leafshares.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

using ShardKey = std::pair<LayoutId, ShardId>;
using Replicas = std::map<ShardKey, std::vector<const LeafSpec*>>;

Replicas
GroupByShard(const ServiceSpec& aService)
{
  Replicas replicas;
  for (const LeafSpec& leaf : aService.leafs) {
    replicas[{ leaf.layout, leaf.shard }].push_back(&leaf);
  }
  for (auto& entry : replicas) {
    std::sort(entry.second.begin(), entry.second.end(), [](const LeafSpec* aLeft, const LeafSpec* aRight) {
      return aLeft->leaf < aRight->leaf;
    });
  }
  return replicas;
}

/// Divides one leaf's connections among the failure domains.
struct DomainDivision
{
  std::uint32_t usable = 0;
  std::uint32_t domains = 1;

  /// \return position of a failure domain in the cyclic order that starts at aStart
  std::uint32_t Rank(std::uint32_t aDomain, std::uint64_t aStart) const
  {
    return (aDomain + this->domains - static_cast<std::uint32_t>(aStart % this->domains)) % this->domains;
  }

  /// \param aOwn failure domain of the leaf, or -1
  /// \param aReplica index of the leaf among the replicas of its shard
  std::uint32_t Share(std::uint32_t aDomain, int aOwn, std::uint64_t aShardHash, std::size_t aReplica) const
  {
    const std::uint32_t base = this->usable / this->domains;
    const std::uint32_t leftover = this->usable % this->domains;
    const std::uint64_t start = aShardHash % this->domains + aReplica * leftover;
    const std::uint32_t rank = this->Rank(aDomain, start);
    // With less than one connection a domain, own-domain preference would leave other domains without the
    // shard.
    if (base == 0 || aOwn < 0 || leftover == 0) {
      return base + (rank < leftover ? 1 : 0);
    }
    const auto own = static_cast<std::uint32_t>(aOwn);
    if (aDomain == own) {
      return base + 1;
    }
    const std::uint32_t rankAmongOthers = rank - (this->Rank(own, start) < rank ? 1 : 0);
    return base + (rankAmongOthers < leftover - 1 ? 1 : 0);
  }
};

} // namespace

int
DeclaredDomains::Find(const std::string& aName) const
{
  if (this->names.size() == 1 && this->names[0].empty()) {
    return 0;
  }
  const auto found = std::lower_bound(this->names.begin(), this->names.end(), aName);
  return found != this->names.end() && *found == aName ? static_cast<int>(found - this->names.begin()) : -1;
}

DeclaredDomains
ReadDomains(const FleetSpec& aFleet)
{
  DeclaredDomains domains;
  for (const FailureDomainSpec& domain : aFleet.failureDomains) {
    domains.names.push_back(domain.name);
  }
  if (domains.names.empty()) {
    domains.names.emplace_back();
  }
  std::sort(domains.names.begin(), domains.names.end());
  return domains;
}

std::uint32_t
UsableConnections(const ServiceSpec& aService, const FleetSpec& aFleet)
{
  const double usable = aService.connections * (100.0 - aFleet.connectionHeadroomPercent) / 100.0;
  // 25 less 4 % is 24, also when the product is 23.999999.
  return static_cast<std::uint32_t>(std::floor(usable + 1e-6));
}

std::uint32_t
ConnectionsPerShardAndDomain(const ServiceSpec& aService, const FleetSpec& aFleet)
{
  std::map<ShardKey, std::uint32_t> replicas;
  for (const LeafSpec& leaf : aService.leafs) {
    ++replicas[{ leaf.layout, leaf.shard }];
  }
  const auto domains = static_cast<std::uint32_t>(std::max<std::size_t>(1, aFleet.failureDomains.size()));
  const std::uint32_t usable = UsableConnections(aService, aFleet);
  std::uint32_t least = UINT32_MAX;
  for (const auto& entry : replicas) {
    const std::uint32_t total =
      usable / domains > 0 ? usable / domains * entry.second : usable * entry.second / domains;
    least = std::min(least, total);
  }
  return replicas.empty() ? 1 : least;
}

std::map<std::string, std::uint32_t>
SharesOfPositions(const ServiceSpec& aService,
                  const FleetSpec& aFleet,
                  ConnectionPool aPool,
                  int aDomain,
                  const std::vector<bool>& aMine)
{
  std::map<std::string, std::uint32_t> shares;
  if (aDomain < 0 || std::find(aMine.begin(), aMine.end(), true) == aMine.end()) {
    return shares;
  }
  const DeclaredDomains domains = ReadDomains(aFleet);
  const std::uint32_t usable = UsableConnections(aService, aFleet);
  const DomainDivision division{ aPool == ConnectionPool::kUsable ? usable : aService.connections - usable,
                                 static_cast<std::uint32_t>(domains.names.size()) };
  for (const auto& entry : GroupByShard(aService)) {
    const std::string key =
      aService.name + "/" + std::to_string(entry.first.first) + "/" + std::to_string(entry.first.second);
    const std::uint64_t hash = Hash64(key);
    // Consecutive connections of a shard go to different positions, so every position reaches the shard.
    std::size_t next = (hash >> 32) % aMine.size();
    for (std::size_t replica = 0; replica < entry.second.size(); ++replica) {
      const LeafSpec& spec = *entry.second[replica];
      const std::uint32_t count =
        division.Share(static_cast<std::uint32_t>(aDomain), domains.Find(spec.failureDomain), hash, replica);
      std::uint32_t mine = 0;
      for (std::uint32_t i = 0; i < count; ++i, ++next) {
        mine += aMine[next % aMine.size()] ? 1 : 0;
      }
      if (mine > 0) {
        shares[spec.leaf] = mine;
      }
    }
  }
  return shares;
}

} // namespace yp
