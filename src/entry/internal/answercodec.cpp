#include "entry/internal/answercodec.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr CodecLimits kLimits{ 4 * 1024 * 1024, 8 };
constexpr int kLastReason = static_cast<int>(RequestReason::kVersionChanged);
constexpr std::uint64_t kMaxRemainingMs = 600000;

std::uint64_t
RemainingMs(TimePoint aDeadline, TimePoint aNow)
{
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline - aNow);
  return remaining.count() < 0 ? 0 : static_cast<std::uint64_t>(remaining.count());
}

TimePoint
DeadlineOf(const Json& aValue, TimePoint aNow)
{
  const std::uint64_t remaining = std::min(aValue.at("ms").get<std::uint64_t>(), kMaxRemainingMs);
  return aNow + std::chrono::milliseconds(remaining);
}

/// Parses a CBOR map and reads its fields; missing fields and wrong types become errors.
template<class T, class F>
Result<T>
DecodeMap(std::string_view aBytes, const char* aStep, F&& aRead)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  try {
    return aRead(value);
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kBadInput, aStep, "", error.what());
  }
}

Json
HitsToJson(const std::vector<Hit>& aHits)
{
  Json hits = Json::array();
  for (const Hit& hit : aHits) {
    Json fields = Json::parse(hit.fields, nullptr, false);
    hits.push_back({ { "document", hit.document },
                     { "score", hit.score },
                     { "fields", fields.is_discarded() ? Json(nullptr) : std::move(fields) } });
  }
  return hits;
}

} // namespace

Json
AnswerToJson(const RequestAnswer& aAnswer)
{
  Json reply = { { "outcome", ToString(aAnswer.outcome) } };
  if (aAnswer.outcome != RequestOutcome::kAnswered) {
    reply["reason"] = ToString(aAnswer.reason);
    reply["detail"] = aAnswer.detail;
    return reply;
  }
  reply["snapshot"] = { { "service", aAnswer.snapshot.service },
                        { "layout", aAnswer.snapshot.layout },
                        { "index_version", aAnswer.snapshot.indexVersion },
                        { "ticket", aAnswer.snapshot.ticket } };
  if (!aAnswer.result.empty()) {
    reply["result"] = Json::parse(aAnswer.result, nullptr, false);
    return reply;
  }
  reply["coverage"] = { { "covered", aAnswer.coverage.covered },
                        { "total", aAnswer.coverage.total },
                        { "fraction", aAnswer.coverage.Fraction() },
                        { "complete", aAnswer.coverage.Complete() } };
  reply["hits"] = HitsToJson(aAnswer.hits);
  return reply;
}

unsigned
AnswerStatus(const RequestAnswer& aAnswer)
{
  switch (aAnswer.outcome) {
    case RequestOutcome::kAnswered:
      return 200;
    case RequestOutcome::kUnknown:
      return 504;
    case RequestOutcome::kNotRun:
      break;
  }
  if (aAnswer.reason == RequestReason::kBadRequest) {
    return 400;
  }
  const bool notFound =
    aAnswer.reason == RequestReason::kUnknownCaller || aAnswer.reason == RequestReason::kUnknownService;
  return notFound ? 404 : 503;
}

std::string
EncodeLookup(const LookupRequest& aRequest, TimePoint aNow)
{
  return EncodeCbor({ { "ms", RemainingMs(aRequest.deadline, aNow) },
                      { "c", aRequest.caller },
                      { "s", aRequest.service },
                      { "q", aRequest.query },
                      { "l", aRequest.limit } });
}

Result<LookupRequest>
DecodeLookup(std::string_view aBytes, TimePoint aNow)
{
  return DecodeMap<LookupRequest>(aBytes, "entry.decode_lookup", [aNow](const Json& aValue) {
    LookupRequest request;
    request.deadline = DeadlineOf(aValue, aNow);
    request.caller = aValue.at("c").get<std::string>();
    request.service = aValue.at("s").get<std::string>();
    request.query = aValue.at("q").get<std::string>();
    request.limit = aValue.at("l").get<std::uint32_t>();
    return request;
  });
}

std::string
EncodeExecute(const ExecuteRequest& aRequest, TimePoint aNow)
{
  return EncodeCbor({ { "ms", RemainingMs(aRequest.deadline, aNow) },
                      { "i", aRequest.requestId },
                      { "c", aRequest.caller },
                      { "s", aRequest.service },
                      { "k", aRequest.key },
                      { "b", aRequest.body } });
}

