#ifndef YP_QUERY_IREQUESTTABLE_H
#define YP_QUERY_IREQUESTTABLE_H

#include "query/querytypes.h"
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// What a process knows of a non-idempotent request id.
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
    kKnown,   ///< claimed before; state and answer say what is known
    kForeign, ///< issued by another incarnation; owner names it
    kExpired, ///< too old to tell whether it has run
    kInvalid, ///< not an id of this system
    kFull     ///< the table is full; the request was not run
  };
  Kind kind = Kind::kInvalid;
  RequestIdState state = RequestIdState::kIssued;
  std::optional<RequestAnswer> answer; ///< of a finished request
  Incarnation owner;
};

/// Table of the non-idempotent requests of one incarnation. Safe for use by several threads.
class IRequestTable
{
public:
  virtual ~IRequestTable() = default;

  /// Issues ids that only this incarnation runs.
  /// \return the ids; kBadInput for a count of 0 or over 1,000
  virtual Result<std::vector<std::string>> Issue(std::uint32_t aCount) = 0;

  /// Claims an id for running. At most one claim of an id succeeds in the life of the process.
  virtual ClaimResult Claim(const std::string& aId) = 0;

  /// Checks, right before the request is written to a leaf, that the claim still holds after any pause.
  /// \return whether it may be written
  virtual bool MayWrite(const std::string& aId) const = 0;

  /// Records the outcome of a claimed id. The first outcome stays.
  virtual void Finish(const std::string& aId, const RequestAnswer& aAnswer) = 0;

  /// \return what is known, without claiming
  virtual ClaimResult Find(const std::string& aId) const = 0;
};

} // namespace yp

#endif
