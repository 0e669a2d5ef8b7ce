#include "configservice/configservicestandin.h"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kMaxTicketBytes = 1024 * 1024;
constexpr std::size_t kMaxReadBytes = 1024 * 1024;
constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr std::chrono::seconds kRateWindow{ 1 };

HttpResponse
HeadResponse(TicketNumber aHead)
{
  return JsonResponse(200, Json{ { "head", aHead } });
}

HttpResponse
StatusResponse(unsigned aStatus, const char* aDetail)
{
  return JsonResponse(aStatus, Json{ { "error", aDetail } });
}

} // namespace

ConfigServiceStandin::ConfigServiceStandin(boost::asio::io_context& aContext, std::uint64_t aCallsPerSecond)
  : timers(aContext)
  , callsPerSecond(aCallsPerSecond)
{
}

TicketNumber
ConfigServiceStandin::Publish(std::string aBody)
{
  this->bodies.push_back(std::move(aBody));
  ++this->counts.publishes;
  LogEvent(LogLevel::kInfo,
           "published",
           { { "ticket", this->bodies.size() }, { "bytes", this->bodies.back().size() } });
  this->WakeWaiters();
  return this->bodies.size();
}

Result<void>
ConfigServiceStandin::LoadDirectory(const std::string& aPath)
{
  std::error_code error;
  std::vector<std::filesystem::path> paths;
  for (std::filesystem::directory_iterator entry(aPath, error), end; !error && entry != end;
       entry.increment(error)) {
    if (entry->is_regular_file()) {
      paths.push_back(entry->path());
    }
  }
  if (error) {
    return Fail(ErrorCode::kBadInput, "tickets.load", "", aPath + ": " + error.message());
  }
  std::sort(paths.begin(), paths.end());
  for (const std::filesystem::path& path : paths) {
    std::ifstream input(path, std::ios::binary);
    std::string body((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
    if (!input || body.size() > kMaxTicketBytes) {
      return Fail(ErrorCode::kBadInput, "tickets.load", "", path.string() + ": unreadable or over 1 MB");
    }
    this->Publish(std::move(body));
  }
  return {};
}

void
ConfigServiceStandin::Handle(HttpRequest aRequest, HttpRespond aRespond)
{
  const Result<HttpTarget> target = ParseTarget(aRequest.target);
  if (!target) {
    aRespond(BadRequest("malformed query"));
    return;
  }
  const std::string route = aRequest.method + " " + target->path;
  if (route == "GET /v1/tickets/head") {
    ++this->counts.watches;
    this->Watch(aRequest, *target, std::move(aRespond));
  } else if (route == "GET /v1/tickets") {
    ++this->counts.reads;
    if (this->Admit(aRespond)) {
      aRespond(this->Read(*target));
      this->CountReadUntilDown();
    }
  } else if (route == "POST /admin/publish") {
    aRespond(JsonResponse(200, Json{ { "number", this->Publish(std::move(aRequest.body)) } }));
  } else if (route == "POST /admin/mode") {
    aRespond(this->ChangeMode(aRequest.body));
  } else if (route == "GET /admin/stats") {
    aRespond(this->Stats());
  } else {
    aRespond(StatusResponse(404, "no such resource"));
  }
}

void
ConfigServiceStandin::EndWatches()
{
  while (!this->waiters.empty()) {
    this->AnswerWaiter(this->waiters.begin()->first, StatusResponse(503, "stopping"));
  }
}

TicketNumber
ConfigServiceStandin::VisibleHead() const
{
  return this->mode == StandinMode::kStale ? this->staleHead : this->bodies.size();
}

bool
ConfigServiceStandin::Admit(const HttpRespond& aRespond)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now - this->window >= kRateWindow) {
    this->window = now;
    this->callsInWindow = 0;
  }
  if (++this->callsInWindow > this->callsPerSecond) {
    ++this->counts.limited;
    aRespond(StatusResponse(429, "too many calls"));
    return false;
  }
  if (this->mode == StandinMode::kDown) {
    ++this->counts.unavailable;
    aRespond(StatusResponse(503, "down"));
    return false;
  }
  return true;
}

