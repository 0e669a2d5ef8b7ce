#include "backend/internal/leafsession.h"
#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

namespace yp {

namespace {

namespace http = boost::beast::http;

// A request, its DELETE, and some more for callers that pipeline further.
constexpr std::size_t kMaxPipeline = 16;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

template<class Message>
std::optional<std::uint64_t>
ReadNumber(const Message& aMessage, const char* aName)
{
  const auto text = aMessage[aName];
  std::uint64_t number = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  return !text.empty() && read.ec == std::errc() ? std::optional<std::uint64_t>(number) : std::nullopt;
}

std::string
PlainReply(const char* aStatus)
{
  return std::string("HTTP/1.1 ") + aStatus + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

LeafSession::LeafSession(LeafServer& aServer, boost::asio::ip::tcp::socket aSocket)
  : server(aServer)
  , socket(std::move(aSocket))
{
}

void
LeafSession::Read()
{
  if (this->reading || this->closed || this->closing || this->pipeline.size() >= kMaxPipeline) {
    return;
  }
  this->reading = true;
  this->parser.emplace();
  this->parser->body_limit(kMaxBodyBytes);
  http::async_read(this->socket,
                   this->buffer,
                   *this->parser,
                   [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
                     self->reading = false;
                     if (self->closed) {
                       return;
                     }
                     if (aError) {
                       self->Close();
                       return;
                     }
                     self->OnRequest();
                     self->Read();
                   });
}

void
LeafSession::OnRequest()
{
  const auto& request = this->parser->get();
  const std::string target(request.target());
  const std::string leafs = "/v1/leafs/" + this->server.Settings().leaf + "/";
  const std::string requests = "/v1/requests/";
  if (request.method() == http::verb::delete_ && target.compare(0, requests.size(), requests) == 0) {
    this->OnDelete(target.substr(requests.size()));
  } else if (request.method() == http::verb::post && target.compare(0, leafs.size(), leafs) == 0) {
    this->OnWork(target.substr(leafs.size()));
  } else if (request.method() == http::verb::get && target == "/v1/health") {
    this->PushDone(this->server.HealthReply());
  } else {
    this->PushDone(PlainReply("404 Not Found"));
  }
}

void
LeafSession::OnDelete(const std::string& aId)
{
  const auto found = std::find_if(
    this->pipeline.begin(), this->pipeline.end(), [&](const auto& aWork) { return aWork->id == aId; });
  if (found != this->pipeline.end()) {
    const LeafWorkRef work = *found;
    this->server.Cancel(work);
  }
  this->PushDone(PlainReply("200 OK"));
}

void
LeafSession::OnWork(const std::string& aOperation)
{
  auto& request = this->parser->get();
  if (aOperation != "search" && aOperation != "execute") {
    this->PushDone(PlainReply("404 Not Found"));
    return;
  }
  const auto work = std::make_shared<LeafWork>(this->server.Context());
  work->session = this->weak_from_this();
  work->id = std::string(request["Yp-Request-Id"]);
  work->execute = aOperation == "execute";
  work->keepAlive = request.keep_alive();
  work->wantedVersion = ReadNumber(request, "Yp-Index-Version");
  const auto remaining = ReadNumber(request, "Yp-Deadline-Ms");
  if (remaining) {
    // More than a day is as good as no deadline, and does not overflow.
    constexpr std::uint64_t kMaxRemaining = 86'400'000;
    work->deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(std::min(*remaining, kMaxRemaining));
  }
  work->body = std::move(request.body());
  const auto layout = ReadNumber(request, "Yp-Layout");
  const auto shard = ReadNumber(request, "Yp-Shard");
  this->pipeline.push_back(work);
  if (layout != this->server.Settings().layout || shard != this->server.Settings().shard) {
    work->state = LeafWork::State::kDone;
    work->reply = this->server.MakeReply(*work, "409 Conflict", "version", "");
    this->Flush();
    return;
  }
  this->server.Submit(work);
}

void
LeafSession::PushDone(std::string aReply)
{
  const auto work = std::make_shared<LeafWork>(this->server.Context());
  work->state = LeafWork::State::kDone;
  work->reply = std::move(aReply);
  this->pipeline.push_back(work);
  this->Flush();
}

void
LeafSession::Flush()
{
  if (this->writing || this->closed) {
    return;
  }
  this->output.clear();
  while (!this->pipeline.empty() && this->pipeline.front()->state == LeafWork::State::kDone) {
    this->output += this->pipeline.front()->reply;
    this->closing = this->closing || !this->pipeline.front()->keepAlive;
    this->pipeline.pop_front();
  }
  if (this->output.empty()) {
    return;
  }
  this->writing = true;
  boost::asio::async_write(
    this->socket,
    boost::asio::buffer(this->output),
    [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      self->writing = false;
      if (aError || self->closing) {
        self->Close();
        return;
      }
      self->Flush();
      self->Read();
    });
}

void
LeafSession::Close()
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  // Requests that have not started are dropped; those that run go on, as in a server that does not watch
  // for the end of a connection.
  const auto works = this->pipeline;
  for (const auto& work : works) {
    if (work->state == LeafWork::State::kWaiting) {
      this->server.Cancel(work);
    }
  }
  this->server.OnSessionClosed(*this);
}

} // namespace yp
