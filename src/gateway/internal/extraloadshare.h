#ifndef YP_GATEWAY_INTERNAL_EXTRALOADSHARE_H
#define YP_GATEWAY_INTERNAL_EXTRALOADSHARE_H

#include <string>
#include <unordered_map>

namespace yp {

/// This node's part of the repeated requests that the fleet may send to each service. The fleet's bound is a
/// ratio of its requests and a slack in a sliding window. Requests are counted where they arrive, so each
/// node earns the ratio of its own; the slack is divided by share. A bucket never holds more than the slack's
/// part, so that what was saved earlier cannot exceed the bound in one window.
class ExtraLoadShare
{
public:
  ExtraLoadShare(double aRatio, double aSlack);

  /// Replaces the fleet's bound.
  void SetBounds(double aRatio, double aSlack);

  /// \param aShare part of the fleet's slack for this node, above 0, at most 1
  void SetShare(double aShare);

  /// Counts a caller's request for a service.
  void OnRequest(const std::string& aService);

  /// Takes one repeated request out of the budget.
  /// \return whether it may be sent
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
