#include "entry/internal/requestservice.h"
#include "entry/internal/answercodec.h"
#include <algorithm>

namespace yp {

namespace {

// A resent id is usually finished within a leaf's service time; more frequent looks would only cost time.
constexpr std::chrono::milliseconds kFindInterval{ 10 };
constexpr std::size_t kMaxTargets = 4;   ///< holders tried for one request
constexpr std::size_t kTargetDraws = 16; ///< random draws to find one that was not tried

RequestAnswer
NotRun(RequestReason aReason, std::string aDetail)
{
  return MakeAnswer(RequestOutcome::kNotRun, aReason, std::move(aDetail));
}

/// \return whether another holder may serve what this one certainly did not run
bool
IsElsewhere(const RequestAnswer& aAnswer)
{
  return aAnswer.outcome == RequestOutcome::kNotRun &&
         (aAnswer.reason == RequestReason::kWrongNode || aAnswer.reason == RequestReason::kNotReady);
}

RequestAnswer
Unknown(RequestReason aReason, std::string aDetail)
{
  return MakeAnswer(RequestOutcome::kUnknown, aReason, std::move(aDetail));
}

const char*
DetailOf(RequestReason aReason)
{
  switch (aReason) {
    case RequestReason::kNotReady:
      return "this node does not yet know the configuration in force";
    case RequestReason::kUnknownCaller:
      return "no ticket in force declares the caller";
    case RequestReason::kUnknownService:
      return "no ticket in force declares the service for the caller";
    default:
      return "";
  }
}

} // namespace

std::unique_ptr<IRequestService>
MakeRequestService(const RequestServiceParts& aParts)
{
  return std::make_unique<RequestService>(aParts);
}

RequestService::RequestService(const RequestServiceParts& aParts)
  : parts(aParts)
{
}

RequestReason
RequestService::Refusal(const std::string& aCaller, const std::string& aService) const
{
  if (!this->parts.serving.Serving()) {
    return RequestReason::kNotReady;
  }
  const Ref<const TicketState> state = this->parts.tickets.Load();
  const Ref<const CallerSpec> caller = state ? state->FindCaller(aCaller) : nullptr;
  if (!caller) {
    return RequestReason::kUnknownCaller;
  }
  const bool allowed =
    std::find(caller->services.begin(), caller->services.end(), aService) != caller->services.end();
  return allowed && state->FindService(aService) ? RequestReason::kNone : RequestReason::kUnknownService;
}

bool
RequestService::HoldsService(const std::string& aService) const
{
  const Ref<const Placement> placement = this->parts.placement.Load();
  return placement && placement->Holds(aService);
}

IRequestService::AbandonFunction
RequestService::Lookup(LookupRequest aRequest, Origin aOrigin, AnswerHandler aHandler)
{
  const RequestReason refusal = this->Refusal(aRequest.caller, aRequest.service);
  if (refusal != RequestReason::kNone) {
    aHandler(NotRun(refusal, DetailOf(refusal)));
    return {};
  }
  if (this->HoldsService(aRequest.service)) {
    const auto handle = this->parts.engine.Lookup(std::move(aRequest), std::move(aHandler));
    return [this, handle] { this->parts.engine.Abandon(handle); };
  }
  if (aOrigin == Origin::kPeer) {
    aHandler(NotRun(RequestReason::kWrongNode, "this node holds no connections to the service"));
    return {};
  }
  this->ForwardLookup(aRequest, {}, aHandler);
  return {};
}

Result<std::string>
RequestService::NextTarget(const std::string& aService, const std::set<std::string>& aTried)
{
  for (std::size_t draw = 0; draw < kTargetDraws && aTried.size() < kMaxTargets; ++draw) {
    BOOST_LEAF_AUTO(host, this->parts.steering.ForwardTarget(aService, this->parts.random));
    if (aTried.count(host) == 0) {
      return host;
    }
  }
  return Fail(
    ErrorCode::kUnavailable, "entry.forward", "", "no holder of the service serves the request now");
}

void
RequestService::ForwardLookup(const LookupRequest& aRequest,
                              std::set<std::string> aTried,
                              const AnswerHandler& aHandler)
{
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(host, this->NextTarget(aRequest.service, aTried));
      aTried.insert(host);
      const auto onAnswer = [this, aRequest, aTried, aHandler](const RequestAnswer& aAnswer) {
        // A node that was placed a short time ago may not hold connections yet.
        if (IsElsewhere(aAnswer) && this->parts.clock.Now() < aRequest.deadline) {
          this->ForwardLookup(aRequest, aTried, aHandler);
          return;
        }
        aHandler(aAnswer);
      };
      this->parts.forwarder.Lookup(host, aRequest, this->parts.post, onAnswer);
      return {};
    },
    [&aHandler](const Error& aError) { aHandler(NotRun(RequestReason::kWrongNode, aError.detail)); });
}

