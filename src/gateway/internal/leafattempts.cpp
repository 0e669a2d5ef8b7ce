#include "gateway/internal/leafattempts.h"
#include <algorithm>
#include <iterator>

namespace yp {

namespace {

// Percentage of the objective that a leaf may use; the rest is for the path to the caller and back.
constexpr int kUsefulPercent = 60;

} // namespace

void
LeafAttempts::OnResult(std::uint64_t aCall, LeafOutcome aOutcome)
{
  const auto pending =
    std::find_if(this->calls.begin(), this->calls.end(), [aCall](const PendingAttempt& aPending) {
      return aPending.call == aCall;
    });
  if (pending != this->calls.end()) {
    if (aOutcome == LeafOutcome::kLost) {
      this->answerLost.emplace_back(pending->leaf);
    }
    this->calls.erase(pending);
  }
  const bool ran =
    aOutcome == LeafOutcome::kAnswered || aOutcome == LeafOutcome::kFailed || aOutcome == LeafOutcome::kLost;
  this->mayHaveRun -= ran ? 0 : 1;
}

void
LeafAttempts::WithdrawUnwritten(CallSender& aSender)
{
  const auto withdrawn =
    std::remove_if(this->calls.begin(), this->calls.end(), [&aSender](const PendingAttempt& aPending) {
      return aSender.Withdraw(aPending.call);
    });
  this->mayHaveRun -= static_cast<std::uint32_t>(this->calls.end() - withdrawn);
  this->calls.erase(withdrawn, this->calls.end());
}

std::vector<Ref<LeafHandle>>
LeafAttempts::LeafsWithoutLostAnswer() const
{
  std::vector<Ref<LeafHandle>> leafs;
  std::copy_if(
    this->used.begin(), this->used.end(), std::back_inserter(leafs), [this](const Ref<LeafHandle>& aLeaf) {
      return std::find(this->answerLost.begin(), this->answerLost.end(), aLeaf) == this->answerLost.end();
    });
  return leafs;
}

bool
SendToLeaf(RunnerContext& aContext,
           RunnerRequest& aRequest,
           LeafAttempts& aAttempts,
           const std::string& aService,
           CallPurpose aPurpose,
           bool aTakeExcluded,
           CallSender::Handler aHandler)
{
  const TimePoint now = aContext.clock.Now();
  const RouteSpec& route = *aRequest.route;
  if (!aContext.CanAnswer(*aRequest.times, now)) {
    return false;
  }
  const bool extra = aPurpose == CallPurpose::kExtra;
  LeafRequirements requirements;
  requirements.typical = aRequest.times->Typical();
  requirements.objective = route.objective;
  requirements.used = &aAttempts.used;
  requirements.responsiveOnly = extra;
  requirements.withinLimit = route.Scatter();
  const std::vector<Ref<LeafHandle>>& leafs = aContext.leafs.Leafs(aService);
  LeafHandle* leaf = ChooseLeaf(leafs, requirements, aContext.options, aContext.random, now);
  if (leaf == nullptr && extra && aAttempts.calls.empty()) {
    const std::vector<Ref<LeafHandle>> unusable = aAttempts.LeafsWithoutLostAnswer();
    requirements.used = &unusable;
    leaf = ChooseLeaf(leafs, requirements, aContext.options, aContext.random, now);
  }
  if (leaf == nullptr || (!aTakeExcluded && leaf->condition.Excluded(now))) {
    return false;
  }
  if (extra && !aContext.TrySpend(aService)) {
    return false;
  }
  YP_INVARIANT(
    route.idempotent || aAttempts.mayHaveRun == 0, "gateway.non_idempotent_once", aRequest.message->id);
  aRequest.extraCalls += extra ? 1 : 0;
  aContext.stats.firstCalls += aPurpose == CallPurpose::kFirst ? 1 : 0;
  aAttempts.used.emplace_back(leaf);
  aAttempts.sentAt = now;
  ++aAttempts.mayHaveRun;
  LeafCall call;
  call.leaf = leaf;
  call.request = aRequest.message;
  call.deadline = aRequest.deadline;
  call.freshConnection = !route.idempotent;
  const bool repeated = aPurpose != CallPurpose::kFirst;
  const Duration latencyTarget =
    requirements.withinLimit ? route.objective * kUsefulPercent / 100 : Duration::zero();
  aAttempts.calls.push_back(
    { aContext.sender.Send(std::move(call), aRequest.times, latencyTarget, repeated, std::move(aHandler)),
      leaf });
  return true;
}

} // namespace yp
