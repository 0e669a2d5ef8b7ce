#include "placement/internal/placementplanner.h"
#include "placement/internal/loadweights.h"
#include <algorithm>
#include <numeric>

namespace yp {

namespace {

/// \return whether a host certainly runs no node: it says so, or the host list has dropped it
bool
CertainlyGone(const MemberView& aView, const std::string& aHost)
{
  const auto found = std::lower_bound(
    aView.members.begin(),
    aView.members.end(),
    aHost,
    [](const MemberStatus& aMember, const std::string& aName) { return aMember.record.host < aName; });
  if (found == aView.members.end() || found->record.host != aHost) {
    return true;
  }
  return !found->placed && found->record.state == MemberState::kGone;
}

/// Keeps for each leaf the smaller count of both.
void
TakeMinimum(std::map<std::string, std::uint32_t>& aShares, const std::map<std::string, std::uint32_t>& aBound)
{
  for (auto entry = aShares.begin(); entry != aShares.end();) {
    const auto bound = aBound.find(entry->first);
    if (bound == aBound.end()) {
      entry = aShares.erase(entry);
      continue;
    }
    entry->second = std::min(entry->second, bound->second);
    ++entry;
  }
}

} // namespace

std::unique_ptr<IPlacementPlanner>
MakePlacementPlanner(const PlacementOptions& aOptions)
{
  return std::make_unique<PlacementPlanner>(aOptions);
}

bool
Placement::Holds(const std::string& aService) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() && !found->second.ownConnections.empty();
}

PlacementPlanner::PlacementPlanner(const PlacementOptions& aOptions)
  : options(aOptions)
{
}

Ref<const Placement>
PlacementPlanner::Plan(const TicketState& aState, const MemberView& aView, TimePoint aNow)
{
  const bool ticketsChanged = this->UpdateServices(aState);
  this->self = aView.self;
  this->UpdateDomains(this->GroupHosts(aView), ticketsChanged);
  this->UpdateHistory(aView, aNow, ticketsChanged);
  Ref<Placement> placement(new Placement);
  placement->ticket = aState.inForce;
  placement->services = this->holders;
  if (this->ownDomain < 0 || (this->waitUntil && aNow < *this->waitUntil)) {
    return placement;
  }
  for (std::size_t service = 0; service < this->demands.size(); ++service) {
    placement->services[this->demands[service].name].ownConnections =
      this->OwnConnections(aState, aView, service);
  }
  return placement;
}

bool
PlacementPlanner::UpdateServices(const TicketState& aState)
{
  if (aState.services == this->knownServices && aState.fleet == this->knownFleet) {
    return false;
  }
  this->knownServices = aState.services;
  this->knownFleet = aState.fleet;
  this->declared = ReadDomains(*aState.fleet);
  this->demands.clear();
  for (const auto& entry : aState.services) {
    const ServiceSpec& service = *entry.second;
    ServiceDemand demand;
    demand.name = service.name;
    demand.hash = Hash64(service.name);
    demand.load = service.loadWeight * static_cast<double>(service.leafs.size());
    demand.maxHolders = ConnectionsPerShardAndDomain(service, *aState.fleet);
    this->demands.push_back(std::move(demand));
  }
  return true;
}

PlacementPlanner::PlacedHosts
PlacementPlanner::GroupHosts(const MemberView& aView) const
{
  PlacedHosts placed;
  placed.byDomain.resize(this->declared.names.size());
  for (const MemberStatus& member : aView.members) {
    const int domain = member.placed ? this->declared.Find(member.record.failureDomain) : -1;
    if (domain >= 0) {
      placed.byDomain[static_cast<std::size_t>(domain)].push_back(
        static_cast<std::uint32_t>(placed.names.size()));
      placed.names.push_back(&member.record.host);
    }
  }
  return placed;
}

