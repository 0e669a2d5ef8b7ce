#include "steering/internal/loadweight.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// Callers act on an answer for its whole time to live, so the loop has a delay of ttl / step steps. A loop
// that integrates with gain g and delay d does not overshoot while g x d < 1/e = 0.37; some of that is
// reserve.
constexpr double kGainTimesDelay = 0.25;
constexpr double kMaxGain = 0.25;
constexpr double kSmoothing = 0.5;
// Below this, differences in utilisation are noise.
constexpr double kUtilisationFloor = 0.02;
constexpr double kMaxFactor = 8.0;
// Part of the way back to 1 a step, for a node whose load is not known.
constexpr double kForget = 0.02;

} // namespace

LoadWeights::LoadWeights(const SteeringOptions& aOptions)
  : options(aOptions)
{
}

void
LoadWeights::Step(const std::map<std::string, NodeLoad>& aLoads,
                  std::chrono::milliseconds aTtl,
                  TimePoint aNow)
{
  if (this->stepped && aNow < this->lastStep + this->options.stepInterval) {
    return;
  }
  this->stepped = true;
  this->lastStep = aNow;
  this->TakeLoads(aLoads, aNow);
  const double delay = std::max(1.0, std::chrono::duration<double>(aTtl) / this->options.stepInterval);
  this->MoveFactors(std::min(kMaxGain, kGainTimesDelay / delay));
}

void
LoadWeights::TakeLoads(const std::map<std::string, NodeLoad>& aLoads, TimePoint aNow)
{
  double sum = 0;
  std::size_t count = 0;
  for (auto node = this->nodes.begin(); node != this->nodes.end();) {
    node->second.fresh = false;
    node = aLoads.count(node->first) == 0 ? this->nodes.erase(node) : std::next(node);
  }
  for (const auto& entry : aLoads) {
    const bool usable = std::isfinite(entry.second.utilisation) && entry.second.utilisation >= 0;
    if (!usable || aNow > entry.second.received + this->options.loadMaxAge) {
      continue;
    }
    const auto known = this->nodes.find(entry.first);
    Node& node = known == this->nodes.end() ? this->nodes[entry.first] : known->second;
    const double previous = known == this->nodes.end() ? entry.second.utilisation : node.smoothed;
    node.smoothed = previous + kSmoothing * (entry.second.utilisation - previous);
    node.fresh = true;
    sum += node.smoothed;
    ++count;
  }
  this->mean = count == 0 ? 0 : sum / static_cast<double>(count);
}

void
LoadWeights::MoveFactors(double aGain)
{
  for (auto& entry : this->nodes) {
    Node& node = entry.second;
    if (!node.fresh) {
      const double step = std::pow(node.factor, -kForget);
      node.factor *= std::clamp(step, 1 - this->options.maxStep, 1 + this->options.maxStep);
      continue;
    }
    const double ratio = (this->mean + kUtilisationFloor) / (node.smoothed + kUtilisationFloor);
    const double step =
      std::clamp(std::pow(ratio, aGain), 1 - this->options.maxStep, 1 + this->options.maxStep);
    node.factor = std::clamp(node.factor * step, 1 / kMaxFactor, kMaxFactor);
  }
}

double
LoadWeights::Factor(const std::string& aHost) const
{
  const auto found = this->nodes.find(aHost);
  return found == this->nodes.end() ? 1.0 : found->second.factor;
}

double
LoadWeights::Utilisation(const std::string& aHost) const
{
  const auto found = this->nodes.find(aHost);
  return found == this->nodes.end() || !found->second.fresh ? this->mean : found->second.smoothed;
}

} // namespace yp
