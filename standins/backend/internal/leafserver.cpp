#include "backend/internal/leafserver.h"
#include "backend/internal/leafsession.h"
#include <algorithm>
#include <boost/asio/write.hpp>

namespace yp {

namespace {

constexpr std::size_t kMaxHits = 1000;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

Json
ParseBody(const std::string& aBody)
{
  return Json::parse(aBody, nullptr, false);
}

std::string
TextField(const Json& aObject, const char* aName)
{
  const auto found = aObject.is_object() ? aObject.find(aName) : aObject.end();
  return found != aObject.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// \return the terms of a search; none when the body is not a search
std::optional<std::vector<std::string>>
ReadTerms(const Json& aBody)
{
  if (!aBody.is_object() || !aBody.contains("query") || !aBody["query"].is_object()) {
    return std::nullopt;
  }
  std::vector<std::string> terms;
  const Json list = aBody["query"].value("terms", Json::array());
  for (const auto& term : list) {
    if (!term.is_string()) {
      return std::nullopt;
    }
    terms.push_back(term.get<std::string>());
  }
  return terms;
}

std::size_t
ReadLimit(const Json& aBody)
{
  const auto found = aBody.find("limit");
  const bool number = found != aBody.end() && found->is_number_unsigned();
  return number ? std::min<std::size_t>(found->get<std::size_t>(), kMaxHits) : 10;
}

} // namespace

bool
ExecutionLog::Open(const std::string& aPath)
{
  if (aPath.empty()) {
    return true;
  }
  this->file.open(aPath, std::ios::app);
  return this->file.is_open();
}

void
ExecutionLog::Append(const std::string& aRequest, const std::string& aAttempt, const std::string& aKey)
{
  if (!this->file.is_open()) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const Json line = {
    { "request", aRequest }, { "attempt", aAttempt }, { "key", aKey }, { "time_us", micros }
  };
  this->file << line.dump() + "\n" << std::flush;
}

LeafServer::LeafServer(boost::asio::io_context& aContext,
                       const BackendSettings& aServer,
                       const BackendLeafSettings& aLeaf,
                       const BackendBehaviour& aBehaviour,
                       const BackendControl& aControl,
                       ExecutionLog& aLog)
  : context(aContext)
  , server(aServer)
  , leaf(aLeaf)
  , behaviour(aBehaviour)
  , control(aControl)
  , log(aLog)
  , random(Hash64(aLeaf.leaf, aServer.seed))
  , acceptor(aContext)
  , healthTimer(aContext)
  , startedAt(Now())
{
  for (const IndexVersion version : aLeaf.versions) {
    this->AddVersion(version);
  }
}

void
LeafServer::Listen()
{
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(this->leaf.endpoint.address),
                                                this->leaf.endpoint.port);
  this->acceptor.open(endpoint.protocol());
  this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  this->acceptor.bind(endpoint);
  this->acceptor.listen();
  this->Accept();
  this->RefreshHealth();
}

void
LeafServer::StopListening()
{
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->healthTimer.cancel();
}

void
LeafServer::Accept()
{
  this->acceptor.async_accept(
    [this](const boost::system::error_code& aError, boost::asio::ip::tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        this->OnAccepted(std::move(aSocket));
      }
      this->Accept();
    });
}

void
LeafServer::OnAccepted(boost::asio::ip::tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  if (this->control.refuse || this->sessions.size() >= this->leaf.connections) {
    this->Refuse(std::move(aSocket));
    return;
  }
  const auto session = std::make_shared<LeafSession>(*this, std::move(aSocket));
  this->sessions.insert(session);
  this->counters.peakConnections = std::max(this->counters.peakConnections, this->sessions.size());
  session->Start();
}

void
LeafServer::Refuse(boost::asio::ip::tcp::socket aSocket)
{
  static const std::string sRefusal = "HTTP/1.1 503 Service Unavailable\r\nYp-Not-Run: connections\r\n"
                                      "Connection: close\r\nContent-Length: 0\r\n\r\n";
  ++this->counters.refused;
  const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(std::move(aSocket));
  boost::asio::async_write(
    *socket, boost::asio::buffer(sRefusal), [socket](const boost::system::error_code&, std::size_t) {
      boost::system::error_code ignored;
      socket->shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    });
}

void
LeafServer::AddVersion(IndexVersion aVersion)
{
  if (this->indexes.count(aVersion) == 0) {
    this->indexes.emplace(aVersion, std::make_unique<RecordIndex>(this->leaf, this->server.seed, aVersion));
  }
  // The current version and the one before it are kept.
  while (this->indexes.size() > 2) {
    this->indexes.erase(this->indexes.begin());
  }
}

