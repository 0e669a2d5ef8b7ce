#include "steering/steering.h"
#include "steering/internal/loadweight.h"
#include "steering/internal/steeringtable.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

/// A candidate with its place in a random order.
struct DrawnCandidate
{
  SteeringCandidate candidate;
  double key = 0;
};

/// Draws a random order in which a node comes first with probability in proportion to its weight, among those
/// that hold equally many of the caller's services.
std::vector<DrawnCandidate>
DrawOrder(const std::vector<SteeringCandidate>& aCandidates,
          const std::vector<double>& aFactors,
          IRandom& aRandom)
{
  std::vector<DrawnCandidate> drawn;
  drawn.reserve(aCandidates.size());
  for (SteeringCandidate candidate : aCandidates) {
    candidate.weight *= aFactors[candidate.node];
    // The smallest of exponential draws with rates w belongs to each with probability w / sum.
    const double key = -std::log(1.0 - aRandom.Real()) / std::max(candidate.weight, 1e-12);
    drawn.push_back({ candidate, key });
  }
  std::sort(drawn.begin(), drawn.end(), [](const DrawnCandidate& aLeft, const DrawnCandidate& aRight) {
    if (aLeft.candidate.services != aRight.candidate.services) {
      return aLeft.candidate.services > aRight.candidate.services;
    }
    return aLeft.key < aRight.key;
  });
  return drawn;
}

CallerAddress
ToAddress(const SteeringNode& aNode, double aWeight)
{
  return { aNode.host, aNode.endpoint, aNode.failureDomain, aWeight };
}

/// Steering over one table, which is swapped by RCU.
class Steering final : public ISteering
{
public:
  explicit Steering(const SteeringOptions& aOptions)
    : options(aOptions)
    , weights(aOptions)
  {
  }

  void Update(Ref<const TicketState> aState,
              Ref<const MemberView> aView,
              Ref<const Placement> aPlacement,
              const std::map<std::string, NodeLoad>& aLoads,
              TimePoint aNow) override
  {
    this->weights.Step(aLoads, aState->fleet->addressTtl, aNow);
    this->UpdateTable(std::move(aState), std::move(aView), std::move(aPlacement));
    Ref<SteeringSnapshot> next(new SteeringSnapshot);
    next->table = this->table;
    next->factors.reserve(this->table->nodes.size());
    next->utilisations.reserve(this->table->nodes.size());
    for (const SteeringNode& node : this->table->nodes) {
      next->factors.push_back(this->weights.Factor(node.host));
      next->utilisations.push_back(this->weights.Utilisation(node.host));
    }
    this->snapshot.Store(next);
  }

  Result<AddressAnswer> Answer(const std::string& aCaller, IRandom& aRandom) const override
  {
    const Ref<const SteeringSnapshot> loaded = this->snapshot.Load();
    if (!loaded) {
      return Fail(ErrorCode::kUnavailable, "steering.answer", "", "no state yet");
    }
    const SteeringTable* current = loaded->table.get();
    const auto found = current->candidates.find(aCaller);
    if (found == current->candidates.end()) {
      return Fail(ErrorCode::kNotFound, "steering.answer", "", "unknown caller " + aCaller);
    }
    if (found->second.empty()) {
      return Fail(
        ErrorCode::kUnavailable, "steering.answer", "", "no reachable holder for caller " + aCaller);
    }
    AddressAnswer answer;
    const double jitter = 1.0 + this->options.ttlJitter * (2.0 * aRandom.Real() - 1.0);
    answer.ttl = std::chrono::milliseconds(std::llround(static_cast<double>(current->ttl.count()) * jitter));
    answer.ticket = current->ticket;
    this->FillAddresses(*current, DrawOrder(found->second, loaded->factors, aRandom), aRandom, answer);
    return answer;
  }

