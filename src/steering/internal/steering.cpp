#include "steering/steering.h"
#include "steering/internal/loadweight.h"
#include "steering/internal/steeringtable.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

/// A candidate with its sort key in a random order.
struct DrawnCandidate
{
  SteeringCandidate candidate;
  double key = 0;
};

/// Draws a random order. Candidates that hold more of the caller's services come first; among those with
/// equally many, the probability to be first is proportional to the weight.
std::vector<DrawnCandidate>
DrawOrder(const std::vector<SteeringCandidate>& aCandidates,
          const std::vector<double>& aFactors,
          IRandom& aRandom)
{
  std::vector<DrawnCandidate> drawn;
  drawn.reserve(aCandidates.size());
  for (SteeringCandidate candidate : aCandidates) {
    candidate.weight *= aFactors[candidate.node];
    // Of exponential random values with rates w, each is the smallest with probability w / sum of all rates.
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

/// Answers from an immutable snapshot that Update replaces by RCU.
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
      const SteeringTable& table = *current->table;
      const auto found = table.holders.find(aService);
      if (found != table.holders.end()) {
        for (const SteeringHolder& holder : found->second) {
          if (table.nodes[holder.node].host != table.self) {
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
  /// Rebuilds the table unless the inputs are the same objects as at the last call.
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
    const auto inOtherDomain = [&](const SteeringNode& aNode) { return aNode.failureDomain != domain; };
    bool hasFallback = false;
    for (const DrawnCandidate& drawn : aDrawn) {
      const SteeringNode& node = aTable.nodes[drawn.candidate.node];
      const bool lastAddress = aAnswer.addresses.size() + 1 >= this->options.maxAddresses;
      // The last address is reserved for another failure domain until one is listed.
      if (lastAddress && !hasFallback && !inOtherDomain(node)) {
        continue;
      }
      if (aAnswer.addresses.size() >= this->options.maxAddresses) {
        break;
      }
      hasFallback = hasFallback || inOtherDomain(node);
      aAnswer.addresses.push_back(ToAddress(node, drawn.candidate.weight));
    }
    if (!hasFallback) {
      AddFallbackNode(aTable, inOtherDomain, aRandom, aAnswer);
    }
  }

  /// Adds a node of another failure domain, which forwards requests to the holders. Used when no holder in
  /// another failure domain is listed.
  template<class Predicate>
  static void AddFallbackNode(const SteeringTable& aTable,
                              const Predicate& aInOtherDomain,
                              IRandom& aRandom,
                              AddressAnswer& aAnswer)
  {
    std::vector<const SteeringNode*> fallbackNodes;
    for (const std::size_t index : aTable.fallbackNodes) {
      if (aInOtherDomain(aTable.nodes[index])) {
        fallbackNodes.push_back(&aTable.nodes[index]);
      }
    }
    if (!fallbackNodes.empty()) {
      // Weight 0 means that callers use it only when all other addresses fail.
      aAnswer.addresses.push_back(ToAddress(*fallbackNodes[aRandom.Below(fallbackNodes.size())], 0.0));
    }
  }

  const SteeringOptions options;
  LoadWeights weights;
  Ref<const TicketState> lastState;
  Ref<const MemberView> lastView;
  Ref<const Placement> lastPlacement;
  Ref<const SteeringTable> table; ///< built from the last inputs; control thread only
  RcuCell<SteeringSnapshot> snapshot;
};

} // namespace

std::unique_ptr<ISteering>
MakeSteering(const SteeringOptions& aOptions)
{
  return std::make_unique<Steering>(aOptions);
}

} // namespace yp