Result<ExecuteRequest>
DecodeExecute(std::string_view aBytes, TimePoint aNow)
{
  return DecodeMap<ExecuteRequest>(aBytes, "entry.decode_execute", [aNow](const Json& aValue) {
    ExecuteRequest request;
    request.deadline = DeadlineOf(aValue, aNow);
    request.requestId = aValue.at("i").get<std::string>();
    request.caller = aValue.at("c").get<std::string>();
    request.service = aValue.at("s").get<std::string>();
    request.key = aValue.at("k").get<std::string>();
    request.body = aValue.at("b").get<std::string>();
    return request;
  });
}

std::string
EncodeAnswer(const RequestAnswer& aAnswer)
{
  Json hits = Json::array();
  for (const Hit& hit : aAnswer.hits) {
    hits.push_back({ hit.document, hit.score, hit.fields });
  }
  return EncodeCbor({ { "o", static_cast<int>(aAnswer.outcome) },
                      { "r", static_cast<int>(aAnswer.reason) },
                      { "d", aAnswer.detail },
                      { "cc", aAnswer.coverage.covered },
                      { "ct", aAnswer.coverage.total },
                      { "s", aAnswer.snapshot.service },
                      { "l", aAnswer.snapshot.layout },
                      { "v", aAnswer.snapshot.indexVersion },
                      { "t", aAnswer.snapshot.ticket },
                      { "h", hits },
                      { "x", aAnswer.result } });
}

Result<RequestAnswer>
DecodeAnswer(std::string_view aBytes)
{
  return DecodeMap<RequestAnswer>(
    aBytes, "entry.decode_answer", [](const Json& aValue) -> Result<RequestAnswer> {
      const int outcome = aValue.at("o").get<int>();
      const int reason = aValue.at("r").get<int>();
      if (outcome < 0 || outcome > static_cast<int>(RequestOutcome::kUnknown) || reason < 0 ||
          reason > kLastReason) {
        return Fail(ErrorCode::kBadInput, "entry.decode_answer", "", "outcome or reason out of range");
      }
      RequestAnswer answer = MakeAnswer(static_cast<RequestOutcome>(outcome),
                                        static_cast<RequestReason>(reason),
                                        aValue.at("d").get<std::string>());
      answer.coverage.covered = aValue.at("cc").get<std::uint64_t>();
      answer.coverage.total = aValue.at("ct").get<std::uint64_t>();
      answer.snapshot.service = aValue.at("s").get<std::string>();
      answer.snapshot.layout = aValue.at("l").get<LayoutId>();
      answer.snapshot.indexVersion = aValue.at("v").get<IndexVersion>();
      answer.snapshot.ticket = aValue.at("t").get<TicketNumber>();
      for (const Json& hit : aValue.at("h")) {
        answer.hits.push_back(
          { hit.at(0).get<std::string>(), hit.at(1).get<double>(), hit.at(2).get<std::string>() });
      }
      answer.result = aValue.at("x").get<std::string>();
      return answer;
    });
}

std::string
EncodeIdQuestion(const IdQuestion& aQuestion)
{
  return EncodeCbor({ { "i", aQuestion.id },
                      { "s", aQuestion.service },
                      { "n", aQuestion.count },
                      { "ms", aQuestion.remaining.count() } });
}

Result<IdQuestion>
DecodeIdQuestion(std::string_view aBytes)
{
  return DecodeMap<IdQuestion>(aBytes, "entry.decode_id_question", [](const Json& aValue) {
    IdQuestion question;
    question.id = aValue.at("i").get<std::string>();
    question.service = aValue.at("s").get<std::string>();
    question.count = aValue.at("n").get<std::uint32_t>();
    question.remaining =
      std::chrono::milliseconds(std::min(aValue.at("ms").get<std::uint64_t>(), kMaxRemainingMs));
    return question;
  });
}

std::string
EncodeIds(const std::vector<std::string>& aIds)
{
  return EncodeCbor({ { "ids", aIds } });
}

Result<std::vector<std::string>>
DecodeIds(std::string_view aBytes)
{
  using Ids = std::vector<std::string>;
  return DecodeMap<Ids>(aBytes, "entry.decode_ids", [](const Json& aValue) -> Result<Ids> {
    Ids ids = aValue.at("ids").get<Ids>();
    if (ids.empty()) {
      return Fail(ErrorCode::kUnavailable, "entry.issue_ids", "", "the holder issues no ids now");
    }
    return ids;
  });
}

} // namespace yp
