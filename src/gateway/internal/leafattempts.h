#ifndef YP_GATEWAY_INTERNAL_LEAFATTEMPTS_H
#define YP_GATEWAY_INTERNAL_LEAFATTEMPTS_H

#include "gateway/internal/runnercontext.h"

namespace yp {

enum class CallPurpose
{
  kFirst,
  kUnsent, ///< the call before it was not written
  kExtra   ///< repeated; paid from the budget and only at a leaf that answers now
};

/// The calls of one request to the leafs of one service. No leaf gets the request twice.
struct LeafAttempts
{
  std::vector<Ref<LeafHandle>> used; ///< leafs that got the request
  std::vector<std::uint64_t> calls;  ///< that have no result yet
  std::uint32_t mayHaveRun = 0;      ///< leafs that may have run it
  std::uint32_t unsent = 0;          ///< calls that were not written
  bool hedged = false;               ///< it was time for a repeated call
  TimePoint sentAt;                  ///< of the last call

  /// Takes over that a call has its result.
  void OnResult(std::uint64_t aCall, LeafOutcome aOutcome);
};

/// Sends a request to a leaf of a service that has not got it yet.
/// \param aTakeExcluded also takes a leaf that is excluded, when there is no other
/// \param aHandler called once with the result, unless the call is released or cancelled
/// \return false when no leaf may get it, or the budget does not allow it
bool
SendToLeaf(RunnerContext& aContext,
           RunnerRequest& aRequest,
           LeafAttempts& aAttempts,
           const std::string& aService,
           CallPurpose aPurpose,
           bool aTakeExcluded,
           CallSender::Handler aHandler);

} // namespace yp

#endif
