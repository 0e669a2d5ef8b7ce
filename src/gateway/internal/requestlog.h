#ifndef YP_GATEWAY_INTERNAL_REQUESTLOG_H
#define YP_GATEWAY_INTERNAL_REQUESTLOG_H

#include "gateway/internal/runnercontext.h"

namespace yp {

/// Writes one line a request, bounded in volume: answers without a fault are dropped first, then all others.
/// The number of dropped lines is logged with the next line.
class RequestLog
{
public:
  explicit RequestLog(const IClock& aClock)
    : clock(aClock)
    , refilled(aClock.Now())
  {
  }

  void Write(const RunnerRequest& aRequest,
             const GatewayReply& aReply,
             std::uint32_t aExtraCalls,
             Duration aElapsed)
  {
    const bool plain = aReply.outcome == GatewayOutcome::kPassed ||
                       (aReply.outcome == GatewayOutcome::kMerged && aReply.missing == 0);
    if (!this->Take(plain ? kReservedForFaults : 0)) {
      ++this->dropped;
      return;
    }
    LogEvent(LogLevel::kInfo,
             "request",
             { { "id", aRequest.message->id },
               { "outcome", ToString(aReply.outcome) },
               { "reason", aReply.reason },
               { "route", aRequest.route != nullptr ? aRequest.route->name : "" },
               { "version", aRequest.routing ? aRequest.routing->version : 0 },
               { "missing", aReply.missing },
               { "extra_calls", aExtraCalls },
               { "elapsed_us", std::chrono::duration_cast<std::chrono::microseconds>(aElapsed).count() },
               { "dropped_lines", this->dropped } });
    this->dropped = 0;
  }

private:
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurstLines = 200;
  static constexpr double kReservedForFaults = 100;

  bool Take(double aReserve)
  {
    const TimePoint now = this->clock.Now();
    const double seconds = std::chrono::duration<double>(now - this->refilled).count();
    this->lines = std::min(kBurstLines, this->lines + seconds * kLinesPerSecond);
    this->refilled = now;
    if (this->lines < 1 + aReserve) {
      return false;
    }
    this->lines -= 1;
    return true;
  }

  const IClock& clock;
  TimePoint refilled;
  double lines = kBurstLines;
  std::uint64_t dropped = 0;
};

} // namespace yp

#endif
