#include "answerchecker.h"
#include "load/load.h"
#include "loadplan.h"
#include "loadresult.h"
#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::chrono::milliseconds kAddressTimeout{ 2000 };
constexpr std::chrono::milliseconds kAddressRetry{ 200 };
/// Time beyond the deadline in which a daemon's own verdict on the deadline may still arrive.
constexpr std::chrono::milliseconds kReplyGrace{ 200 };

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// The address answer of one simulated caller.
struct CallerState
{
  std::vector<Endpoint> addresses;
  TimePoint validUntil;
  std::size_t nextAsk = 0;
  bool asking = false;
};

struct Attempt
{
  PlannedRequest plan;
  TimePoint intended;
  std::string requestId; ///< kept over all attempts of a non-idempotent request
  std::uint32_t number = 0;
  std::vector<std::string> replyOutcomes; ///< outcomes of all replies, in order
  std::string detail;                     ///< of the last reply
  Endpoint target;                        ///< of the last attempt
};

using AttemptPtr = std::shared_ptr<Attempt>;

Json
ParseReply(const std::string& aBody)
{
  Result<Json> parsed = ParseJson(aBody, CodecLimits{ 8 * 1024 * 1024 });
  return parsed && parsed->is_object() ? std::move(*parsed) : Json::object();
}

std::string
TextMember(const Json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string() ? found->get<std::string>() : std::string();
}

class LoadRunner final : public ILoadRunner
{
public:
  LoadRunner(boost::asio::io_context& aContext, const LoadSettings& aSettings)
    : settings(aSettings)
    , timers(aContext)
    , client(MakeHttpClient(aContext, ClientLimits(aSettings)))
    , plan(this->settings)
    , callers(aSettings.callers)
  {
    if (!aSettings.requestLog.empty()) {
      this->requestLog.open(aSettings.requestLog);
    }
  }

  void Start(std::function<void(Json)> aOnDone) override
  {
    this->onDone = std::move(aOnDone);
    this->next = this->plan.Next();
    this->firstAnswersDue = this->callers.size();
    for (std::size_t index = 0; index < this->callers.size(); ++index) {
      this->callers[index].nextAsk = index;
      this->AskAddresses(index);
    }
  }

  void StopArrivals() override
  {
    this->stopping = true;
    this->timers.Cancel(this->arrivalTimer);
    this->FinishIfIdle();
  }

private:
  static HttpClientSettings ClientLimits(const LoadSettings& aSettings)
  {
    HttpClientSettings limits;
    limits.maxIdlePerEndpoint = aSettings.maxInFlight;
    limits.connectTimeout = std::min<std::chrono::milliseconds>(aSettings.deadline, limits.connectTimeout);
    return limits;
  }

  void ScheduleArrival()
  {
    if (this->stopping || this->next.offset > this->settings.duration) {
      this->StopArrivals();
      return;
    }
    this->arrivalTimer = this->timers.At(this->begin + this->next.offset, [this] { this->OnArrivals(); });
  }

  /// Sends all that is due, however late this call is: arrivals do not wait for replies.
  void OnArrivals()
  {
    const TimePoint now = Now();
    while (this->begin + this->next.offset <= now && this->next.offset <= this->settings.duration) {
      const auto attempt = std::make_shared<Attempt>();
      attempt->intended = this->begin + this->next.offset;
      attempt->plan = std::move(this->next);
      this->next = this->plan.Next();
      ++this->result.offered;
      ++this->inFlight;
      if (this->inFlight > this->settings.maxInFlight) {
        this->End(*attempt, "generator_full", "");
      } else {
        this->Send(attempt);
      }
    }
    this->ScheduleArrival();
  }

  void AskAddresses(std::size_t aCaller)
  {
    CallerState& caller = this->callers[aCaller];
    caller.asking = true;
    HttpRequest request;
    request.target = "/v1/addresses?caller=" + this->settings.caller;
    const Endpoint& target = this->settings.ask[caller.nextAsk++ % this->settings.ask.size()];
    this->client->Send(target,
                       std::move(request),
                       Now() + kAddressTimeout,
                       [this, aCaller](IHttpClient::Reply aReply) { this->OnAddresses(aCaller, aReply); });
  }

  void OnAddresses(std::size_t aCaller, const IHttpClient::Reply& aReply)
  {
    CallerState& caller = this->callers[aCaller];
    caller.asking = false;
    this->TakeAddresses(caller, aReply);
    // Arrivals begin when every caller has its first answer or has failed to get one.
    if (this->firstAnswersDue != 0 && --this->firstAnswersDue == 0) {
      this->begin = Now();
      this->ScheduleArrival();
    }
  }