void
PlacementPlanner::UpdateDomains(const PlacedHosts& aPlaced, bool aAll)
{
  bool changed = aAll;
  this->domains.resize(aPlaced.byDomain.size());
  this->ownDomain = -1;
  for (std::size_t index = 0; index < aPlaced.byDomain.size(); ++index) {
    Domain& domain = this->domains[index];
    const std::vector<std::uint32_t>& ranks = aPlaced.byDomain[index];
    const bool same = std::equal(
      domain.hosts.begin(),
      domain.hosts.end(),
      ranks.begin(),
      ranks.end(),
      [&](const std::string& aHost, std::uint32_t aRank) { return aHost == *aPlaced.names[aRank]; });
    if (aAll || !same) {
      domain.hosts.clear();
      for (const std::uint32_t rank : ranks) {
        domain.hosts.push_back(*aPlaced.names[rank]);
      }
      domain.assignment = AssignDomain(this->demands, domain.hosts);
      changed = true;
    }
    if (std::binary_search(domain.hosts.begin(), domain.hosts.end(), this->self)) {
      this->ownDomain = static_cast<int>(index);
    }
  }
  if (changed) {
    this->BuildHolders(aPlaced);
  }
}

void
PlacementPlanner::UpdateHistory(const MemberView& aView, TimePoint aNow, bool aAll)
{
  const bool first = !this->planned;
  this->planned = true;
  if (first && this->history.empty() && this->OthersReady(aView)) {
    this->waitUntil = aNow + this->options.growthDelay;
  }
  for (PastSet& past : this->history) {
    if (aAll) {
      past.domain.assignment = AssignDomain(this->demands, past.domain.hosts);
    }
  }
  Domain current{ {}, AssignDomain(this->demands, {}) };
  if (this->ownDomain >= 0) {
    current = this->domains[static_cast<std::size_t>(this->ownDomain)];
  }
  if (this->history.empty() || this->history.back().domain.hosts != current.hosts) {
    this->history.push_back({ aNow, current });
  }
  this->DropOldHistory(aNow);
}

void
PlacementPlanner::DropOldHistory(TimePoint aNow)
{
  while (this->history.size() > 1 && this->history[1].since + this->options.growthDelay <= aNow) {
    this->history.pop_front();
  }
}

/// \return whether another node of the own failure domain serves and may hold connections
bool
PlacementPlanner::OthersReady(const MemberView& aView) const
{
  const MemberStatus* own = nullptr;
  for (const MemberStatus& member : aView.members) {
    own = member.record.host == this->self ? &member : own;
  }
  return std::any_of(aView.members.begin(), aView.members.end(), [&](const MemberStatus& aMember) {
    return own != nullptr && &aMember != own && aMember.record.failureDomain == own->record.failureDomain &&
           (aMember.record.state == MemberState::kReady || aMember.record.state == MemberState::kLeaving);
  });
}

void
PlacementPlanner::BuildHolders(const PlacedHosts& aPlaced)
{
  std::vector<WeightedService> weighted(this->demands.size());
  for (std::size_t index = 0; index < this->domains.size(); ++index) {
    for (std::size_t service = 0; service < this->demands.size(); ++service) {
      for (const std::uint32_t owner : this->domains[index].assignment.owners[service]) {
        weighted[service].holders.push_back(aPlaced.byDomain[index][owner]);
      }
    }
  }
  for (std::size_t service = 0; service < this->demands.size(); ++service) {
    weighted[service].load = this->demands[service].load;
    // Ranks follow the names, so this sorts by name.
    std::sort(weighted[service].holders.begin(), weighted[service].holders.end());
  }
  BalanceWeights(weighted, aPlaced.names.size());
  this->holders.clear();
  for (std::size_t service = 0; service < this->demands.size(); ++service) {
    ServicePlacement& placement = this->holders[this->demands[service].name];
    placement.holders.reserve(weighted[service].holders.size());
    for (const std::uint32_t rank : weighted[service].holders) {
      placement.holders.push_back(*aPlaced.names[rank]);
    }
    placement.weights = std::move(weighted[service].weights);
  }
}

