#include "gateway/leafdirectory.h"
#include <algorithm>
#include <cmath>

namespace yp {

namespace {

// Ten samples move the average by about two thirds of a change.
constexpr double kSampleWeight = 0.1;
constexpr double kFailureWeight = 0.2;
// Limits the effect of a single pause on the slowness average.
constexpr double kMaxSlownessSample = 4;
constexpr double kMinSlownessSample = 0.2;
// Time constant with which old observations of a leaf decay when it gets no requests.
constexpr double kDecaySeconds = 4;
constexpr double kQueueFactor = 0.5;        // extra time, in request times, for each call in flight per slot
constexpr double kUnresponsiveFactor = 2.5; // exceeds 99 % of request times with a spread of 0.35
constexpr Duration kMinUnresponsiveTime = std::chrono::milliseconds(20);
// A leaf is excluded after two calls without any sign of it, or six lost answers: a leaf that loses 4 in 10
// answers would otherwise be excluded most of the time although it serves the other 6.
constexpr std::uint32_t kWeightToExclude = 6;
constexpr std::uint32_t kUnreachableWeight = 3;
constexpr std::uint32_t kAnswerLostWeight = 1;
constexpr Duration kFirstExclusion = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxExclusionDoublings = 4;
constexpr Duration kMisdirectedExclusion = std::chrono::seconds(5);

double
Decay(TimePoint aSince, TimePoint aNow)
{
  return std::exp(-std::chrono::duration<double>(aNow - aSince).count() / kDecaySeconds);
}

} // namespace

void
LeafCondition::OnSend(OutstandingCall& aCall, TimePoint aNow)
{
  aCall.sentAt = aNow;
  // The first request after an exclusion is a probe; the leaf stays excluded until the probe has a result.
  this->probing = this->unansweredWeight >= kWeightToExclude;
  this->outstanding.push_back(aCall);
}

void
LeafCondition::OnAnswer(Duration aElapsed, Duration aExpected, TimePoint aNow)
{
  this->unansweredWeight = 0;
  this->probing = false;
  this->excludedUntil = TimePoint();
  this->lastAnswer = aNow;
  if (aExpected <= Duration::zero()) {
    return;
  }
  const double ratio = static_cast<double>(aElapsed.count()) / static_cast<double>(aExpected.count());
  const double sample = std::clamp(ratio, kMinSlownessSample, kMaxSlownessSample);
  const double current = this->Slowness(aNow);
  this->slowness = current + kSampleWeight * (sample - current);
  this->slownessAt = aNow;
  this->failureRate = this->FailureRate(aNow) * (1 - kFailureWeight);
  this->failureRateAt = aNow;
}

void
LeafCondition::AddFailure(TimePoint aNow)
{
  const double current = this->FailureRate(aNow);
  this->failureRate = current + kFailureWeight * (1 - current);
  this->failureRateAt = aNow;
}

void
LeafCondition::OnFailure(TimePoint aNow)
{
  this->AddFailure(aNow);
  this->lastAnswer = aNow;
  this->probing = false;
}

void
LeafCondition::OnTurnedAway(TimePoint aNow)
{
  this->lastAnswer = aNow;
  this->probing = false;
}

void
LeafCondition::OnUnreachable(TimePoint aSentAt, TimePoint aNow)
{
  this->AddUnanswered(kUnreachableWeight, aSentAt, aNow);
}

void
LeafCondition::OnAnswerLost(TimePoint aSentAt, TimePoint aNow)
{
  this->AddUnanswered(kAnswerLostWeight, aSentAt, aNow);
}

void
LeafCondition::AddUnanswered(std::uint32_t aWeight, TimePoint aSentAt, TimePoint aNow)
{
  this->AddFailure(aNow);
  if (aSentAt <= this->excludedAt) {
    return;
  }
  this->unansweredWeight += aWeight;
  this->probing = false;
  if (this->unansweredWeight < kWeightToExclude) {
    return;
  }
  const std::uint32_t doublings =
    std::min((this->unansweredWeight - kWeightToExclude) / kUnreachableWeight, kMaxExclusionDoublings);
  this->excludedAt = aNow;
  this->excludedUntil = aNow + kFirstExclusion * (1U << doublings);
}

void
LeafCondition::OnMisdirected(TimePoint aNow)
{
  this->probing = false;
  this->excludedUntil = aNow + kMisdirectedExclusion;
}

Duration
LeafCondition::ExpectedTime(Duration aTypical, std::uint32_t aSlots, TimePoint aNow) const
{
  const double busy = static_cast<double>(this->InFlight()) / std::max<std::uint32_t>(1, aSlots);
  const double factor = this->Slowness(aNow) * (1 + kQueueFactor * busy);
  return std::chrono::duration_cast<Duration>(aTypical * factor);
}

bool
LeafCondition::Unresponsive(TimePoint aNow) const
{
  if (this->outstanding.empty()) {
    return false;
  }
  const OutstandingCall& oldest = this->outstanding.front();
  const Duration allowed = std::max(
    kMinUnresponsiveTime, std::chrono::duration_cast<Duration>(oldest.expected * kUnresponsiveFactor));
  return aNow - std::max(oldest.sentAt, this->lastAnswer) > allowed;
}

double
LeafCondition::FailureRate(TimePoint aNow) const
{
  return this->failureRate * Decay(this->failureRateAt, aNow);
}

double
LeafCondition::Slowness(TimePoint aNow) const
{
  return 1 + (this->slowness - 1) * Decay(this->slownessAt, aNow);
}

} // namespace yp
