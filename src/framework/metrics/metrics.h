#ifndef YP_FRAMEWORK_METRICS_METRICS_H
#define YP_FRAMEWORK_METRICS_METRICS_H

/// \file
/// Public header of the library yp_metrics: metrics in Prometheus' text format.

#include "framework/global/global.h"
#include <prometheus/metric_family.h>
#include <string>
#include <utility>
#include <vector>

namespace yp {

/// The metrics of a process at one moment. Names get the prefix "yuccaspool_".
class MetricsPage
{
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  /// Adds a counter without labels.
  void AddCounter(const std::string& aName, const std::string& aHelp, std::uint64_t aValue);

  /// Adds a counter with a value for each set of labels.
  void AddCounters(const std::string& aName,
                   const std::string& aHelp,
                   const std::vector<std::pair<Labels, std::uint64_t>>& aValues);

  void AddGauge(const std::string& aName, const std::string& aHelp, double aValue);

  /// Adds a histogram in seconds.
  void AddHistogram(const std::string& aName, const std::string& aHelp, const LatencyCounts& aCounts);

  /// \return the metrics as text
  std::string Text() const;

private:
  prometheus::MetricFamily& AddFamily(const std::string& aName,
                                      const std::string& aHelp,
                                      prometheus::MetricType aType);

  std::vector<prometheus::MetricFamily> families;
};

} // namespace yp

#endif
