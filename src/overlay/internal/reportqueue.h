#ifndef YP_OVERLAY_INTERNAL_REPORTQUEUE_H
#define YP_OVERLAY_INTERNAL_REPORTQUEUE_H

#include "membership/imembertable.h"
#include "overlay/ipeernetwork.h"
#include <deque>
#include <vector>

namespace yp {

/// Limits how many reports of unreachable members a node passes on, with a token bucket. Reports of single
/// failures pass at once; those of a mass loss wait and leave in batches.
class ReportQueue
{
public:
  /// Reports that pass without waiting: those of a rack's first hosts, at up to three reports each.
  static constexpr std::size_t kBurst = 32;
  /// Reports passed on a second under load. A report takes about 65 bytes and goes to 3 links then, which
  /// bounds the traffic to about 6 KB/s.
  static constexpr std::size_t kPerSecond = 32;
  /// Bounds memory; what does not fit is repaired by comparisons of tables.
  static constexpr std::size_t kMaxQueued = 16384;

  /// \return whether the report is to be sent now; otherwise it is queued
  bool Pass(const Suspicion& aReport, TimePoint aNow);

  /// \return the queued reports to be sent now
  std::vector<Suspicion> Due(TimePoint aNow);

  /// \return whether reports wait
  bool Loaded() const { return !this->queue.empty(); }

private:
  void Refill(TimePoint aNow);

  std::deque<Suspicion> queue;
  double tokens = kBurst;
  TimePoint refilled;
};

} // namespace yp

#endif
