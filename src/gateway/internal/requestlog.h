#ifndef YP_GATEWAY_INTERNAL_REQUESTLOG_H
#define YP_GATEWAY_INTERNAL_REQUESTLOG_H

#include "gateway/internal/logbudget.h"
#include "gateway/internal/runnercontext.h"

namespace yp {

/// Logs one line for an answer to a caller if the budget allows it.
inline void
LogRequest(LogBudget& aBudget, const RunnerRequest& aRequest, const GatewayReply& aReply, Duration aElapsed)
{
  const bool complete = aReply.outcome == GatewayOutcome::kPassed ||
                        (aReply.outcome == GatewayOutcome::kMerged && aReply.missing == 0);
  if (!aBudget.Take(!complete)) {
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
             { "extra_calls", aRequest.extraCalls },
             { "elapsed_us", std::chrono::duration_cast<std::chrono::microseconds>(aElapsed).count() },
             { "dropped_lines", aBudget.TakeDropped() } });
}

} // namespace yp

#endif
