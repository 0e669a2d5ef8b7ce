#include "entry/internal/callerapi.h"
#include "entry/internal/answercodec.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kStep = "entry.request";
constexpr const char* kDeadlineHeader = "Yp-Deadline-Ms";
constexpr const char* kRequestsPath = "/v1/requests/";
constexpr CodecLimits kBodyLimits{ 256 * 1024, 16 };
constexpr std::int64_t kMaxDeadlineMs = 600000;
constexpr std::uint32_t kMaxLimit = 1000;
constexpr std::uint32_t kMaxIds = 1000;
constexpr std::size_t kMaxTextBytes = 4096;
constexpr std::uint32_t kDefaultLimit = 10;

leaf::error_id
Bad(const std::string& aDetail)
{
  return Fail(ErrorCode::kBadInput, kStep, "", aDetail);
}

Result<std::string>
TextField(const Json& aBody, const char* aKey)
{
  const auto field = aBody.find(aKey);
  const bool valid = field != aBody.end() && field->is_string() &&
                     !field->get_ref<const std::string&>().empty() &&
                     field->get_ref<const std::string&>().size() <= kMaxTextBytes;
  if (!valid) {
    return Bad(std::string("field ") + aKey + " has to be a text of 1 to 4096 bytes");
  }
  return field->get<std::string>();
}

Result<std::uint32_t>
CountField(const Json& aBody, const char* aKey, std::uint32_t aDefault, std::uint32_t aMax)
{
  const auto field = aBody.find(aKey);
  if (field == aBody.end()) {
    return aDefault;
  }
  if (!field->is_number_unsigned() || field->get<std::uint64_t>() < 1 || field->get<std::uint64_t>() > aMax) {
    return Bad(std::string("field ") + aKey + " has to be a whole number, 1 to " + std::to_string(aMax));
  }
  return field->get<std::uint32_t>();
}

Result<Json>
ObjectBody(const HttpRequest& aRequest)
{
  BOOST_LEAF_AUTO(body, ParseJson(aRequest.body, kBodyLimits));
  if (!body.is_object()) {
    return Bad("the body has to be a JSON object");
  }
  return body;
}

/// Fails for fields that no request of this kind has, so that a mistyped field is noticed.
Result<void>
OnlyFields(const Json& aBody, const std::vector<std::string>& aKnown)
{
  for (const auto& field : aBody.items()) {
    if (std::find(aKnown.begin(), aKnown.end(), field.key()) == aKnown.end()) {
      return Bad("unknown field " + field.key().substr(0, kMaxTextBytes));
    }
  }
  return {};
}

HttpResponse
ErrorResponse(const Error& aError)
{
  const bool badInput = aError.code == ErrorCode::kBadInput || aError.code == ErrorCode::kNotFound;
  RequestReason reason = badInput ? RequestReason::kBadRequest : RequestReason::kNotReady;
  if (aError.code == ErrorCode::kOverloaded) {
    reason = RequestReason::kOverload;
  }
  const RequestAnswer answer = MakeAnswer(RequestOutcome::kNotRun, reason, aError.detail);
  const unsigned status = aError.code == ErrorCode::kNotFound ? 404 : AnswerStatus(answer);
  return JsonResponse(status, AnswerToJson(answer));
}

Json
AddressesToJson(const AddressAnswer& aAnswer)
{
  Json addresses = Json::array();
  for (const CallerAddress& address : aAnswer.addresses) {
    addresses.push_back({ { "host", address.host },
                          { "address", address.endpoint.address },
                          { "port", address.endpoint.port },
                          { "failure_domain", address.failureDomain },
                          { "weight", address.weight } });
  }
  return { { "outcome", "answered" },
           { "ttl_ms", aAnswer.ttl.count() },
           { "ticket", aAnswer.ticket },
           { "addresses", addresses } };
}

} // namespace

std::unique_ptr<ICallerApi>
MakeCallerApi(const CallerApiParts& aParts)
{
  return std::make_unique<CallerApi>(aParts);
}

CallerApi::CallerApi(const CallerApiParts& aParts)
  : parts(aParts)
{
}

void
CallerApi::Handle(HttpRequest aRequest, HttpRespond aRespond)
{
  Recover([&] { return this->Route(aRequest, aRespond); },
          [&](const Error& aError) {
            ++this->parts.stats.badRequests;
            aRespond(ErrorResponse(aError));
          });
}

Result<void>
CallerApi::Route(const HttpRequest& aRequest, const HttpRespond& aRespond)
{
  BOOST_LEAF_AUTO(target, ParseTarget(aRequest.target));
  const std::string& path = target.path;
  if (aRequest.method == "GET" && path == "/v1/addresses") {
    return this->Addresses(target, aRespond);
  }
  if (aRequest.method == "POST" && path == "/v1/query") {
    return this->Query(aRequest, aRespond);
  }
  if (aRequest.method == "POST" && path == "/v1/request-ids") {
    return this->RequestIds(aRequest, aRespond);
  }
  if (aRequest.method == "POST" && path == "/v1/requests") {
    return this->Execute(aRequest, aRespond);
  }
  if (aRequest.method == "GET" && path.rfind(kRequestsPath, 0) == 0) {
    return this->Outcome(aRequest, path.substr(std::string(kRequestsPath).size()), aRespond);
  }
  return Fail(ErrorCode::kNotFound, kStep, "", "no such method and path");
}

Result<void>
CallerApi::Addresses(const HttpTarget& aTarget, const HttpRespond& aRespond)
{
  const auto caller = aTarget.parameters.find("caller");
  if (caller == aTarget.parameters.end()) {
    return Bad("parameter caller is missing");
  }
  BOOST_LEAF_AUTO(answer, this->parts.steering.Answer(caller->second, this->parts.random));
  ++this->parts.stats.addressAnswers;
  aRespond(JsonResponse(200, AddressesToJson(answer)));
  return {};
}

