#include "query/querytypes.h"
#include "query/querystats.h"

namespace yp {

const char*
ToString(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char*
ToString(RequestReason aReason)
{
  switch (aReason) {
    case RequestReason::kNone:
      return "none";
    case RequestReason::kBadRequest:
      return "bad_request";
    case RequestReason::kUnknownCaller:
      return "unknown_caller";
    case RequestReason::kUnknownService:
      return "unknown_service";
    case RequestReason::kNotReady:
      return "not_ready";
    case RequestReason::kLeaving:
      return "leaving";
    case RequestReason::kOverload:
      return "overload";
    case RequestReason::kDeadline:
      return "deadline";
    case RequestReason::kNoReplica:
      return "no_replica";
    case RequestReason::kWrongNode:
      return "wrong_node";
    case RequestReason::kExpiredId:
      return "expired_id";
    case RequestReason::kConnectionLost:
      return "connection_lost";
    case RequestReason::kUnreachableOwner:
      return "unreachable_owner";
    case RequestReason::kCoverageTooLow:
      return "coverage_too_low";
    case RequestReason::kVersionChanged:
      return "version_changed";
  }
  return "none";
}

void
QueryStats::RecordAnswer(const RequestAnswer& aAnswer, Duration aElapsed)
{
  this->outcomes[static_cast<std::size_t>(aAnswer.outcome)][static_cast<std::size_t>(aAnswer.reason)]++;
  if (aAnswer.outcome != RequestOutcome::kAnswered) {
    return;
  }
  this->latency.Add(aElapsed);
}

RequestAnswer
MakeAnswer(RequestOutcome aOutcome, RequestReason aReason, std::string aDetail)
{
  RequestAnswer answer;
  answer.outcome = aOutcome;
  answer.reason = aReason;
  answer.detail = std::move(aDetail);
  return answer;
}

} // namespace yp