  Result<std::string> ForwardTarget(const std::string& aService, IRandom& aRandom) const override
  {
    const Ref<const SteeringSnapshot> current = this->snapshot.Load();
    std::vector<std::size_t> usable;
    if (current) {
      const SteeringTable& places = *current->table;
      const auto found = places.holders.find(aService);
      if (found != places.holders.end()) {
        for (const SteeringHolder& holder : found->second) {
          if (places.nodes[holder.node].host != places.self) {
            usable.push_back(holder.node);
          }
        }
      }
    }
    if (usable.empty()) {
      return Fail(ErrorCode::kUnavailable, "steering.forward", "", "no reachable holder of " + aService);
    }
    const std::size_t first = aRandom.Below(usable.size());
    const std::size_t other = usable.size() == 1 ? 0 : aRandom.Below(usable.size() - 1);
    const std::size_t second = other >= first && usable.size() > 1 ? other + 1 : other;
    const std::vector<double>& loads = current->utilisations;
    const bool takeFirst = loads[usable[first]] <= loads[usable[second]];
    return current->table->nodes[usable[takeFirst ? first : second]].host;
  }

private:
  /// Builds the table anew unless the inputs are the same objects as before.
  void UpdateTable(Ref<const TicketState> aState,
                   Ref<const MemberView> aView,
                   Ref<const Placement> aPlacement)
  {
    if (aState == this->lastState && aView == this->lastView && aPlacement == this->lastPlacement) {
      return;
    }
    this->table = BuildSteeringTable(*aState, *aView, *aPlacement, this->options);
    this->lastState = std::move(aState);
    this->lastView = std::move(aView);
    this->lastPlacement = std::move(aPlacement);
  }

  void FillAddresses(const SteeringTable& aTable,
                     const std::vector<DrawnCandidate>& aDrawn,
                     IRandom& aRandom,
                     AddressAnswer& aAnswer) const
  {
    const std::string& domain = aTable.nodes[aDrawn.front().candidate.node].failureDomain;
    const auto elsewhere = [&](const SteeringNode& aNode) { return aNode.failureDomain != domain; };
    bool hasFallback = false;
    for (const DrawnCandidate& drawn : aDrawn) {
      const SteeringNode& node = aTable.nodes[drawn.candidate.node];
      const bool lastPlace = aAnswer.addresses.size() + 1 >= this->options.maxAddresses;
      // The last place is kept for another failure domain until one is listed.
      if (lastPlace && !hasFallback && !elsewhere(node)) {
        continue;
      }
      if (aAnswer.addresses.size() >= this->options.maxAddresses) {
        break;
      }
      hasFallback = hasFallback || elsewhere(node);
      aAnswer.addresses.push_back(ToAddress(node, drawn.candidate.weight));
    }
    if (!hasFallback) {
      AddSpare(aTable, elsewhere, aRandom, aAnswer);
    }
  }

  /// Adds a node of another failure domain that forwards, when all holders are in one failure domain.
  template<class Predicate>
  static void AddSpare(const SteeringTable& aTable,
                       const Predicate& aElsewhere,
                       IRandom& aRandom,
                       AddressAnswer& aAnswer)
  {
    std::vector<const SteeringNode*> spares;
    for (const std::size_t index : aTable.spares) {
      if (aElsewhere(aTable.nodes[index])) {
        spares.push_back(&aTable.nodes[index]);
      }
    }
    if (!spares.empty()) {
      // Weight 0: to be used only when all others fail.
      aAnswer.addresses.push_back(ToAddress(*spares[aRandom.Below(spares.size())], 0.0));
    }
  }

  const SteeringOptions options;
  LoadWeights weights;
  Ref<const TicketState> lastState;
  Ref<const MemberView> lastView;
  Ref<const Placement> lastPlacement;
  Ref<const SteeringTable> table; ///< of the last inputs; control thread only
  RcuCell<SteeringSnapshot> snapshot;
};

} // namespace

std::unique_ptr<ISteering>
MakeSteering(const SteeringOptions& aOptions)
{
  return std::make_unique<Steering>(aOptions);
}

} // namespace yp