void
LeafServer::DropVersion(IndexVersion aVersion)
{
  if (this->indexes.size() > 1) {
    this->indexes.erase(aVersion);
  }
}

void
LeafServer::CutConnections()
{
  const auto all = this->sessions;
  for (const auto& session : all) {
    session->Close();
  }
}

void
LeafServer::OnSessionClosed(LeafSession& aSession)
{
  this->sessions.erase(aSession.shared_from_this());
}

bool
LeafServer::Cold() const
{
  return Now() < this->startedAt + this->behaviour.coldStart;
}

bool
LeafServer::DrainOver() const
{
  const auto since = this->control.drainingSince;
  return since.has_value() && Now() >= *since + this->behaviour.drainGrace;
}

void
LeafServer::StartDraining()
{
  this->counters.afterDraining = 0;
  this->counters.lastAfterDraining = Duration::zero();
}

void
LeafServer::NoteDraining()
{
  if (this->control.drainingSince) {
    ++this->counters.afterDraining;
    this->counters.lastAfterDraining = Now() - *this->control.drainingSince;
  }
}

void
LeafServer::Submit(const LeafWorkRef& aWork)
{
  ++this->counters.requests;
  this->NoteDraining();
  if (this->DrainOver()) {
    this->Finish(aWork, this->MakeReply(*aWork, "503 Service Unavailable", "draining", ""));
    return;
  }
  if (aWork->wantedVersion && this->indexes.count(*aWork->wantedVersion) == 0) {
    this->Finish(aWork, this->MakeReply(*aWork, "409 Conflict", "version", ""));
    return;
  }
  if (this->running < this->leaf.slots) {
    this->Start(aWork);
    return;
  }
  if (this->waiting.size() < this->behaviour.queue) {
    this->waiting.push_back(aWork);
    return;
  }
  ++this->counters.shed;
  const char* reason = this->Cold() ? "cold" : "shed";
  this->Finish(aWork, this->MakeReply(*aWork, "503 Service Unavailable", reason, ""));
}

Duration
LeafServer::ServiceTime()
{
  const double uniform = this->random.Real();
  const bool straggles = this->random.Real() < this->behaviour.stragglerProbability;
  const bool delayed = this->random.Real() < this->behaviour.delayProbability;
  double time = static_cast<double>(this->behaviour.base.count()) +
                uniform * static_cast<double>(this->behaviour.spread.count());
  time *= this->control.slowFactor * (straggles ? this->behaviour.stragglerFactor : 1.0);
  if (this->Cold()) {
    const auto left = this->startedAt + this->behaviour.coldStart - Now();
    const double share =
      static_cast<double>(left.count()) / static_cast<double>(this->behaviour.coldStart.count());
    time *= 1.0 + (this->behaviour.coldFactor - 1.0) * share;
  }
  return Duration(static_cast<std::int64_t>(time)) + (delayed ? this->behaviour.delay : Duration(0));
}

void
LeafServer::Start(const LeafWorkRef& aWork)
{
  if (Now() >= aWork->deadline) {
    ++this->counters.lateForWork;
    this->Finish(aWork, this->MakeReply(*aWork, "408 Request Timeout", "deadline", ""));
    return;
  }
  if (aWork->execute && !this->LogExecution(*aWork)) {
    this->Finish(aWork, this->MakeReply(*aWork, "400 Bad Request", nullptr, ""));
    return;
  }
  aWork->state = LeafWork::State::kRunning;
  ++this->running;
  const Duration time = this->ServiceTime();
  if (time <= Duration(0)) {
    this->Run(aWork);
    return;
  }
  aWork->timer.expires_after(time);
  aWork->timer.async_wait([this, aWork](const boost::system::error_code& aError) {
    if (!aError && aWork->state == LeafWork::State::kRunning) {
      this->Run(aWork);
    }
  });
}

bool
LeafServer::LogExecution(const LeafWork& aWork)
{
  const Json body = ParseBody(aWork.body);
  if (!body.is_object()) {
    return false;
  }
  // A cancelled execution may have had its effect, so that it is logged when it starts.
  const std::string request = TextField(body.value("body", Json()), "request_id");
  this->log.Append(request, aWork.id, TextField(body, "key"));
  ++this->counters.executions;
  return true;
}

void
LeafServer::Run(const LeafWorkRef& aWork)
{
  --this->running;
  this->Finish(aWork, aWork->execute ? this->ExecuteReply(*aWork) : this->SearchReply(*aWork));
  this->StartNext();
}