Result<TimePoint>
CallerApi::DeadlineOf(const HttpRequest& aRequest, const std::string& aCaller) const
{
  const TimePoint now = this->parts.clock.Now();
  const std::string* header = FindHeader(aRequest.headers, kDeadlineHeader);
  if (header == nullptr) {
    const Ref<const TicketState> state = this->parts.tickets.Load();
    const Ref<const CallerSpec> caller = state ? state->FindCaller(aCaller) : nullptr;
    return now + (caller ? caller->deadline : CallerSpec().deadline);
  }
  std::int64_t milliseconds = 0;
  const auto parsed = std::from_chars(header->data(), header->data() + header->size(), milliseconds);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == header->data() + header->size() &&
                     milliseconds >= 1 && milliseconds <= kMaxDeadlineMs;
  if (!valid) {
    return Bad("header Yp-Deadline-Ms has to be a whole number, 1 to 600000");
  }
  return now + std::chrono::milliseconds(milliseconds);
}

IRequestService::AnswerHandler
CallerApi::AnswerTo(const HttpRespond& aRespond)
{
  return [this, aRespond](const RequestAnswer& aAnswer) {
    EntryStats& stats = this->parts.stats;
    switch (aAnswer.outcome) {
      case RequestOutcome::kAnswered:
        ++stats.answered;
        break;
      case RequestOutcome::kNotRun:
        ++stats.notRun;
        break;
      case RequestOutcome::kUnknown:
        ++stats.unknown;
        break;
    }
    aRespond(JsonResponse(AnswerStatus(aAnswer), AnswerToJson(aAnswer)));
  };
}

Result<void>
CallerApi::Query(const HttpRequest& aRequest, const HttpRespond& aRespond)
{
  BOOST_LEAF_AUTO(body, ObjectBody(aRequest));
  BOOST_LEAF_CHECK(OnlyFields(body, { "caller", "service", "query", "limit" }));
  LookupRequest request;
  BOOST_LEAF_ASSIGN(request.caller, TextField(body, "caller"));
  BOOST_LEAF_ASSIGN(request.service, TextField(body, "service"));
  BOOST_LEAF_ASSIGN(request.limit, CountField(body, "limit", kDefaultLimit, kMaxLimit));
  BOOST_LEAF_ASSIGN(request.deadline, this->DeadlineOf(aRequest, request.caller));
  if (!body.contains("query") || !body["query"].is_object()) {
    return Bad("field query has to be an object");
  }
  request.query = body["query"].dump();
  ++this->parts.stats.lookups;
  const auto abandon = this->parts.service.Lookup(
    std::move(request), IRequestService::Origin::kCaller, this->AnswerTo(aRespond));
  if (abandon && aRequest.exchange) {
    aRequest.exchange->OnClientGone(abandon);
  }
  return {};
}

Result<void>
CallerApi::RequestIds(const HttpRequest& aRequest, const HttpRespond& aRespond)
{
  BOOST_LEAF_AUTO(body, ObjectBody(aRequest));
  BOOST_LEAF_CHECK(OnlyFields(body, { "caller", "service", "count" }));
  BOOST_LEAF_AUTO(caller, TextField(body, "caller"));
  BOOST_LEAF_AUTO(service, TextField(body, "service"));
  BOOST_LEAF_AUTO(count, CountField(body, "count", 1, kMaxIds));
  BOOST_LEAF_AUTO(deadline, this->DeadlineOf(aRequest, caller));
  const auto reply = [aRespond](std::variant<std::vector<std::string>, Error> aIds) {
    if (const Error* error = std::get_if<Error>(&aIds)) {
      aRespond(ErrorResponse(*error));
      return;
    }
    aRespond(JsonResponse(200, { { "outcome", "answered" }, { "ids", std::get<0>(aIds) } }));
  };
  this->parts.service.IssueIds(service, count, deadline, IRequestService::Origin::kCaller, reply);
  return {};
}

Result<void>
CallerApi::Execute(const HttpRequest& aRequest, const HttpRespond& aRespond)
{
  BOOST_LEAF_AUTO(body, ObjectBody(aRequest));
  BOOST_LEAF_CHECK(OnlyFields(body, { "request_id", "caller", "service", "key", "body" }));
  ExecuteRequest request;
  BOOST_LEAF_ASSIGN(request.requestId, TextField(body, "request_id"));
  BOOST_LEAF_ASSIGN(request.caller, TextField(body, "caller"));
  BOOST_LEAF_ASSIGN(request.service, TextField(body, "service"));
  BOOST_LEAF_ASSIGN(request.key, TextField(body, "key"));
  BOOST_LEAF_ASSIGN(request.deadline, this->DeadlineOf(aRequest, request.caller));
  if (!body.contains("body")) {
    return Bad("field body is missing");
  }
  request.body = body["body"].dump();
  ++this->parts.stats.executes;
  this->parts.service.Execute(std::move(request), IRequestService::Origin::kCaller, this->AnswerTo(aRespond));
  return {};
}

Result<void>
CallerApi::Outcome(const HttpRequest& aRequest, const std::string& aId, const HttpRespond& aRespond)
{
  BOOST_LEAF_AUTO(deadline, this->DeadlineOf(aRequest, ""));
  this->parts.service.FindOutcome(aId, deadline, IRequestService::Origin::kCaller, this->AnswerTo(aRespond));
  return {};
}

} // namespace yp
