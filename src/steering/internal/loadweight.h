#ifndef YP_STEERING_INTERNAL_LOADWEIGHT_H
#define YP_STEERING_INTERNAL_LOADWEIGHT_H

#include "steering/steering.h"
#include <map>
#include <string>

namespace yp {

/// Weight factors of the nodes, adjusted to balance their measured loads.
class LoadWeights
{
public:
  explicit LoadWeights(const SteeringOptions& aOptions);

  /// Adjusts the factors by one step, if SteeringOptions::stepInterval has passed since the last one.
  /// \param aTtl how long callers use an answer; the control loop must be slower than that
  void Step(const std::map<std::string, NodeLoad>& aLoads, std::chrono::milliseconds aTtl, TimePoint aNow);

  /// \return the weight factor of a host; 1 when its load is unknown
  double Factor(const std::string& aHost) const;

  /// \return the smoothed utilisation of a host; the mean of all hosts when it is unknown or stale
  double Utilisation(const std::string& aHost) const;

private:
  struct Node
  {
    double factor = 1;
    double smoothed = 0;
    bool fresh = false;
  };

  void UpdateLoads(const std::map<std::string, NodeLoad>& aLoads, TimePoint aNow);
  void AdjustFactors(double aGain);

  const SteeringOptions options;
  std::map<std::string, Node> nodes;
  double mean = 0;
  TimePoint lastStep;
  bool stepped = false;
};

} // namespace yp

#endif