void
RequestService::Execute(ExecuteRequest aRequest, Origin aOrigin, AnswerHandler aHandler)
{
  const RequestReason refusal = this->Refusal(aRequest.caller, aRequest.service);
  const ClaimResult known = this->parts.requests.Find(aRequest.requestId);
  if (known.kind == ClaimResult::Kind::kInvalid) {
    aHandler(NotRun(RequestReason::kBadRequest, "request_id is not an id of this system"));
    return;
  }
  if (known.kind == ClaimResult::Kind::kForeign) {
    if (aOrigin == Origin::kPeer) {
      aHandler(Unknown(RequestReason::kUnreachableOwner, "the id names an earlier run of this host"));
      return;
    }
    this->parts.forwarder.Execute(known.owner, aRequest, this->parts.post, std::move(aHandler));
    return;
  }
  if (known.kind == ClaimResult::Kind::kKnown && known.state != RequestIdState::kIssued) {
    this->AnswerKnown(aRequest.requestId, known, aRequest.deadline, aHandler);
    return;
  }
  // Claiming a refused request makes the refusal final, so that a copy of it cannot run later.
  const ClaimResult claim = this->parts.requests.Claim(aRequest.requestId);
  if (claim.kind != ClaimResult::Kind::kClaimed) {
    this->AnswerKnown(aRequest.requestId, claim, aRequest.deadline, aHandler);
    return;
  }
  if (refusal != RequestReason::kNone) {
    const RequestAnswer answer = NotRun(refusal, DetailOf(refusal));
    this->parts.requests.Finish(aRequest.requestId, answer);
    aHandler(answer);
    return;
  }
  this->RunClaimed(aRequest, aHandler);
}

void
RequestService::RunClaimed(const ExecuteRequest& aRequest, const AnswerHandler& aHandler)
{
  if (!this->HoldsService(aRequest.service)) {
    const RequestAnswer answer =
      NotRun(RequestReason::kWrongNode, "this node holds no connections to the service");
    this->parts.requests.Finish(aRequest.requestId, answer);
    aHandler(answer);
    return;
  }
  this->parts.engine.Execute(aRequest, aHandler);
}