void
ConfigServiceStandin::Watch(const HttpRequest& aRequest, const HttpTarget& aTarget, HttpRespond aRespond)
{
  if (!this->Admit(aRespond)) {
    return;
  }
  const std::optional<std::uint64_t> after = NumberParameter(aTarget, "after", 0);
  const std::optional<std::uint64_t> wait = NumberParameter(aTarget, "wait_ms", 0);
  if (!after || !wait || *wait > kMaxWaitMs) {
    aRespond(BadRequest("after and wait_ms must be whole numbers, wait_ms at most 60000"));
    return;
  }
  if (this->VisibleHead() > *after || *wait == 0) {
    aRespond(HeadResponse(this->VisibleHead()));
    return;
  }
  const std::uint64_t id = ++this->lastWaiter;
  const TimePoint limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait);
  const TimerId timer =
    this->timers.At(limit, [this, id] { this->AnswerWaiter(id, HeadResponse(this->VisibleHead())); });
  this->waiters[id] = Waiter{ *after, std::move(aRespond), timer };
  aRequest.exchange->OnClientGone([this, id] { this->AnswerWaiter(id, HeadResponse(this->VisibleHead())); });
}

HttpResponse
ConfigServiceStandin::Read(const HttpTarget& aTarget) const
{
  const std::optional<std::uint64_t> first = NumberParameter(aTarget, "from");
  const std::optional<std::uint64_t> last = NumberParameter(aTarget, "to");
  if (!first || !last || *last < *first) {
    return BadRequest("from and to must be whole numbers, to not below from");
  }
  if (*first == 0 || *first > this->VisibleHead()) {
    return StatusResponse(404, "no such ticket");
  }
  Json rows = Json::array();
  std::size_t bytes = 0;
  for (TicketNumber number = *first; number <= std::min(*last, this->VisibleHead()); ++number) {
    const std::string& body = this->bodies[number - 1];
    bytes += body.size();
    if (!rows.empty() && bytes > kMaxReadBytes) {
      break;
    }
    rows.push_back(Json{ { "number", number }, { "body", body } });
  }
  return JsonResponse(200, Json{ { "tickets", std::move(rows) } });
}

HttpResponse
ConfigServiceStandin::ChangeMode(const std::string& aBody)
{
  const Result<Json> parsed = ParseJson(aBody);
  if (!parsed || !parsed->is_object() || !parsed->contains("mode") || !parsed->at("mode").is_string()) {
    return BadRequest("expected {\"mode\": \"up\" | \"down\" | \"stale\"}");
  }
  const std::optional<StandinMode> next = ParseStandinMode(parsed->at("mode").get<std::string>());
  const Json head = parsed->value("head", Json(this->VisibleHead()));
  if (!next || !head.is_number_unsigned() || head.get<TicketNumber>() > this->bodies.size()) {
    return BadRequest("unknown mode, or a head above the published one");
  }
  const Json reads = parsed->value("reads_until_down", Json());
  if (!reads.is_null() && (!reads.is_number_unsigned() || reads.get<std::uint64_t>() == 0)) {
    return BadRequest("reads_until_down must be a whole number from 1");
  }
  this->staleHead = head.get<TicketNumber>();
  this->readsUntilDown.reset();
  if (!reads.is_null()) {
    this->readsUntilDown = reads.get<std::uint64_t>();
  }
  this->EnterMode(*next);
  return this->Stats();
}

void
ConfigServiceStandin::CountReadUntilDown()
{
  if (this->readsUntilDown && --*this->readsUntilDown == 0) {
    this->readsUntilDown.reset();
    this->EnterMode(StandinMode::kDown);
  }
}

void
ConfigServiceStandin::EnterMode(StandinMode aMode)
{
  this->mode = aMode;
  LogEvent(LogLevel::kInfo, "mode", { { "mode", ToString(this->mode) }, { "head", this->VisibleHead() } });
  if (this->mode == StandinMode::kDown) {
    this->EndWatches();
  }
  this->WakeWaiters();
}

HttpResponse
ConfigServiceStandin::Stats() const
{
  return JsonResponse(200,
                      Json{ { "head", this->bodies.size() },
                            { "visible_head", this->VisibleHead() },
                            { "mode", ToString(this->mode) },
                            { "waiting", this->waiters.size() },
                            { "calls",
                              { { "watch", this->counts.watches },
                                { "read", this->counts.reads },
                                { "limited", this->counts.limited },
                                { "unavailable", this->counts.unavailable },
                                { "publish", this->counts.publishes } } } });
}

void
ConfigServiceStandin::AnswerWaiter(std::uint64_t aWaiter, HttpResponse aResponse)
{
  const auto found = this->waiters.find(aWaiter);
  if (found == this->waiters.end()) {
    return;
  }
  const Waiter waiter = std::move(found->second);
  this->waiters.erase(found);
  this->timers.Cancel(waiter.timer);
  waiter.respond(std::move(aResponse));
}

void
ConfigServiceStandin::WakeWaiters()
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, waiter] : this->waiters) {
    if (this->VisibleHead() > waiter.after) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    this->AnswerWaiter(id, HeadResponse(this->VisibleHead()));
  }
}

} // namespace yp
