#ifndef YP_QUERY_IREQUESTTABLE_H
#define YP_QUERY_IREQUESTTABLE_H

#include "query/querytypes.h"
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// State of a non-idempotent request id, as known to the process that issued it.
enum class RequestIdState
{
  kIssued,
  kRunning,
  kDone,
  kNotRun,
  kUnknown
};

/// Answer to an attempt to claim an id.
struct ClaimResult
{
  enum class Kind
  {
    kClaimed, ///< this call, and no other, may run the request
    kKnown,   ///< claimed before; see state and answer
    kForeign, ///< issued by another incarnation; see owner
    kExpired, ///< past the id lifetime; whether it ran is no longer known
    kInvalid, ///< malformed, or not issued by this system
    kFull     ///< the table is full; the request was not run
  };
  Kind kind = Kind::kInvalid;
  RequestIdState state = RequestIdState::kIssued;
  std::optional<RequestAnswer> answer; ///< set once the request has finished
  Incarnation owner;
};

/// Table of the non-idempotent requests of one incarnation. Thread-safe.
class IRequestTable
{
public:
  virtual ~IRequestTable() = default;

  /// Issues ids whose requests only this incarnation may run.
  /// \return the ids; kBadInput for a count of 0 or over 1,000
  virtual Result<std::vector<std::string>> Issue(std::uint32_t aCount) = 0;

  /// Claims an id in order to run its request. At most one claim of an id succeeds in the life of the
  /// process.
  virtual ClaimResult Claim(const std::string& aId) = 0;

  /// Checks that the claim is still valid. Called right before the request is written to a leaf, because the
  /// id may have expired while the process was paused.
  /// \return whether it may be written
  virtual bool MayWrite(const std::string& aId) const = 0;

  /// Records the outcome of a claimed id. Later calls for the same id are ignored.
  virtual void Finish(const std::string& aId, const RequestAnswer& aAnswer) = 0;

  /// \return the state of an id, without claiming it
  virtual ClaimResult Find(const std::string& aId) const = 0;
};

} // namespace yp

#endif