void
RequestService::AnswerKnown(const std::string& aId,
                            const ClaimResult& aClaim,
                            TimePoint aDeadline,
                            const AnswerHandler& aHandler)
{
  switch (aClaim.kind) {
    case ClaimResult::Kind::kFull:
      // The id could not be recorded, so another copy of the request may still be claimed and run.
      aHandler(Unknown(RequestReason::kOverload, "too many recent non-idempotent requests"));
      return;
    case ClaimResult::Kind::kInvalid:
      aHandler(NotRun(RequestReason::kBadRequest, "request_id is not an id of this system"));
      return;
    case ClaimResult::Kind::kForeign:
      aHandler(Unknown(RequestReason::kUnreachableOwner, "the id names another run of the daemon"));
      return;
    case ClaimResult::Kind::kExpired:
      aHandler(Unknown(RequestReason::kExpiredId, "the id is too old to tell whether the request has run"));
      return;
    case ClaimResult::Kind::kClaimed:
    case ClaimResult::Kind::kKnown:
      break;
  }
  if (aClaim.answer) {
    aHandler(*aClaim.answer);
    return;
  }
  if (aClaim.state == RequestIdState::kIssued) {
    aHandler(NotRun(RequestReason::kNone, "the id was issued and no request with it has arrived"));
    return;
  }
  if (this->parts.clock.Now() >= aDeadline) {
    aHandler(Unknown(RequestReason::kDeadline, "the request is still running"));
    return;
  }
  this->parts.timers.At(this->parts.clock.Now() + kFindInterval,
                        [this, aId, aDeadline, aHandler] { this->FindAgain(aId, aDeadline, aHandler); });
}

void
RequestService::FindAgain(const std::string& aId, TimePoint aDeadline, const AnswerHandler& aHandler)
{
  this->AnswerKnown(aId, this->parts.requests.Find(aId), aDeadline, aHandler);
}

void
RequestService::FindOutcome(const std::string& aId,
                            TimePoint aDeadline,
                            Origin aOrigin,
                            AnswerHandler aHandler)
{
  const ClaimResult known = this->parts.requests.Find(aId);
  if (known.kind == ClaimResult::Kind::kForeign && aOrigin == Origin::kCaller) {
    this->parts.forwarder.FindOutcome(known.owner, aId, aDeadline, this->parts.post, std::move(aHandler));
    return;
  }
  if (known.kind == ClaimResult::Kind::kKnown && known.state == RequestIdState::kIssued) {
    // A copy of the request may still be on its way, so "not run" would not be final.
    aHandler(Unknown(RequestReason::kNone, "no request with this id has arrived so far"));
    return;
  }
  this->AnswerKnown(aId, known, aDeadline, aHandler);
}

void
RequestService::IssueIds(const std::string& aService,
                         std::uint32_t aCount,
                         TimePoint aDeadline,
                         Origin aOrigin,
                         IdsHandler aHandler)
{
  Recover(
    [&]() -> Result<void> {
      if (!this->parts.serving.Serving()) {
        return Fail(ErrorCode::kUnavailable, "entry.issue_ids", "", DetailOf(RequestReason::kNotReady));
      }
      if (this->HoldsService(aService)) {
        BOOST_LEAF_AUTO(ids, this->parts.requests.Issue(aCount));
        aHandler(std::move(ids));
        return {};
      }
      if (aOrigin == Origin::kPeer) {
        return Fail(
          ErrorCode::kUnavailable, "entry.issue_ids", "", "this node holds no connections to the service");
      }
      this->ForwardIssue(aService, aCount, aDeadline, {}, aHandler);
      return {};
    },
    [&aHandler](const Error& aError) { aHandler(aError); });
}

void
RequestService::ForwardIssue(const std::string& aService,
                             std::uint32_t aCount,
                             TimePoint aDeadline,
                             std::set<std::string> aTried,
                             const IdsHandler& aHandler)
{
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(host, this->NextTarget(aService, aTried));
      aTried.insert(host);
      const auto onIds = [this, aService, aCount, aDeadline, aTried, aHandler](const auto& aIds) {
        // Ids that were not issued do no harm, so any failure may be tried elsewhere.
        if (std::holds_alternative<Error>(aIds) && this->parts.clock.Now() < aDeadline) {
          this->ForwardIssue(aService, aCount, aDeadline, aTried, aHandler);
          return;
        }
        aHandler(aIds);
      };
      this->parts.forwarder.IssueIds(host, aService, aCount, aDeadline, this->parts.post, onIds);
      return {};
    },
    [&aHandler](const Error& aError) { aHandler(aError); });
}

} // namespace yp