std::map<std::string, std::uint32_t>
PlacementPlanner::LeastShares(const TicketState& aState,
                              const MemberView& aView,
                              std::size_t aService,
                              bool aTakeover) const
{
  const ServiceSpec& service = *aState.services.at(this->demands[aService].name);
  std::map<std::string, std::uint32_t> least;
  std::vector<bool> previous;
  for (auto past = this->history.rbegin(); past != this->history.rend(); ++past) {
    const std::vector<bool> allowed = this->AllowedPositions(*past, aView, aService, aTakeover);
    if (past != this->history.rbegin() && allowed == previous) {
      continue;
    }
    const auto shares =
      SharesOfPositions(service, *aState.fleet, ConnectionPool::kUsable, this->ownDomain, allowed);
    if (past == this->history.rbegin()) {
      least = shares;
    } else {
      TakeMinimum(least, shares);
    }
    if (least.empty()) {
      break;
    }
    previous = allowed;
  }
  return least;
}

std::map<std::string, std::uint32_t>
PlacementPlanner::OwnConnections(const TicketState& aState,
                                 const MemberView& aView,
                                 std::size_t aService) const
{
  std::map<std::string, std::uint32_t> shares = this->LeastShares(aState, aView, aService, false);
  const std::map<std::string, std::uint32_t> wanted = this->LeastShares(aState, aView, aService, true);
  if (wanted == shares) {
    return shares;
  }
  // The former holder may have come back unseen, so what is taken over early has to fit into the headroom.
  const std::vector<bool> mine = this->AllowedPositions(this->history.back(), aView, aService, false);
  const ServiceSpec& service = *aState.services.at(this->demands[aService].name);
  const auto spare =
    SharesOfPositions(service, *aState.fleet, ConnectionPool::kHeadroom, this->ownDomain, mine);
  for (const auto& entry : wanted) {
    const auto extra = spare.find(entry.first);
    const std::uint32_t now = shares.count(entry.first) == 0 ? 0 : shares.at(entry.first);
    if (extra != spare.end() && entry.second > now) {
      shares[entry.first] = std::min(entry.second, now + extra->second);
    }
  }
  return shares;
}

/// Positions that this node had in a host set, and those that it has now and whose holder then is gone.
std::vector<bool>
PlacementPlanner::AllowedPositions(const PastSet& aSet,
                                   const MemberView& aView,
                                   std::size_t aService,
                                   bool aTakeover) const
{
  const std::vector<std::uint32_t>& then = aSet.domain.assignment.owners[aService];
  const Domain& current = this->history.back().domain;
  const std::vector<std::uint32_t>& now = current.assignment.owners[aService];
  std::vector<bool> allowed(then.size(), false);
  for (std::size_t position = 0; position < then.size(); ++position) {
    const std::string& owner = aSet.domain.hosts[then[position]];
    const bool mineNow = position < now.size() && current.hosts[now[position]] == this->self;
    allowed[position] = owner == this->self || (aTakeover && mineNow && CertainlyGone(aView, owner));
  }
  return allowed;
}

PlacementHistory
PlacementPlanner::ExportHistory(TimePoint aNow) const
{
  PlacementHistory exported;
  if (this->ownDomain < 0 || (this->waitUntil && aNow < *this->waitUntil)) {
    return exported;
  }
  exported.failureDomain = this->declared.names[static_cast<std::size_t>(this->ownDomain)];
  for (const PastSet& past : this->history) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - past.since);
    exported.sets.push_back({ age, past.domain.hosts });
  }
  return exported;
}

void
PlacementPlanner::ImportHistory(const PlacementHistory& aHistory, TimePoint aNow)
{
  const bool waiting = this->waitUntil && aNow < *this->waitUntil;
  if ((this->planned && !waiting) || aHistory.sets.empty()) {
    return;
  }
  std::deque<PastSet> imported;
  for (const PastHosts& past : aHistory.sets) {
    imported.push_back({ aNow - past.age, { past.hosts, AssignDomain(this->demands, past.hosts) } });
  }
  // What this process has seen itself since its start stays part of the history.
  for (PastSet& past : this->history) {
    past.since = std::max(past.since, imported.back().since);
    imported.push_back(std::move(past));
  }
  this->history = std::move(imported);
  this->waitUntil.reset();
}

} // namespace yp
