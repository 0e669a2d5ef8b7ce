#include "gateway/internal/extraloadshare.h"
#include <algorithm>

namespace yp {

namespace {

// Fractions of the fleet's bound that are used; the rest covers nodes that know a different number of
// members.
constexpr double kRatioUsed = 0.9;
constexpr double kSlackUsed = 0.75;
// A restarted node begins with part of its bucket: the tokens may have been spent before the restart.
constexpr double kInitialFill = 0.25;
constexpr double kSmallestCapacity = 1;

} // namespace

ExtraLoadShare::ExtraLoadShare(double aRatio, double aSlack)
{
  this->SetBounds(aRatio, aSlack);
}

void
ExtraLoadShare::SetBounds(double aRatio, double aSlack)
{
  this->ratio = aRatio * kRatioUsed;
  this->slack = aSlack * kSlackUsed;
  this->SetShare(this->share);
}

void
ExtraLoadShare::SetShare(double aShare)
{
  this->share = aShare;
  this->capacity = std::max(kSmallestCapacity, this->slack * aShare);
  for (auto& [service, tokens] : this->buckets) {
    tokens = std::min(tokens, this->capacity);
  }
}

void
ExtraLoadShare::OnRequest(const std::string& aService)
{
  double& tokens = this->Bucket(aService);
  tokens = std::min(this->capacity, tokens + this->ratio);
}

void
ExtraLoadShare::KeepServices(const std::set<std::string>& aServices)
{
  for (auto bucket = this->buckets.begin(); bucket != this->buckets.end();) {
    bucket = aServices.count(bucket->first) != 0 ? std::next(bucket) : this->buckets.erase(bucket);
  }
}

bool
ExtraLoadShare::TrySpend(const std::string& aService)
{
  double& tokens = this->Bucket(aService);
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

double&
ExtraLoadShare::Bucket(const std::string& aService)
{
  const auto found = this->buckets.find(aService);
  return found != this->buckets.end()
           ? found->second
           : this->buckets.emplace(aService, this->capacity * kInitialFill).first->second;
}

} // namespace yp
