#include "steering/internal/steeringtable.h"
#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace yp {

namespace {

constexpr std::size_t kFallbackNodesPerDomain = 4;

/// Builds one table; Run is called once.
class TableBuilder
{
public:
  TableBuilder(const TicketState& aState,
               const MemberView& aView,
               const Placement& aPlacement,
               const SteeringOptions& aOptions)
    : state(aState)
    , view(aView)
    , placement(aPlacement)
    , options(aOptions)
    , table(new SteeringTable)
  {
  }

  Ref<const SteeringTable> Run()
  {
    this->table->ticket = this->state.inForce;
    this->table->ttl = this->state.fleet->addressTtl;
    this->table->self = this->view.self;
    this->members.reserve(this->view.members.size());
    for (const MemberStatus& member : this->view.members) {
      this->members.emplace(member.record.host, &member);
    }
    this->self = this->FindMember(this->view.self);
    for (const auto& entry : this->placement.services) {
      this->AddHolders(entry.first, entry.second);
    }
    for (const auto& entry : this->state.callers) {
      this->AddCaller(*entry.second);
    }
    this->AddFallbackNodes();
    return this->table;
  }

private:
  static bool Usable(const MemberStatus& aMember)
  {
    return aMember.record.state == MemberState::kReady && !aMember.unreachable && !aMember.listedLeaving;
  }

  const MemberStatus* FindMember(const std::string& aHost) const
  {
    const auto found = this->members.find(aHost);
    return found == this->members.end() ? nullptr : found->second;
  }

  double Preference(const MemberRecord& aRecord) const
  {
    if (this->self == nullptr) {
      return 1;
    }
    if (aRecord.failureDomain == this->self->record.failureDomain) {
      return this->options.sameDomainPreference;
    }
    return aRecord.region == this->self->record.region ? this->options.sameRegionPreference : 1;
  }

  std::size_t AddNode(const MemberRecord& aRecord)
  {
    const auto known = this->indices.emplace(aRecord.host, this->table->nodes.size());
    if (known.second) {
      this->table->nodes.push_back(
        { aRecord.host, aRecord.callerEndpoint, aRecord.failureDomain, this->Preference(aRecord) });
    }
    return known.first->second;
  }

  void AddHolders(const std::string& aService, const ServicePlacement& aPlacement)
  {
    std::vector<SteeringHolder>& holders = this->table->holders[aService];
    const double evenShare = 1.0 / static_cast<double>(std::max<std::size_t>(1, aPlacement.holders.size()));
    for (std::size_t i = 0; i < aPlacement.holders.size(); ++i) {
      const MemberStatus* member = this->FindMember(aPlacement.holders[i]);
      if (member != nullptr && Usable(*member)) {
        const double share = i < aPlacement.weights.size() ? aPlacement.weights[i] : evenShare;
        holders.push_back({ this->AddNode(member->record), share });
      }
    }
  }

  void AddCaller(const CallerSpec& aCaller)
  {
    std::vector<SteeringCandidate>& candidates = this->table->candidates[aCaller.name];
    std::map<std::size_t, SteeringCandidate> found;
    for (const std::string& service : aCaller.services) {
      const auto holders = this->table->holders.find(service);
      if (holders == this->table->holders.end()) {
        continue;
      }
      for (const SteeringHolder& holder : holders->second) {
        SteeringCandidate& candidate = found[holder.node];
        candidate.node = holder.node;
        ++candidate.services;
        candidate.weight += holder.share;
      }
    }
    for (const auto& entry : found) {
      const SteeringNode& node = this->table->nodes[entry.first];
      candidates.push_back(entry.second);
      candidates.back().weight *= node.preference;
    }
  }

  void AddFallbackNodes()
  {
    std::map<std::string, std::size_t> counts;
    for (const MemberStatus& member : this->view.members) {
      if (Usable(member) && counts[member.record.failureDomain] < kFallbackNodesPerDomain) {
        ++counts[member.record.failureDomain];
        this->table->fallbackNodes.push_back(this->AddNode(member.record));
      }
    }
  }

  const TicketState& state;
  const MemberView& view;
  const Placement& placement;
  const SteeringOptions& options;
  Ref<SteeringTable> table;
  const MemberStatus* self = nullptr;
  std::unordered_map<std::string_view, const MemberStatus*> members;
  std::unordered_map<std::string_view, std::size_t> indices; ///< by host; keys refer to the view
};

} // namespace

Ref<const SteeringTable>
BuildSteeringTable(const TicketState& aState,
                   const MemberView& aView,
                   const Placement& aPlacement,
                   const SteeringOptions& aOptions)
{
  return TableBuilder(aState, aView, aPlacement, aOptions).Run();
}

} // namespace yp
