#include "loadresult.h"
#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 1e6;
/// Bins grow by 1 %, and a value is reported as the geometric centre of its bin.
constexpr double kBinRatio = 1.01;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

LogAxis
MakeAxis()
{
  const double bins = std::ceil(std::log(kHighestMs / kLowestMs) / std::log(kBinRatio));
  return LogAxis(static_cast<unsigned>(bins), kLowestMs, kHighestMs);
}

} // namespace

struct LatencyHistogram::Bins
{
  decltype(bh::make_histogram(MakeAxis())) histogram = bh::make_histogram(MakeAxis());
};

LatencyHistogram::LatencyHistogram()
  : bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Add(Duration aLatency)
{
  const double value = std::chrono::duration<double, std::milli>(aLatency).count();
  this->bins->histogram(std::max(value, kLowestMs));
  ++this->count;
  this->sumMs += value;
  this->maxMs = std::max(this->maxMs, value);
}

double
LatencyHistogram::Quantile(double aQuantile) const
{
  const double wanted = std::max(1.0, std::ceil(aQuantile * static_cast<double>(this->count)));
  double seen = 0;
  for (auto&& bin : bh::indexed(this->bins->histogram)) {
    seen += static_cast<double>(*bin);
    if (seen >= wanted) {
      return std::min(std::sqrt(bin.bin().lower() * bin.bin().upper()), this->maxMs);
    }
  }
  return this->maxMs;
}

Json
LatencyHistogram::ToJson() const
{
  const double mean = this->count == 0 ? 0 : this->sumMs / static_cast<double>(this->count);
  return Json{ { "count", this->count },        { "mean", mean },
               { "p50", this->Quantile(0.5) },  { "p90", this->Quantile(0.9) },
               { "p99", this->Quantile(0.99) }, { "p999", this->Quantile(0.999) },
               { "max", this->maxMs } };
}

void
LoadResult::Add(const std::string& aOutcome, const std::string& aReason, Duration aLatency)
{
  ++this->outcomes[aOutcome];
  if (!aReason.empty()) {
    ++this->reasons[aOutcome + "/" + aReason];
  }
  this->all.Add(aLatency);
  if (aOutcome == "answered") {
    this->answered.Add(aLatency);
  }
}

void
LoadResult::AddCoverage(double aFraction, bool aComplete)
{
  if (aComplete) {
    ++this->coverage["complete"];
    return;
  }
  const int tenth = std::clamp(static_cast<int>(aFraction * 10), 0, 9);
  ++this->coverage["0." + std::to_string(tenth)];
}

Json
LoadResult::ToJson() const
{
  return Json{ { "offered", this->offered },
               { "resent", this->resent },
               { "cut_off", this->cutOff },
               { "address_answers", this->addressAnswers },
               { "address_failures", this->addressFailures },
               { "outcomes", this->outcomes },
               { "reasons", this->reasons },
               { "coverage", this->coverage },
               { "latency_ms", { { "answered", this->answered.ToJson() }, { "all", this->all.ToJson() } } } };
}

} // namespace yp
