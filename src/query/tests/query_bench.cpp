#include "fakeleafs.h"
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

// Compares policies in virtual time on 75 shards with 2 replicas each. Arguments: number of seeds, seconds of
// virtual time a run, a policy and a scenario to limit it to. Prints one JSON object a scenario and policy.

using namespace yp;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kShards = 75;
constexpr std::uint32_t kSlots = 4;
constexpr double kMedianMs = 6.0;
constexpr double kSigma = 0.35;
constexpr Duration kWarmUp = 3s;
constexpr Duration kDeadline = 1s;

struct Scenario
{
  const char* name;
  double load; ///< of the capacity after the change
  double delayedPart = 0;
  double stragglerFactor = 1;
  double slowFactor = 1; ///< of all leafs
};

struct Policy
{
  const char* name;
  HedgePolicy hedge;
  ReplicaPolicy replica;
  bool budget;
  const char* caller;
};

struct Totals
{
  std::vector<double> milliseconds;
  std::uint64_t queries = 0;
  std::uint64_t answered = 0;
  std::uint64_t inTime = 0;
  std::uint64_t complete = 0;
  double coverage = 0;
  std::uint64_t first = 0;
  std::uint64_t extra = 0;
  std::uint64_t freeRetries = 0;
  std::uint64_t sheds = 0;
  double cpuSeconds = 0;
  std::uint64_t attempts = 0;
};

double
Gaussian(IRandom& aRandom)
{
  return std::sqrt(-2.0 * std::log(1.0 - aRandom.Real())) * std::cos(2.0 * M_PI * aRandom.Real());
}

std::uint64_t
Extra(const QueryStats& aStats)
{
  return aStats.hedges + aStats.retries + aStats.probes;
}

void
Run(const Scenario& aScenario, const Policy& aPolicy, std::uint64_t aSeed, Duration aTime, Totals& aTotals)
{
  QueryOptions options;
  options.hedgePolicy = aPolicy.hedge;
  options.replicaPolicy = aPolicy.replica;
  options.limitExtraLoad = aPolicy.budget;
  FakeNode node(MakeService(kShards, 2, kSlots), options, aSeed);
  SeededRandom model(aSeed * 7919);
  bool changed = false;
  for (auto& [name, leaf] : node.leafs.leafs) {
    leaf.slots = kSlots;
  }
  node.leafs.latencyOf = [&](const LeafAttempt& aAttempt, const FakeLeaf&) {
    double ms = kMedianMs * std::exp(kSigma * Gaussian(model));
    if (changed) {
      ms *= aScenario.slowFactor * (aAttempt.leaf->leaf == "1.7.0" ? aScenario.stragglerFactor : 1.0);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
  };
  node.leafs.replyDelayOf = [&](const LeafAttempt&) {
    return changed && model.Real() < aScenario.delayedPart ? Duration(500ms) : Duration(0);
  };
  const double meanMs = kMedianMs * std::exp(kSigma * kSigma / 2) * aScenario.slowFactor;
  const double perSecond = aScenario.load * 2 * kSlots * 1000.0 / meanMs;
  const TimePoint start = node.clock.Now();
  const TimePoint end = start + kWarmUp + aTime;
  bool counting = false;
  std::function<void()> arrive = [&] {
    const TimePoint begun = node.clock.Now();
    if (begun >= end) {
      return;
    }
    LookupRequest request{ aPolicy.caller, "kiosk", R"({"terms":["a"]})", 10, begun + kDeadline };
    node.engine->Lookup(request, [&, begun, counted = counting](const RequestAnswer& aAnswer) {
      if (!counted) {
        return;
      }
      const bool answered = aAnswer.outcome == RequestOutcome::kAnswered;
      const double ms = std::chrono::duration<double, std::milli>(node.clock.Now() - begun).count();
      aTotals.milliseconds.push_back(answered ? ms : 1000.0);
      ++aTotals.queries;
      aTotals.answered += answered ? 1 : 0;
      aTotals.inTime += answered && ms <= 210 ? 1 : 0;
      aTotals.complete += answered && aAnswer.coverage.Complete() ? 1 : 0;
      aTotals.coverage += answered ? aAnswer.coverage.Fraction() : 0;
    });
    const double gap = -std::log(1.0 - model.Real()) / perSecond;
    node.timers.At(begun + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), arrive);
  };
  node.timers.At(start, arrive);
  node.timers.RunFor(kWarmUp);
  changed = true;
  counting = true;
  const QueryStats& stats = node.node->Stats();
  const std::uint64_t first = stats.firstAttempts;
  const std::uint64_t extra = Extra(stats);
  const std::uint64_t sent = node.leafs.sent;
  const std::clock_t cpu = std::clock();
  node.timers.RunFor(aTime + kDeadline + 1s);
  aTotals.cpuSeconds += static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  aTotals.attempts += node.leafs.sent - sent;
  aTotals.first += stats.firstAttempts - first;
  aTotals.extra += Extra(stats) - extra;
  aTotals.freeRetries += stats.unbudgetedRetries;
  aTotals.sheds += stats.sheds;
}

/// Replies to all attempts at once, so that the time measured is the engine's.
class InstantTransport final : public ILeafTransport
{
public:
  void Send(LeafAttempt aAttempt, Handler aHandler) override
  {
    LeafReply reply;
    reply.id = aAttempt.id;
    reply.status = AttemptStatus::kAnswered;
    reply.fromLeaf = true;
    reply.indexVersion = 1;
    reply.versions = { 1 };
    reply.elapsed = 5ms;
    reply.body = R"({"hits":[{"document":"document","score":1.5,"fields":{"title":"a"}}]})";
    this->pending.emplace_back(std::move(aHandler), std::move(reply));
  }

