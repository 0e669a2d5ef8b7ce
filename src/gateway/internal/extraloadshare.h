#ifndef YP_GATEWAY_INTERNAL_EXTRALOADSHARE_H
#define YP_GATEWAY_INTERNAL_EXTRALOADSHARE_H

#include <set>
#include <string>
#include <unordered_map>

namespace yp {

/// Budget of this node for repeated requests to each service. The fleet's bound in a sliding window is a
/// ratio of its requests plus a slack. Requests are counted on the node where they arrive, so each node earns
/// the ratio of its own requests; the slack is divided among the nodes by share. A service's token bucket
/// holds at most this node's part of the slack, so that tokens saved earlier cannot exceed the bound in one
/// window.
class ExtraLoadShare
{
public:
  ExtraLoadShare(double aRatio, double aSlack);

  /// Replaces the fleet's bound.
  void SetBounds(double aRatio, double aSlack);

  /// \param aShare this node's share of the fleet's slack, above 0, at most 1
  void SetShare(double aShare);

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService);

  /// Drops the budgets of services that a new configuration does not name.
  void KeepServices(const std::set<std::string>& aServices);

  std::size_t Entries() const { return this->buckets.size(); }

  /// Spends one repeated request from the budget.
  /// \return whether the request may be sent
  bool TrySpend(const std::string& aService);

private:
  double& Bucket(const std::string& aService);

  double ratio = 0;
  double slack = 0;
  double share = 1;
  double capacity = 0;
  std::unordered_map<std::string, double> buckets;
};

} // namespace yp

#endif
