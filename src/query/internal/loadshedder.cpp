#include "query/internal/loadshedder.h"
#include <algorithm>

namespace yp {

namespace {

// A refused caller counts in the division by share for this time, so that a caller that fills the node
// cannot lock it out.
constexpr Duration kDemandRetention = std::chrono::seconds(1);

constexpr double kMinLimit = 8;
constexpr double kDecreaseFactor = 0.9;
// Limits the rate of decreases, because lookups that queued together also end together.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(50);

} // namespace

bool
LoadShedder::TryAdmit(const std::string& aCaller, double aShare, TimePoint aNow)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  Load& load = this->callers[aCaller];
  load.share = aShare;
  load.lastDemand = aNow;
  if (this->total >= this->limit) {
    return false;
  }
  if (this->total >= this->limit * this->softFraction) {
    const double fair = this->limit * aShare / this->ActiveShares(aNow);
    if (load.inFlight + 1 > fair) {
      return false;
    }
  }
  ++load.inFlight;
  ++this->total;
  return true;
}

void
LoadShedder::Release(const std::string& aCaller)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  const auto found = this->callers.find(aCaller);
  if (found == this->callers.end() || found->second.inFlight == 0) {
    return;
  }
  --found->second.inFlight;
  --this->total;
}

void
LoadShedder::OnLookupEnd(bool aQueued, TimePoint aNow)
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  if (!aQueued) {
    this->limit = std::min(this->maximum, this->limit + 1.0);
    return;
  }
  if (aNow < this->nextDecrease) {
    return;
  }
  this->nextDecrease = aNow + kDecreaseInterval;
  // Starts from the load, because lowering a limit far above the load would take long to have an effect.
  const double used = std::min(this->limit, static_cast<double>(this->total) + 1.0);
  this->limit = std::min(this->maximum, std::max(kMinLimit, used * kDecreaseFactor));
}

double
LoadShedder::Limit()
{
  const std::lock_guard<std::mutex> guard(this->mutex);
  return this->limit;
}

double
LoadShedder::ActiveShares(TimePoint aNow)
{
  double shares = 0;
  for (auto it = this->callers.begin(); it != this->callers.end();) {
    const Load& load = it->second;
    if (load.inFlight == 0 && aNow - load.lastDemand > kDemandRetention) {
      it = this->callers.erase(it);
      continue;
    }
    shares += load.share;
    ++it;
  }
  return shares;
}

} // namespace yp