  void Cancel(std::uint64_t) override {}

  void ReplyAll()
  {
    std::vector<std::pair<Handler, LeafReply>> batch;
    batch.swap(this->pending);
    for (auto& [handler, reply] : batch) {
      handler(std::move(reply));
    }
  }

  std::vector<std::pair<Handler, LeafReply>> pending;
};

void
MeasureCpu()
{
  constexpr int kQueries = 5000;
  FakeNode node(MakeService(kShards, 2, kSlots));
  InstantTransport transport;
  const auto engine = MakeQueryEngine(
    QueryEngineParts{ *node.node, transport, node.timers, node.clock, node.random, *node.requests, [&node] {
                       return node.state;
                     } });
  std::uint64_t answered = 0;
  const std::clock_t begun = std::clock();
  for (int i = 0; i < kQueries; ++i) {
    LookupRequest request{ "orders", "kiosk", R"({"terms":["a"]})", 10, node.clock.Now() + kDeadline };
    engine->Lookup(request,
                   [&](const RequestAnswer& aAnswer) { answered += aAnswer.coverage.Complete() ? 1 : 0; });
    node.clock.Advance(5ms);
    while (!transport.pending.empty()) {
      transport.ReplyAll();
    }
  }
  nlohmann::ordered_json row;
  row["scenario"] = "cpu";
  row["complete"] = answered;
  row["cpu_us_per_leaf_request"] = static_cast<double>(std::clock() - begun) * 1e6 / CLOCKS_PER_SEC /
                                   static_cast<double>(node.node->Stats().firstAttempts);
  std::cout << row.dump() << std::endl;
}

double
Quantile(std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

void
Print(const Scenario& aScenario, const Policy& aPolicy, Totals& aTotals)
{
  std::sort(aTotals.milliseconds.begin(), aTotals.milliseconds.end());
  const double queries = static_cast<double>(std::max<std::uint64_t>(1, aTotals.queries));
  const double first = static_cast<double>(std::max<std::uint64_t>(1, aTotals.first));
  nlohmann::ordered_json row;
  row["scenario"] = aScenario.name;
  row["policy"] = aPolicy.name;
  row["queries"] = aTotals.queries;
  row["p50_ms"] = Quantile(aTotals.milliseconds, 0.5);
  row["p99_ms"] = Quantile(aTotals.milliseconds, 0.99);
  row["p999_ms"] = Quantile(aTotals.milliseconds, 0.999);
  row["answered"] = static_cast<double>(aTotals.answered) / queries;
  row["within_210_ms"] = static_cast<double>(aTotals.inTime) / queries;
  row["complete"] = static_cast<double>(aTotals.complete) / queries;
  row["mean_coverage"] = aTotals.coverage / queries;
  row["extra_load_percent"] = 100.0 * static_cast<double>(aTotals.extra) / first;
  row["free_retries"] = aTotals.freeRetries;
  row["sheds"] = aTotals.sheds;
  row["cpu_us_per_attempt_with_fakes"] = aTotals.cpuSeconds * 1e6 / static_cast<double>(aTotals.attempts + 1);
  std::cout << row.dump() << std::endl;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const int seeds = aCount > 1 ? std::atoi(aArguments[1]) : 3;
  const Duration time = std::chrono::seconds(aCount > 2 ? std::atoi(aArguments[2]) : 10);
  const Scenario scenarios[] = { { "plain", 0.3 },
                                 { "delayed_1_percent", 0.3, 0.01 },
                                 { "one_straggler", 0.3, 0, 20 },
                                 { "all_slow_60", 0.6, 0, 1, 10 },
                                 { "all_slow_120", 1.2, 0, 1, 10 } };
  const Policy policies[] = {
    { "none_random", HedgePolicy::kNone, ReplicaPolicy::kRandom, true, "orders" },
    { "none_round_robin", HedgePolicy::kNone, ReplicaPolicy::kRoundRobin, true, "orders" },
    { "none_load_aware", HedgePolicy::kNone, ReplicaPolicy::kLoadAware, true, "orders" },
    { "fixed_load_aware", HedgePolicy::kFixed, ReplicaPolicy::kLoadAware, true, "orders" },
    { "adaptive_no_budget", HedgePolicy::kAdaptive, ReplicaPolicy::kLoadAware, false, "orders" },
    { "adaptive", HedgePolicy::kAdaptive, ReplicaPolicy::kLoadAware, true, "orders" },
    { "adaptive_latency_policy", HedgePolicy::kAdaptive, ReplicaPolicy::kLoadAware, true, "screen" },
  };
  const std::string only = aCount > 3 ? aArguments[3] : "";
  const std::string onlyScenario = aCount > 4 ? aArguments[4] : "";
  if (onlyScenario.empty() || onlyScenario == "cpu") {
    MeasureCpu();
  }
  for (const Scenario& scenario : scenarios) {
    if (!onlyScenario.empty() && onlyScenario != scenario.name) {
      continue;
    }
    for (const Policy& policy : policies) {
      if (!only.empty() && only != policy.name) {
        continue;
      }
      Totals totals;
      for (int seed = 1; seed <= seeds; ++seed) {
        Run(scenario, policy, static_cast<std::uint64_t>(seed), time, totals);
      }
      Print(scenario, policy, totals);
    }
  }
  return 0;
}
