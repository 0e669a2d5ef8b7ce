#include "query/internal/replicachooser.h"
#include <algorithm>
#include <array>

namespace yp {

namespace {

constexpr std::size_t kMaxReplicas = 64;
// A replica in another failure domain must be this much better to be preferred.
constexpr double kLocalAdvantage = 1.2;

using Indices = std::array<std::uint8_t, kMaxReplicas>;

struct Candidates
{
  Indices indices{};
  std::size_t count = 0;

  void Add(std::size_t aIndex) { this->indices[this->count++] = static_cast<std::uint8_t>(aIndex); }
};

double
ScoreOf(const Replica& aReplica, TimePoint aNow)
{
  const double score = aReplica.health->Score(aNow);
  return aReplica.local ? score : score * kLocalAdvantage;
}

/// Leaves out cold replicas by chance, so that their load grows with the ramp; keeps at least one.
void
ApplyRamp(Candidates& aCandidates,
          const ShardPlan& aShard,
          const QueryOptions& aOptions,
          IRandom& aRandom,
          TimePoint aNow)
{
  double warmest = 0;
  std::array<double, kMaxReplicas> weights{};
  for (std::size_t i = 0; i < aCandidates.count; ++i) {
    weights[i] = aShard.replicas[aCandidates.indices[i]].health->RampWeight(aNow, aOptions.rampDuration);
    warmest = std::max(warmest, weights[i]);
  }
  Candidates kept;
  for (std::size_t i = 0; i < aCandidates.count; ++i) {
    if (weights[i] >= warmest || aRandom.Real() * warmest < weights[i]) {
      kept.Add(aCandidates.indices[i]);
    }
  }
  aCandidates = kept;
}

int
PowerOfTwo(const Candidates& aCandidates, const ShardPlan& aShard, IRandom& aRandom, TimePoint aNow)
{
  const std::size_t first = aRandom.Below(aCandidates.count);
  std::size_t second = aRandom.Below(aCandidates.count - 1);
  second += second >= first ? 1 : 0;
  const int left = aCandidates.indices[first];
  const int right = aCandidates.indices[second];
  const double leftScore = ScoreOf(aShard.replicas[static_cast<std::size_t>(left)], aNow);
  const double rightScore = ScoreOf(aShard.replicas[static_cast<std::size_t>(right)], aNow);
  return leftScore <= rightScore ? left : right;
}

int
Pick(Candidates& aCandidates,
     ShardPlan& aShard,
     const QueryOptions& aOptions,
     IRandom& aRandom,
     TimePoint aNow)
{
  if (aOptions.replicaPolicy == ReplicaPolicy::kRoundRobin) {
    return aCandidates.indices[aShard.nextRoundRobin++ % aCandidates.count];
  }
  if (aOptions.replicaPolicy == ReplicaPolicy::kRandom) {
    return aCandidates.indices[aRandom.Below(aCandidates.count)];
  }
  if (aCandidates.count > 1) {
    ApplyRamp(aCandidates, aShard, aOptions, aRandom, aNow);
  }
  return aCandidates.count == 1 ? aCandidates.indices[0] : PowerOfTwo(aCandidates, aShard, aRandom, aNow);
}

} // namespace

ReplicaChoice
ChooseReplica(ShardPlan& aShard,
              const ReplicaNeed& aNeed,
              const QueryOptions& aOptions,
              IRandom& aRandom,
              TimePoint aNow)
{
  Candidates usable;
  Candidates excluded;
  ReplicaChoice choice;
  for (std::size_t i = 0; i < std::min(aShard.replicas.size(), kMaxReplicas); ++i) {
    Replica& replica = aShard.replicas[i];
    replica.Refresh();
    const LeafHealth& health = *replica.health;
    const bool tried = (aNeed.tried >> i & 1U) != 0;
    if (tried || health.Draining(aNow) || (aNeed.version && !replica.MayServe(*aNeed.version))) {
      continue;
    }
    if (health.Excluded()) {
      // With no other replica left, an excluded one gets one attempt at a time.
      if (!aNeed.extra && health.InFlight() == 0) {
        excluded.Add(i);
      }
      continue;
    }
    if (!health.HasRoom()) {
      choice.busy = true;
      continue;
    }
    usable.Add(i);
  }
  if (usable.count > 0) {
    choice.index = Pick(usable, aShard, aOptions, aRandom, aNow);
  } else if (excluded.count > 0 && !choice.busy) {
    choice.index = excluded.indices[aRandom.Below(excluded.count)];
  }
  return choice;
}

} // namespace yp
