#include "entry/entry.h"
#include "entry/internal/answercodec.h"
#include "entry/internal/forwarder.h"

namespace yp {

namespace {

using Pick = std::function<std::pair<IRequestService*, IForwarder::Post>()>;

/// \return a handler that encodes an answer and responds on the control thread
IRequestService::AnswerHandler
RespondWith(const PostToControl& aPostToControl, const IPeerCalls::Respond& aRespond)
{
  return [aPostToControl, aRespond](const RequestAnswer& aAnswer) {
    aPostToControl([aRespond, bytes = EncodeAnswer(aAnswer)] { aRespond(bytes); });
  };
}

void
RespondBadRequest(const IPeerCalls::Respond& aRespond, const Error& aError)
{
  aRespond(EncodeAnswer(MakeAnswer(RequestOutcome::kNotRun, RequestReason::kBadRequest, aError.detail)));
}

/// Serves a method whose reply is an answer.
/// \param aDecode reads the request, or fails for malformed bytes
/// \param aRun starts the request at a service and gives its answer to a handler
template<class Decode, class Run>
void
ServeAnswered(IPeerCalls& aCalls,
              const char* aMethod,
              const PostToControl& aPostToControl,
              const Pick& aPick,
              Decode aDecode,
              Run aRun)
{
  aCalls.Serve(aMethod, [=](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    Recover(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(request, aDecode(aPayload));
        const auto [service, post] = aPick();
        post([service = service, request, aRun, answer = RespondWith(aPostToControl, aRespond)] {
          aRun(*service, request, answer);
        });
        return {};
      },
      [&](const Error& aError) { RespondBadRequest(aRespond, aError); });
  });
}

} // namespace

void
ServeForwarded(IPeerCalls& aCalls,
               const IClock& aClock,
               EntryStats& aStats,
               PostToControl aPostToControl,
               Pick aPick)
{
  using Answer = IRequestService::AnswerHandler;
  const auto origin = IRequestService::Origin::kPeer;
  ServeAnswered(
    aCalls,
    kLookupMethod,
    aPostToControl,
    aPick,
    [&aClock](const std::string& aPayload) { return DecodeLookup(aPayload, aClock.Now()); },
    [origin, &aStats](IRequestService& aService, const LookupRequest& aRequest, const Answer& aAnswer) {
      ++aStats.servedForOthers;
      aService.Lookup(aRequest, origin, aAnswer);
    });
  ServeAnswered(
    aCalls,
    kExecuteMethod,
    aPostToControl,
    aPick,
    [&aClock](const std::string& aPayload) { return DecodeExecute(aPayload, aClock.Now()); },
    [origin, &aStats](IRequestService& aService, const ExecuteRequest& aRequest, const Answer& aAnswer) {
      ++aStats.servedForOthers;
      aService.Execute(aRequest, origin, aAnswer);
    });
  ServeAnswered(
    aCalls,
    kOutcomeMethod,
    aPostToControl,
    aPick,
    [&aClock](const std::string& aPayload) -> Result<std::pair<std::string, TimePoint>> {
      BOOST_LEAF_AUTO(question, DecodeIdQuestion(aPayload));
      return std::make_pair(question.id, aClock.Now() + question.remaining);
    },
    [origin](
      IRequestService& aService, const std::pair<std::string, TimePoint>& aQuestion, const Answer& aAnswer) {
      aService.FindOutcome(aQuestion.first, aQuestion.second, origin, aAnswer);
    });
  aCalls.Serve(kIssueIdsMethod, [=, &aClock](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    const IdQuestion question =
      Recover([&] { return DecodeIdQuestion(aPayload); }, [](const Error&) { return IdQuestion{}; });
    const auto [service, post] = aPick();
    post([service = service, question, origin, aPostToControl, aRespond, deadline = aClock.Now()] {
      service->IssueIds(
        question.service, question.count, deadline, origin, [aPostToControl, aRespond](const auto& aIds) {
          const auto* ids = std::get_if<std::vector<std::string>>(&aIds);
          aPostToControl([aRespond, bytes = EncodeIds(ids != nullptr ? *ids : std::vector<std::string>())] {
            aRespond(bytes);
          });
        });
    });
  });
}

} // namespace yp
