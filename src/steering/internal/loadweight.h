#ifndef YP_STEERING_INTERNAL_LOADWEIGHT_H
#define YP_STEERING_INTERNAL_LOADWEIGHT_H

#include "steering/steering.h"
#include <map>
#include <string>

namespace yp {

/// Moves one factor for each node against its measured load.
class LoadWeights
{
public:
  explicit LoadWeights(const SteeringOptions& aOptions);

  /// Moves the factors by one step when the last one is long enough ago.
  /// \param aTtl how long callers keep an answer; the loop must be slower than that
  void Step(const std::map<std::string, NodeLoad>& aLoads, std::chrono::milliseconds aTtl, TimePoint aNow);

  /// \return the factor of a host; 1 when its load is not known
  double Factor(const std::string& aHost) const;

  /// \return the load of a host; the mean when it is not known or stale
  double Utilisation(const std::string& aHost) const;

private:
  struct Node
  {
    double factor = 1;
    double smoothed = 0;
    bool fresh = false;
  };

  void TakeLoads(const std::map<std::string, NodeLoad>& aLoads, TimePoint aNow);
  void MoveFactors(double aGain);

  const SteeringOptions options;
  std::map<std::string, Node> nodes;
  double mean = 0;
  TimePoint lastStep;
  bool stepped = false;
};

} // namespace yp

#endif
