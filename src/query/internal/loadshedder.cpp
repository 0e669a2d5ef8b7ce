#include "query/internal/loadshedder.h"
#include <algorithm>

namespace yp {

namespace {

// A refused caller keeps its claim to a share for this long, so that one that fills the node cannot lock it
// out.
constexpr Duration kDemandMemory = std::chrono::seconds(1);

constexpr double kMinLimit = 8;
constexpr double kDecrease = 0.9;
// Lookups that queued together end together; their news counts once.
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
LoadShedder::OnEnd(bool aQueued, TimePoint aNow)
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
  // A limit far above the load would take long to have an effect.
  const double used = std::min(this->limit, static_cast<double>(this->total) + 1.0);
  this->limit = std::min(this->maximum, std::max(kMinLimit, used * kDecrease));
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
    if (load.inFlight == 0 && aNow - load.lastDemand > kDemandMemory) {
      it = this->callers.erase(it);
      continue;
    }
    shares += load.share;
    ++it;
  }
  return shares;
}

} // namespace yp
