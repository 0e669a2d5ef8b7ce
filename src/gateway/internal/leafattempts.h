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

/// \return whether nothing of a call was written, so that another call may replace it
inline bool
WasUnwritten(LeafOutcome aOutcome)
{
  return aOutcome == LeafOutcome::kNotSent || aOutcome == LeafOutcome::kHeldBack;
}

/// A call without a result.
struct PendingAttempt
{
  std::uint64_t call = 0;
  LeafHandle* leaf = nullptr; ///< kept alive by LeafAttempts::used
};

/// The calls of one request to the leafs of one service. A leaf gets the request again only when its answer
/// was lost and no other leaf can take the request.
struct LeafAttempts
{
  std::vector<Ref<LeafHandle>> used;       ///< leafs that the request was sent to
  std::vector<Ref<LeafHandle>> answerLost; ///< those whose connection ended before the answer
  std::vector<PendingAttempt> calls;       ///< calls in progress
  std::uint32_t mayHaveRun = 0;            ///< leafs that may have run the request
  std::uint32_t unsent = 0;                ///< calls that were not written
  bool hedged = false;                     ///< the time for a hedged call has passed
  TimePoint sentAt;                        ///< time of the last call

  /// Records the result of a call.
  void OnResult(std::uint64_t aCall, LeafOutcome aOutcome);

  /// Ends the calls of which nothing has been written.
  void WithdrawUnwritten(CallSender& aSender);

  /// \return the used leafs that are not to get the request again
  std::vector<Ref<LeafHandle>> LeafsWithoutLostAnswer() const;
};

/// Sends a request to a leaf of a service. A leaf that the request was sent to before is used again only to
/// repeat a lost answer when no other leaf can take the request.
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