void
LeafServer::StartNext()
{
  while (this->running < this->leaf.slots && !this->waiting.empty()) {
    const LeafWorkRef next = this->waiting.front();
    this->waiting.pop_front();
    this->Start(next);
  }
}

void
LeafServer::Finish(const LeafWorkRef& aWork, std::string aReply)
{
  aWork->state = LeafWork::State::kDone;
  aWork->reply = std::move(aReply);
  if (const auto session = aWork->session.lock()) {
    session->Flush();
  }
}

void
LeafServer::Cancel(const LeafWorkRef& aWork)
{
  if (aWork->state == LeafWork::State::kDone) {
    return;
  }
  ++this->counters.cancelled;
  const bool started = aWork->state == LeafWork::State::kRunning;
  if (started) {
    aWork->timer.cancel();
    --this->running;
  } else {
    this->waiting.erase(std::remove(this->waiting.begin(), this->waiting.end(), aWork), this->waiting.end());
  }
  const char* reason = started ? nullptr : "cancelled";
  this->Finish(aWork, this->MakeReply(*aWork, "499 Client Closed Request", reason, ""));
  this->StartNext();
}

IndexVersion
LeafServer::VersionFor(const LeafWork& aWork) const
{
  const bool servable = aWork.wantedVersion && this->indexes.count(*aWork.wantedVersion) != 0;
  return servable ? *aWork.wantedVersion : this->indexes.rbegin()->first;
}

std::string
LeafServer::SearchReply(const LeafWork& aWork)
{
  // The version may have been dropped while the request waited.
  if (aWork.wantedVersion && this->indexes.count(*aWork.wantedVersion) == 0) {
    return this->MakeReply(aWork, "409 Conflict", "version", "");
  }
  const Json body = ParseBody(aWork.body);
  const auto terms = ReadTerms(body);
  if (!terms) {
    return this->MakeReply(aWork, "400 Bad Request", nullptr, "");
  }
  const RecordIndex& index = *this->indexes.at(this->VersionFor(aWork));
  return this->MakeReply(
    aWork, "200 OK", nullptr, R"({"hits":)" + index.Search(*terms, ReadLimit(body)) + "}");
}

std::string
LeafServer::ExecuteReply(const LeafWork& aWork)
{
  const Json body = ParseBody(aWork.body);
  const Json result = { { "accepted", true },
                        { "key", TextField(body, "key") },
                        { "leaf", this->leaf.leaf } };
  return this->MakeReply(aWork, "200 OK", nullptr, Json{ { "result", result } }.dump());
}

std::string
LeafServer::VersionList() const
{
  std::string list;
  for (const auto& index : this->indexes) {
    list += (list.empty() ? "" : ",") + std::to_string(index.first);
  }
  return list;
}

std::string
LeafServer::MakeReply(const LeafWork& aWork,
                      const char* aStatus,
                      const char* aNotRun,
                      const std::string& aBody) const
{
  std::string reply = std::string("HTTP/1.1 ") + aStatus;
  reply += "\r\nYp-Request-Id: " + aWork.id;
  reply += "\r\nYp-Layout: " + std::to_string(this->leaf.layout);
  reply += "\r\nYp-Shard: " + std::to_string(this->leaf.shard);
  reply += "\r\nYp-Index-Version: " + std::to_string(this->VersionFor(aWork));
  reply += "\r\nYp-Versions: " + this->VersionList();
  reply += "\r\nYp-Load: " + std::to_string(this->running) + "/" + std::to_string(this->leaf.slots);
  if (aNotRun != nullptr) {
    reply += std::string("\r\nYp-Not-Run: ") + aNotRun;
  }
  if (this->control.drainingSince) {
    reply += "\r\nYp-Draining: 1";
  }
  if (!aWork.keepAlive) {
    reply += "\r\nConnection: close";
  }
  reply +=
    "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return reply + aBody;
}

void
LeafServer::RefreshHealth()
{
  const bool draining = this->control.drainingSince.has_value() && !this->control.lie;
  const std::size_t busy = this->control.lie ? 0 : this->running;
  const Json body = { { "state", draining ? "draining" : "serving" },
                      { "busy", busy },
                      { "slots", this->leaf.slots } };
  this->health = body.dump();
  if (this->behaviour.healthLag <= Duration(0)) {
    return;
  }
  this->healthTimer.expires_after(this->behaviour.healthLag);
  this->healthTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->RefreshHealth();
    }
  });
}

std::string
LeafServer::HealthReply()
{
  if (this->behaviour.healthLag <= Duration(0)) {
    this->RefreshHealth();
  }
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(this->health.size()) + "\r\n\r\n" + this->health;
}

} // namespace yp