  void TakeAddresses(CallerState& aCaller, const IHttpClient::Reply& aReply)
  {
    const HttpResponse* response = std::get_if<HttpResponse>(&aReply);
    const Json answer =
      response != nullptr && response->status == 200 ? ParseReply(response->body) : Json::object();
    const Json rows = answer.value("addresses", Json::array());
    const Json ttl = answer.value("ttl_ms", Json());
    std::vector<Endpoint> addresses;
    for (const Json& row : rows) {
      const Json port = row.is_object() ? row.value("port", Json()) : Json();
      if (port.is_number_unsigned() && port.get<std::uint64_t>() <= 65535) {
        addresses.push_back(Endpoint{ TextMember(row, "address"), port.get<std::uint16_t>() });
      }
    }
    if (addresses.empty() || !ttl.is_number_unsigned()) {
      ++this->result.addressFailures;
      // The old answer is better than none until another node answers.
      aCaller.validUntil = Now() + kAddressRetry;
      return;
    }
    ++this->result.addressAnswers;
    aCaller.addresses = std::move(addresses);
    aCaller.validUntil = Now() + std::chrono::milliseconds(ttl.get<std::uint32_t>());
  }

  void Send(const AttemptPtr& aAttempt)
  {
    CallerState& caller = this->callers[aAttempt->plan.caller];
    if (!caller.asking && Now() >= caller.validUntil) {
      this->AskAddresses(aAttempt->plan.caller);
    }
    if (caller.addresses.empty()) {
      this->End(*aAttempt, "no_address", "");
      return;
    }
    const Endpoint target = caller.addresses[aAttempt->number % caller.addresses.size()];
    if (aAttempt->plan.execute && aAttempt->requestId.empty()) {
      const Json body{ { "caller", this->settings.caller },
                       { "service", this->settings.service },
                       { "count", 1 } };
      this->Post(aAttempt, target, "/v1/request-ids", body.dump(), &LoadRunner::OnRequestId);
      return;
    }
    if (!aAttempt->plan.execute) {
      this->Post(aAttempt, target, "/v1/query", aAttempt->plan.body, &LoadRunner::OnReply);
      return;
    }
    Json body = Json::parse(aAttempt->plan.body);
    body["request_id"] = aAttempt->requestId;
    // The backend stand-ins log this member of the body with each execution.
    body["body"]["request_id"] = aAttempt->requestId;
    this->Post(aAttempt, target, "/v1/requests", body.dump(), &LoadRunner::OnReply);
  }

  void Post(const AttemptPtr& aAttempt,
            const Endpoint& aTarget,
            const char* aPath,
            std::string aBody,
            void (LoadRunner::*aHandler)(const AttemptPtr&, const HttpResponse&))
  {
    const TimePoint deadline = aAttempt->intended + this->settings.deadline;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now());
    if (left.count() <= 0) {
      this->End(*aAttempt, "no_reply", "deadline");
      return;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = aPath;
    request.headers = { { "Content-Type", "application/json" },
                        { "Yp-Deadline-Ms", std::to_string(left.count()) } };
    request.body = std::move(aBody);
    aAttempt->target = aTarget;
    TimePoint limit = deadline + kReplyGrace;
    if (this->settings.attemptTimeout.count() > 0) {
      limit = std::min<TimePoint>(limit, Now() + this->settings.attemptTimeout);
    }
    this->client->Send(
      aTarget, std::move(request), limit, [this, aAttempt, aHandler](IHttpClient::Reply aReply) {
        if (const Error* error = std::get_if<Error>(&aReply)) {
          this->OnFailure(aAttempt, *error);
          return;
        }
        (this->*aHandler)(aAttempt, std::get<HttpResponse>(aReply));
      });
  }

  /// Another address is tried after a connection failure. That is safe for lookups, and for non-idempotent
  /// requests because they are sent again under the same id.
  void OnFailure(const AttemptPtr& aAttempt, const Error& aError)
  {
    if (aError.code == ErrorCode::kConnection && aError.step == "http.response") {
      ++this->result.cutOff;
    }
    const bool impatient = this->settings.attemptTimeout.count() > 0 && aError.code == ErrorCode::kTimeout;
    const bool retry = aError.code == ErrorCode::kUnavailable || aError.code == ErrorCode::kConnection ||
                       aError.step == "http.connect" || impatient;
    if (!retry || ++aAttempt->number >= this->settings.maxAttempts) {
      this->End(*aAttempt, "no_reply", std::string(ToString(aError.code)) + ":" + aError.step);
      return;
    }
    ++this->result.resent;
    this->Send(aAttempt);
  }

