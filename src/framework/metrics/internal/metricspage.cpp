#include "framework/metrics/metrics.h"
#include <limits>
#include <prometheus/text_serializer.h>

namespace yp {

void
MetricsPage::AddCounter(const std::string& aName, const std::string& aHelp, std::uint64_t aValue)
{
  this->AddCounters(aName, aHelp, { { {}, aValue } });
}

void
MetricsPage::AddCounters(const std::string& aName,
                         const std::string& aHelp,
                         const std::vector<std::pair<Labels, std::uint64_t>>& aValues)
{
  prometheus::MetricFamily& family = this->AddFamily(aName, aHelp, prometheus::MetricType::Counter);
  for (const auto& [labels, value] : aValues) {
    prometheus::ClientMetric metric;
    for (const auto& [label, text] : labels) {
      metric.label.push_back({ label, text });
    }
    metric.counter.value = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
  }
}

void
MetricsPage::AddGauge(const std::string& aName, const std::string& aHelp, double aValue)
{
  prometheus::ClientMetric metric;
  metric.gauge.value = aValue;
  this->AddFamily(aName, aHelp, prometheus::MetricType::Gauge).metric.push_back(std::move(metric));
}

void
MetricsPage::AddHistogram(const std::string& aName, const std::string& aHelp, const LatencyCounts& aCounts)
{
  prometheus::ClientMetric metric;
  std::uint64_t cumulative = 0;
  double bound = std::chrono::duration<double>(LatencyCounts::kFirstBound).count();
  for (std::size_t i = 0; i < LatencyCounts::kBuckets; ++i) {
    cumulative += aCounts.buckets[i];
    const bool last = i + 1 == LatencyCounts::kBuckets;
    metric.histogram.bucket.push_back({ cumulative, last ? std::numeric_limits<double>::infinity() : bound });
    bound *= 2;
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = static_cast<double>(aCounts.sumNs) * 1e-9;
  this->AddFamily(aName, aHelp, prometheus::MetricType::Histogram).metric.push_back(std::move(metric));
}

std::string
MetricsPage::Text() const
{
  return prometheus::TextSerializer().Serialize(this->families);
}

prometheus::MetricFamily&
MetricsPage::AddFamily(const std::string& aName, const std::string& aHelp, prometheus::MetricType aType)
{
  prometheus::MetricFamily& family = this->families.emplace_back();
  family.name = "yuccaspool_" + aName;
  family.help = aHelp;
  family.type = aType;
  return family;
}

} // namespace yp
