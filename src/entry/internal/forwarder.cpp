#include "entry/internal/forwarder.h"
#include "entry/internal/answercodec.h"

namespace yp {

namespace {

/// \return the answer in a reply, or what an error of the call means for the request
RequestAnswer
AnswerOf(const std::variant<std::string, Error>& aReply, RequestReason aReason, RequestOutcome aUndelivered)
{
  if (const Error* error = std::get_if<Error>(&aReply)) {
    const bool undelivered = error->code == ErrorCode::kUnavailable;
    return MakeAnswer(undelivered ? aUndelivered : RequestOutcome::kUnknown,
                      undelivered ? aReason : RequestReason::kConnectionLost,
                      Describe(*error));
  }
  return Recover([&] { return DecodeAnswer(std::get<std::string>(aReply)); },
                 [](const Error& aError) {
                   return MakeAnswer(
                     RequestOutcome::kUnknown, RequestReason::kConnectionLost, Describe(aError));
                 });
}

} // namespace

std::unique_ptr<IForwarder>
MakeForwarder(IPeerCalls& aCalls,
              const BlackboardEntry<MemberView>& aMembers,
              const IClock& aClock,
              EntryStats& aStats,
              PostToControl aPost)
{
  return std::make_unique<Forwarder>(aCalls, aMembers, aClock, aStats, std::move(aPost));
}

Forwarder::Forwarder(IPeerCalls& aCalls,
                     const BlackboardEntry<MemberView>& aMembers,
                     const IClock& aClock,
                     EntryStats& aStats,
                     PostToControl aPost)
  : calls(aCalls)
  , members(aMembers)
  , clock(aClock)
  , stats(aStats)
  , postToControl(std::move(aPost))
{
}

std::optional<Endpoint>
Forwarder::PeerOf(const std::string& aHost) const
{
  const Ref<const MemberView> view = this->members.Load();
  const MemberStatus* member = view ? view->Find(aHost) : nullptr;
  if (member == nullptr) {
    return std::nullopt;
  }
  return member->record.peerEndpoint;
}

std::optional<Endpoint>
Forwarder::PeerOf(const Incarnation& aOwner) const
{
  const Ref<const MemberView> view = this->members.Load();
  if (!view) {
    return std::nullopt;
  }
  for (const MemberStatus& member : view->members) {
    if (member.record.incarnation == aOwner) {
      return member.record.peerEndpoint;
    }
  }
  return std::nullopt;
}

void
Forwarder::Call(const Endpoint& aPeer,
                const char* aMethod,
                std::string aPayload,
                TimePoint aDeadline,
                Post aPost,
                IPeerCalls::ReplyHandler aHandler)
{
  ++this->stats.forwarded;
  this->postToControl([this,
                       aPeer,
                       aMethod,
                       payload = std::move(aPayload),
                       aDeadline,
                       post = std::move(aPost),
                       handler = std::move(aHandler)]() mutable {
    this->calls.Call(aPeer, aMethod, std::move(payload), aDeadline, [post, handler](auto aReply) {
      post([handler, reply = std::move(aReply)] { handler(reply); });
    });
  });
}

void
Forwarder::Lookup(const std::string& aHost, const LookupRequest& aRequest, Post aPost, AnswerHandler aHandler)
{
  const std::optional<Endpoint> peer = this->PeerOf(aHost);
  if (!peer) {
    aHandler(MakeAnswer(RequestOutcome::kNotRun, RequestReason::kWrongNode, "the holder is not known"));
    return;
  }
  this->Call(*peer,
             kLookupMethod,
             EncodeLookup(aRequest, this->clock.Now()),
             aRequest.deadline,
             std::move(aPost),
             [handler = std::move(aHandler)](auto aReply) {
               handler(AnswerOf(aReply, RequestReason::kWrongNode, RequestOutcome::kNotRun));
             });
}

void
Forwarder::CallOwner(const Incarnation& aOwner,
                     const char* aMethod,
                     std::string aPayload,
                     TimePoint aDeadline,
                     Post aPost,
                     AnswerHandler aHandler)
{
  const std::optional<Endpoint> peer = this->PeerOf(aOwner);
  if (!peer) {
    aHandler(MakeAnswer(RequestOutcome::kUnknown,
                        RequestReason::kUnreachableOwner,
                        "the run of the daemon that issued the id is gone"));
    return;
  }
  // The owner may have run an earlier copy of the request, so an undelivered call does not mean "not run".
  this->Call(*peer,
             aMethod,
             std::move(aPayload),
             aDeadline,
             std::move(aPost),
             [handler = std::move(aHandler)](auto aReply) {
               handler(AnswerOf(aReply, RequestReason::kUnreachableOwner, RequestOutcome::kUnknown));
             });
}

void
Forwarder::Execute(const Incarnation& aOwner,
                   const ExecuteRequest& aRequest,
                   Post aPost,
                   AnswerHandler aHandler)
{
  this->CallOwner(aOwner,
                  kExecuteMethod,
                  EncodeExecute(aRequest, this->clock.Now()),
                  aRequest.deadline,
                  std::move(aPost),
                  std::move(aHandler));
}

void
Forwarder::FindOutcome(const Incarnation& aOwner,
                       const std::string& aId,
                       TimePoint aDeadline,
                       Post aPost,
                       AnswerHandler aHandler)
{
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline - this->clock.Now());
  const IdQuestion question{ aId, "", 0, std::max(remaining, std::chrono::milliseconds(0)) };
  this->CallOwner(
    aOwner, kOutcomeMethod, EncodeIdQuestion(question), aDeadline, std::move(aPost), std::move(aHandler));
}

void
Forwarder::IssueIds(const std::string& aHost,
                    const std::string& aService,
                    std::uint32_t aCount,
                    TimePoint aDeadline,
                    Post aPost,
                    IdsHandler aHandler)
{
  const std::optional<Endpoint> peer = this->PeerOf(aHost);
  if (!peer) {
    aHandler(Error{ ErrorCode::kUnavailable, "entry.issue_ids", aHost, "the holder is not known" });
    return;
  }
  this->Call(*peer,
             kIssueIdsMethod,
             EncodeIdQuestion({ "", aService, aCount, std::chrono::milliseconds(0) }),
             aDeadline,
             std::move(aPost),
             [handler = std::move(aHandler)](const auto& aReply) {
               if (const Error* error = std::get_if<Error>(&aReply)) {
                 handler(*error);
                 return;
               }
               Recover(
                 [&]() -> Result<void> {
                   BOOST_LEAF_AUTO(ids, DecodeIds(std::get<std::string>(aReply)));
                   handler(std::move(ids));
                   return {};
                 },
                 [&handler](const Error& aError) { handler(aError); });
             });
}

} // namespace yp