  void OnRequestId(const AttemptPtr& aAttempt, const HttpResponse& aResponse)
  {
    const Json reply = ParseReply(aResponse.body);
    const Json ids = reply.value("ids", Json());
    if (!ids.is_array() || ids.empty() || !ids[0].is_string()) {
      this->OnReply(aAttempt, aResponse);
      return;
    }
    aAttempt->requestId = ids[0].get<std::string>();
    this->Send(aAttempt);
  }

  void OnReply(const AttemptPtr& aAttempt, const HttpResponse& aResponse)
  {
    const Json reply = ParseReply(aResponse.body);
    const std::string outcome = TextMember(reply, "outcome");
    const Json coverage = reply.value("coverage", Json());
    aAttempt->replyOutcomes.push_back(outcome);
    aAttempt->detail = TextMember(reply, "detail");
    const bool again = outcome == "unknown" && this->settings.resendUnknown && !aAttempt->requestId.empty();
    if (again && aAttempt->number + 1 < this->settings.maxAttempts) {
      ++aAttempt->number;
      ++this->result.resent;
      this->Send(aAttempt);
      return;
    }
    if (outcome == "answered" && !aAttempt->plan.execute) {
      this->checker.Check(aAttempt->plan.body, reply);
    }
    if (outcome == "answered" && coverage.is_object() && !aAttempt->plan.execute) {
      const Json fraction = coverage.value("fraction", Json());
      const Json complete = coverage.value("complete", Json());
      this->result.AddCoverage(fraction.is_number() ? fraction.get<double>() : 0,
                               complete.is_boolean() && complete.get<bool>());
    }
    if (outcome.empty()) {
      this->End(*aAttempt, "no_reply", "status_" + std::to_string(aResponse.status));
      return;
    }
    this->End(*aAttempt, outcome, TextMember(reply, "reason"));
  }

  void End(const Attempt& aAttempt, const std::string& aOutcome, const std::string& aReason)
  {
    this->result.Add(aOutcome, aReason, Now() - aAttempt.intended);
    this->LogRequest(aAttempt, aOutcome, aReason);
    --this->inFlight;
    this->FinishIfIdle();
  }

  void LogRequest(const Attempt& aAttempt, const std::string& aOutcome, const std::string& aReason)
  {
    if (!this->requestLog.is_open()) {
      return;
    }
    const auto milliseconds = [](Duration aTime) {
      return std::chrono::duration<double, std::milli>(aTime).count();
    };
    const Json line{ { "kind", aAttempt.plan.execute ? "execute" : "lookup" },
                     { "id", aAttempt.requestId },
                     { "at_ms", milliseconds(aAttempt.plan.offset) },
                     { "latency_ms", milliseconds(Now() - aAttempt.intended) },
                     { "attempts", aAttempt.number + 1 },
                     { "told", aAttempt.replyOutcomes },
                     { "target", ToString(aAttempt.target) },
                     { "outcome", aOutcome },
                     { "reason", aReason },
                     { "detail", aAttempt.detail } };
    this->requestLog << line.dump() << "\n";
  }

  void FinishIfIdle()
  {
    if (!this->stopping || this->inFlight != 0 || !this->onDone) {
      return;
    }
    const std::function<void(Json)> done = std::move(this->onDone);
    this->onDone = nullptr;
    this->requestLog.flush();
    Json report = this->result.ToJson();
    report["answers"] = this->checker.ToJson();
    report["settings"] = Json{ { "caller", this->settings.caller },
                               { "service", this->settings.service },
                               { "rate", this->settings.rate },
                               { "duration_ms", this->settings.duration.count() },
                               { "deadline_ms", this->settings.deadline.count() },
                               { "execute_fraction", this->settings.executeFraction },
                               { "seed", this->settings.seed } };
    report["elapsed_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(Now() - this->begin).count();
    done(std::move(report));
  }

  LoadSettings settings;
  AsioTimers timers;
  std::unique_ptr<IHttpClient> client;
  LoadPlan plan;
  std::vector<CallerState> callers;
  LoadResult result;
  AnswerChecker checker;
  std::ofstream requestLog;
  std::function<void(Json)> onDone;
  TimePoint begin = Now();
  PlannedRequest next;
  TimerId arrivalTimer = 0;
  std::size_t inFlight = 0;
  std::size_t firstAnswersDue = 0;
  bool stopping = false;
};

} // namespace

std::unique_ptr<ILoadRunner>
MakeLoadRunner(boost::asio::io_context& aContext, const LoadSettings& aSettings)
{
  return std::make_unique<LoadRunner>(aContext, aSettings);
}

} // namespace yp
