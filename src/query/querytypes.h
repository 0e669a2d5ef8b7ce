#ifndef YP_QUERY_QUERYTYPES_H
#define YP_QUERY_QUERYTYPES_H

#include "tickets/tickets.h"
#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// Outcome of a request as reported to its caller.
enum class RequestOutcome
{
  kAnswered,
  kNotRun, ///< no leaf ran it, with certainty
  kUnknown ///< it may have run
};

/// Why a request was not answered.
enum class RequestReason
{
  kNone,
  kBadRequest,
  kUnknownCaller,
  kUnknownService,
  kNotReady,
  kLeaving,
  kOverload,
  kDeadline,
  kNoReplica,
  kWrongNode,
  kExpiredId,
  kConnectionLost,
  kUnreachableOwner,
  kCoverageTooLow,
  kVersionChanged
};

/// \return the snake_case name used in replies
const char*
ToString(RequestOutcome aOutcome);

/// \return the snake_case name used in replies
const char*
ToString(RequestReason aReason);

/// Share of the data that an answer covers, by shard weight in the pinned layout.
struct Coverage
{
  std::uint64_t covered = 0;
  std::uint64_t total = 0;

  bool Complete() const { return this->total != 0 && this->covered == this->total; }
  double Fraction() const
  {
    return this->total == 0 ? 0.0 : static_cast<double>(this->covered) / static_cast<double>(this->total);
  }
};

/// The layout and index version that all parts of an answer come from.
struct Snapshot
{
  std::string service;
  LayoutId layout = 0;
  IndexVersion indexVersion = 0;
  TicketNumber ticket = 0;
};

/// One result of a lookup.
struct Hit
{
  std::string document;
  double score = 0;
  std::string fields; ///< JSON object as text
};

/// An idempotent lookup over all shards of a service.
struct LookupRequest
{
  std::string caller;
  std::string service;
  std::string query; ///< JSON object as text; passed to the leafs unchanged
  std::uint32_t limit = 10;
  TimePoint deadline;
};

/// A non-idempotent request to the shard that owns a key.
struct ExecuteRequest
{
  std::string requestId;
  std::string caller;
  std::string service;
  std::string key;
  std::string body; ///< JSON value as text; passed to the leaf unchanged
  TimePoint deadline;
};

/// Reply to either kind of request.
struct RequestAnswer
{
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RequestReason reason = RequestReason::kNone;
  std::string detail; ///< human-readable explanation; empty when answered
  Coverage coverage;  ///< only for lookups
  Snapshot snapshot;
  std::vector<Hit> hits; ///< only for lookups; best first
  std::string result;    ///< only for non-idempotent requests: JSON value as text
};

/// \return an answer without a result
RequestAnswer
MakeAnswer(RequestOutcome aOutcome, RequestReason aReason, std::string aDetail);

} // namespace yp

#endif
