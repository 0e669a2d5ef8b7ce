#ifndef YP_PLACEMENT_INTERNAL_LOADWEIGHTS_H
#define YP_PLACEMENT_INTERNAL_LOADWEIGHTS_H

#include <cstdint>
#include <vector>

namespace yp {

/// Holders of one service as indices of hosts.
struct WeightedService
{
  double load = 0;
  std::vector<std::uint32_t> holders;
  std::vector<double> weights; ///< filled in; the sum is 1
};

/// Divides each service's load among its holders so that the loads of hosts come close to each other.
void
BalanceWeights(std::vector<WeightedService>& aServices, std::size_t aHosts);

} // namespace yp

#endif
