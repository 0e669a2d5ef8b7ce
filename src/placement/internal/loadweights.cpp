#include "placement/internal/loadweights.h"
#include <algorithm>
#include <numeric>

namespace yp {

namespace {

constexpr int kRounds = 16;
// A holder with all others' load would be a hot spot when the others' callers move; so a bound is kept.
constexpr double kMaxRatioToEven = 4.0;

void
Normalise(WeightedService& aService)
{
  const double sum = std::accumulate(aService.weights.begin(), aService.weights.end(), 0.0);
  for (double& weight : aService.weights) {
    weight /= sum;
  }
}

} // namespace

void
BalanceWeights(std::vector<WeightedService>& aServices, std::size_t aHosts)
{
  double total = 0;
  for (WeightedService& service : aServices) {
    const std::size_t count = service.holders.size();
    service.weights.assign(count, count == 0 ? 0 : 1.0 / static_cast<double>(count));
    total += count == 0 ? 0 : service.load;
  }
  const double mean = total / static_cast<double>(std::max<std::size_t>(1, aHosts));
  std::vector<double> loads(aHosts);
  for (int round = 0; round < kRounds; ++round) {
    std::fill(loads.begin(), loads.end(), 0.0);
    for (const WeightedService& service : aServices) {
      for (std::size_t i = 0; i < service.holders.size(); ++i) {
        loads[service.holders[i]] += service.load * service.weights[i];
      }
    }
    for (WeightedService& service : aServices) {
      const double even = 1.0 / static_cast<double>(std::max<std::size_t>(1, service.holders.size()));
      for (std::size_t i = 0; i < service.holders.size(); ++i) {
        const double load = loads[service.holders[i]];
        const double scaled = load > 0 ? service.weights[i] * mean / load : service.weights[i];
        service.weights[i] = std::clamp(scaled, even / kMaxRatioToEven, even * kMaxRatioToEven);
      }
      Normalise(service);
    }
  }
}

} // namespace yp
