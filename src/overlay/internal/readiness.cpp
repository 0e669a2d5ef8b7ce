#include "overlay/internal/readiness.h"
#include <algorithm>
#include <vector>

namespace yp {

namespace {

using std::chrono::seconds;

constexpr std::size_t kDomainsAsked = 5;
// Answers of other regions take one round trip; later ones are not waited for.
constexpr seconds kAnswerWindow{ 1 };
// A target that one peer alone names is dropped after this time without progress.
constexpr seconds kUnsupportedWait{ 10 };
constexpr seconds kServiceAloneWait{ 3 };
constexpr seconds kServiceWithOthersWait{ 10 };

} // namespace

Readiness::Readiness(TimePoint aNow)
  : since(aNow)
{
}

void
Readiness::OnPause(TimePoint aNow)
{
  ++this->nonce;
  this->since = aNow;
  this->firstAnswer.reset();
  this->answerDomains.clear();
  this->answers.clear();
  this->target = 0;
  this->serviceHead.reset();
  this->Wait("paused; no exchange since");
}

void
Readiness::OnAnswer(const std::string& aHost,
                    const std::string& aDomain,
                    const DigestMessage& aDigest,
                    TimePoint aNow)
{
  // At a start a node that is itself not ready knows no better; after a pause any newer knowledge counts.
  if (aDigest.echo != this->nonce || this->ready || aHost.empty() || (!this->started && !aDigest.ready)) {
    return;
  }
  if (!this->firstAnswer) {
    this->firstAnswer = aNow;
  }
  this->answers[aHost] = aDigest.inForce;
  const bool open = aNow - *this->firstAnswer < kAnswerWindow && this->answerDomains.size() < kDomainsAsked;
  if (open) {
    this->answerDomains.insert(aDomain);
    this->target = std::max({ this->target, aDigest.inForce, aDigest.highest });
  }
}

void
Readiness::OnServiceContact(TicketNumber aHead, TimePoint aStarted)
{
  if (aStarted >= this->since && !this->serviceHead) {
    this->serviceHead = aHead;
  }
}

void
Readiness::Wait(std::string aReason)
{
  this->ready = false;
  this->reason = std::move(aReason);
}

void
Readiness::CatchUp(TicketNumber aInForce, TicketNumber aTarget)
{
  if (aInForce < aTarget) {
    this->Wait("catching up from ticket " + std::to_string(aInForce) + " to " + std::to_string(aTarget));
    return;
  }
  this->ready = true;
  this->started = true;
  this->reason.clear();
}

seconds
Readiness::ServiceWait(TicketNumber aHighest, OtherHosts aOthers) const
{
  // When no member has served, none has a state that could revert. A number above the service's head is a
  // sign that the service is stale; then a ready peer gets the longer time to answer.
  const bool noneServed = aOthers == OtherHosts::kStarting && aHighest <= *this->serviceHead;
  return noneServed || aOthers == OtherHosts::kNone ? kServiceAloneWait : kServiceWithOthersWait;
}

std::optional<TicketNumber>
Readiness::SupportedTarget() const
{
  if (this->answers.size() < 2) {
    return this->serviceHead;
  }
  std::vector<TicketNumber> numbers;
  for (const auto& answer : this->answers) {
    numbers.push_back(answer.second);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers[numbers.size() - 2];
}

void
Readiness::Evaluate(TimePoint aNow, TicketNumber aInForce, TicketNumber aHighest, OtherHosts aOthers)
{
  if (aInForce > this->lastInForce) {
    this->lastInForce = aInForce;
    this->progressAt = aNow;
  }
  if (this->ready) {
    return;
  }
  if (this->firstAnswer) {
    const bool complete = this->started || this->answerDomains.size() >= kDomainsAsked ||
                          aNow - *this->firstAnswer >= kAnswerWindow;
    if (!complete) {
      this->Wait("collecting answers of peers");
      return;
    }
    const TimePoint waitsSince = std::max(*this->firstAnswer, this->progressAt);
    if (aInForce < this->target && aNow - waitsSince >= kUnsupportedWait) {
      this->target = std::min(this->target, this->SupportedTarget().value_or(this->target));
    }
    this->CatchUp(aInForce, this->target);
    return;
  }
  if (!this->serviceHead) {
    this->Wait(this->started ? "paused; no exchange since" : "neither a ready peer nor the service answers");
    return;
  }
  if (!this->started && aNow - this->since < this->ServiceWait(aHighest, aOthers)) {
    this->Wait("waiting for ready peers");
    return;
  }
  this->CatchUp(aInForce, *this->serviceHead);
}

} // namespace yp
