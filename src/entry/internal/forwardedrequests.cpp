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

} // namespace

void
ServeForwarded(IPeerCalls& aCalls,
               const IClock& aClock,
               EntryStats& aStats,
               PostToControl aPostToControl,
               Pick aPick)
{
  const auto origin = IRequestService::Origin::kPeer;
  aCalls.Serve(
    kLookupMethod, [=, &aClock, &aStats](const std::string& aPayload, IPeerCalls::Respond aRespond) {
      Recover(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(request, DecodeLookup(aPayload, aClock.Now()));
          ++aStats.servedForOthers;
          const auto [service, post] = aPick();
          post([service = service, request, origin, answer = RespondWith(aPostToControl, aRespond)] {
            service->Lookup(request, origin, answer);
          });
          return {};
        },
        [&](const Error& aError) { RespondBadRequest(aRespond, aError); });
    });
  aCalls.Serve(
    kExecuteMethod, [=, &aClock, &aStats](const std::string& aPayload, IPeerCalls::Respond aRespond) {
      Recover(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(request, DecodeExecute(aPayload, aClock.Now()));
          ++aStats.servedForOthers;
          const auto [service, post] = aPick();
          post([service = service, request, origin, answer = RespondWith(aPostToControl, aRespond)] {
            service->Execute(request, origin, answer);
          });
          return {};
        },
        [&](const Error& aError) { RespondBadRequest(aRespond, aError); });
    });
  aCalls.Serve(kOutcomeMethod, [=, &aClock](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    Recover(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(question, DecodeIdQuestion(aPayload));
        const TimePoint deadline = aClock.Now() + question.remaining;
        const auto [service, post] = aPick();
        post([service = service, question, deadline, origin, answer = RespondWith(aPostToControl, aRespond)] {
          service->FindOutcome(question.id, deadline, origin, answer);
        });
        return {};
      },
      [&](const Error& aError) { RespondBadRequest(aRespond, aError); });
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
