#include "gateway/concurrencylimit.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// A late call multiplies the window by its latency target divided by its duration, within these bounds.
constexpr double kMinShrinkFactor = 0.4;
constexpr double kMaxShrinkFactor = 0.8;
constexpr double kRefusalShrinkFactor = 0.6; // a full queue indicates more delay than most late calls
constexpr double kGrowth =
  0.03; // calls added by each answer in time; below one call a fraction of the window
constexpr double kElapsedWeight = 0.2; // weight of one sample in the average elapsed time
// A single pause of a leaf makes all calls in flight late at once; a bound begins only when more late calls
// follow soon.
constexpr double kScoreToBound = 3;
constexpr double kScoreReduction = 0.25; // for each answer in time

constexpr double kDoublingSeconds = 1; // time in which the window doubles without a late call

double
ShrinkFactor(const CongestedCall& aCall)
{
  if (aCall.elapsed <= Duration::zero()) {
    return kRefusalShrinkFactor;
  }
  const double inTime =
    static_cast<double>(aCall.latencyTarget.count()) / static_cast<double>(aCall.elapsed.count());
  return std::clamp(inTime, kMinShrinkFactor, kMaxShrinkFactor);
}

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const Options& aOptions)
  : options(aOptions)
{
}

void
ConcurrencyLimit::OnSend(TimePoint aNow)
{
  this->lastSend = aNow;
}

void
ConcurrencyLimit::OnInTime(Duration aElapsed)
{
  this->AddElapsed(aElapsed);
  this->congestionScore = std::max(0.0, this->congestionScore - kScoreReduction);
  if (this->bounded) {
    this->window += kGrowth * std::min(1.0, this->window);
    this->bounded = this->window < this->options.maxWindow;
  }
}

void
ConcurrencyLimit::OnCongested(const CongestedCall& aCall, TimePoint aNow)
{
  this->AddElapsed(aCall.elapsed);
  if (aCall.sentAt <= this->congestedAt) {
    return;
  }
  this->congestionScore += 1;
  const double current = this->CurrentWindow(aNow);
  this->congestedAt = aNow;
  if (this->congestionScore < kScoreToBound && !this->bounded) {
    return;
  }
  const double before = this->bounded ? current
                                      : std::clamp(static_cast<double>(aCall.inFlight),
                                                   this->options.minInitialWindow,
                                                   this->options.maxWindow);
  this->window = std::max(this->options.minWindow, before * ShrinkFactor(aCall));
  this->bounded = true;
}

bool
ConcurrencyLimit::Admits(std::size_t aInFlight, TimePoint aNow) const
{
  if (!this->bounded) {
    return true;
  }
  const double allowed = this->CurrentWindow(aNow);
  if (allowed >= 1) {
    return static_cast<double>(aInFlight + 1) <= allowed;
  }
  return aInFlight == 0 && Milliseconds(aNow - this->lastSend) * allowed >= this->averageElapsedMs;
}

Duration
ConcurrencyLimit::AverageElapsed() const
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(this->averageElapsedMs));
}

double
ConcurrencyLimit::CurrentWindow(TimePoint aNow) const
{
  const double idle = std::chrono::duration<double>(aNow - this->congestedAt).count();
  return std::min(this->options.maxWindow, this->window * std::exp2(idle / kDoublingSeconds));
}

void
ConcurrencyLimit::AddElapsed(Duration aElapsed)
{
  if (aElapsed <= Duration::zero()) {
    return;
  }
  const double sample = Milliseconds(aElapsed);
  this->averageElapsedMs = this->averageElapsedMs == 0
                             ? sample
                             : this->averageElapsedMs + kElapsedWeight * (sample - this->averageElapsedMs);
}

} // namespace yp
