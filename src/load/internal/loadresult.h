#ifndef YP_LOAD_INTERNAL_LOADRESULT_H
#define YP_LOAD_INTERNAL_LOADRESULT_H

#include "framework/global/global.h"
#include <map>
#include <memory>

namespace yp {

/// Latencies from 10 us to 1000 s with a relative error of at most 0.5 %.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration aLatency);

  /// \param aQuantile 0 to 1
  /// \return the latency in milliseconds; 0 without samples
  double Quantile(double aQuantile) const;

  /// \return count, mean, maximum and the usual quantiles in milliseconds
  Json ToJson() const;

private:
  struct Bins;
  std::unique_ptr<Bins> bins;
  std::uint64_t count = 0;
  double sumMs = 0;
  double maxMs = 0;
};

/// Counts and distributions of a run.
class LoadResult
{
public:
  /// Adds a request that ended.
  /// \param aOutcome outcome told by the daemon, or "no_reply", "no_address" or "generator_full"
  /// \param aReason reason told, or the error's code and step
  void Add(const std::string& aOutcome, const std::string& aReason, Duration aLatency);
  void AddCoverage(double aFraction, bool aComplete);
  Json ToJson() const;

  std::uint64_t offered = 0;
  std::uint64_t resent = 0;
  std::uint64_t cutOff = 0; ///< attempts whose connection closed after the request was sent, without a reply
  std::uint64_t addressAnswers = 0;
  std::uint64_t addressFailures = 0;

private:
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> reasons;
  std::map<std::string, std::uint64_t> coverage; ///< by lower bound of a tenth; "complete" apart
  LatencyHistogram answered;
  LatencyHistogram all;
};

} // namespace yp

#endif
