#ifndef YP_GATEWAY_INTERNAL_LEAFATTEMPTS_H
#define YP_GATEWAY_INTERNAL_LEAFATTEMPTS_H

#include "gateway/internal/runnercontext.h"

namespace yp {

enum class CallPurpose
{
  kFirst,
  kReplacement, ///< replaces a call that was not written
  kExtra        ///< repeated request; spends budget and goes only to a responsive leaf
};

/// The calls of one request to the leafs of one service. No leaf gets the request twice.
struct LeafAttempts
{
  std::vector<Ref<LeafHandle>> used; ///< leafs that the request was sent to
  std::vector<std::uint64_t> calls;  ///< ids of the calls without a result
  std::uint32_t mayHaveRun = 0;      ///< leafs that may have run the request
  std::uint32_t unsent = 0;          ///< calls that were not written
  bool hedged = false;               ///< the time for a hedged call has passed
  TimePoint sentAt;                  ///< time of the last call

  /// Records the result of a call.
  void OnResult(std::uint64_t aCall, LeafOutcome aOutcome);
};

/// Sends a request to a leaf of a service that it was not sent to before.
/// \param aTakeExcluded whether an excluded leaf is allowed when there is no other
/// \param aHandler called once with the result, unless the call is released or cancelled
/// \return false when no leaf may get the request, or the budget is spent
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
