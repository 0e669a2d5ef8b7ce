#include "leafhttp/internal/leafconnection.h"
#include <algorithm>
#include <boost/asio/write.hpp>
#include <string_view>

namespace yp {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr unsigned kFirstFinalStatus = 200;
constexpr std::size_t kTypicalHeadBytes = 512;

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

/// \return whether a request with this method states its length also without a body
bool
ExpectsBody(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

/// \return whether a text contains the start of a status line, such as "HTTP/1.1 200"
bool
ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kProtocol = "HTTP/";
  constexpr std::string_view kPattern = "0.0 000"; // 0: any digit
  const auto isDigit = [](char aCharacter) { return aCharacter >= '0' && aCharacter <= '9'; };
  for (std::size_t at = aText.find(kProtocol); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    const std::string_view rest = aText.substr(at + kProtocol.size(), kPattern.size());
    if (std::equal(
          rest.begin(), rest.end(), kPattern.begin(), kPattern.end(), [&](char aActual, char aExpected) {
            return aExpected == '0' ? isDigit(aActual) : aActual == aExpected;
          })) {
      return true;
    }
  }
  return false;
}

/// \return whether a head consists of the start of one response, which broke off, and the head of another
template<class Message>
bool
IsJoined(const Message& aMessage)
{
  return ContainsStatusLine(aMessage.reason()) ||
         std::any_of(aMessage.begin(), aMessage.end(), [](const auto& aField) {
           return ContainsStatusLine(std::string_view(aField.value().data(), aField.value().size()));
         });
}

} // namespace

LeafConnection::LeafConnection(LeafHttpCore& aCore, ILeafConnectionOwner& aOwner, Endpoint aPeer)
  : core(aCore)
  , owner(&aOwner)
  , peer(std::move(aPeer))
  , socket(aCore.context)
  , idleTimeout(aCore.settings.idleTimeout)
{
}

void
LeafConnection::Open()
{
  const Ref<LeafConnection> self(this);
  ++this->core.stats.opened;
  this->connectTimer =
    this->core.timers.At(this->core.clock.Now() + this->core.settings.connectTimeout, [self] {
      self->connectTimer = 0;
      if (self->stage == Stage::kConnecting) {
        self->OnConnected(asio::error::timed_out);
      }
    });
  error_code error;
  const asio::ip::address address = asio::ip::make_address(this->peer.address, error);
  if (error) {
    asio::post(this->core.context, [self, error] { self->OnConnected(error); });
    return;
  }
  this->socket.async_connect(tcp::endpoint(address, this->peer.port), [self](const error_code& aError) {
    if (self->stage == Stage::kConnecting) {
      self->OnConnected(aError);
    }
  });
}

void
LeafConnection::OnConnected(const error_code& aError)
{
  const Ref<LeafConnection> self(this);
  if (this->stage != Stage::kConnecting) {
    return;
  }
  this->core.timers.Cancel(this->connectTimer);
  if (aError) {
    ++this->core.stats.connectFailures;
    this->stage = Stage::kClosed;
    this->CloseSocket();
    this->owner->OnConnectFailed(
      *this, Error{ ErrorCode::kUnavailable, "leaf.connect", ToString(this->peer), aError.message() });
    return;
  }
  error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->stage = Stage::kIdle;
  this->idleSince = this->core.clock.Now();
  this->ReadMore();
  this->owner->OnIdle(*this);
}

std::string
LeafConnection::SerializeRequest(const PendingCall& aCall) const
{
  const ForwardedRequest& message = *aCall.call.request;
  const auto timeBudget =
    std::chrono::duration_cast<std::chrono::milliseconds>(aCall.call.deadline - this->core.clock.Now());
  // A query is sent to hundreds of leafs; appending to one string takes a fraction of the time that a general
  // serializer needs.
  std::string text;
  text.reserve(kTypicalHeadBytes + message.body.size());
  text.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
  for (const HttpHeader& field : message.headers) {
    AppendField(text, field.name, field.value);
  }
  for (const HttpHeader& field : this->core.dialect.CallHeaders(aCall.call, timeBudget)) {
    AppendField(text, field.name, field.value);
  }
  if (!message.body.empty() || ExpectsBody(message.method)) {
    AppendField(text, "Content-Length", std::to_string(message.body.size()));
  }
  return text.append("\r\n").append(message.body);
}

void
LeafConnection::Start(PendingCall aCall)
{
  this->stage = Stage::kBusy;
  this->current = std::move(aCall);
  this->skippedResponses = 0;
  this->ExpectResponse();
  this->writtenAt = this->core.clock.Now();
  ++this->core.stats.written;
  this->Write(this->SerializeRequest(*this->current));
}

void
LeafConnection::Write(std::string aText)
{
  error_code error;
  const std::size_t written = this->socket.write_some(asio::buffer(aText), error);
  if (written == aText.size()) {
    return;
  }
  // A write error is handled by the read, which still processes bytes that arrived before it.
  if (error && error != asio::error::would_block) {
    return;
  }
  this->writing = true;
  this->output = aText.substr(written);
  asio::async_write(
    this->socket,
    asio::buffer(this->output),
    [self = Ref<LeafConnection>(this)](const error_code&, std::size_t) { self->writing = false; });
}

void
LeafConnection::ExpectResponse()
{
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(static_cast<std::uint32_t>(this->core.settings.maxHeaderBytes));
  this->parser->body_limit(this->core.settings.maxBodyBytes);
  this->parser->skip(this->current->call.request->method == "HEAD");
}

void
LeafConnection::ReadMore()
{
  if (this->stage == Stage::kClosed) {
    return;
  }
  this->socket.async_read_some(
    asio::buffer(this->input),
    [self = Ref<LeafConnection>(this)](const error_code& aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void
LeafConnection::OnRead(const error_code& aError, std::size_t aSize)
{
  const Ref<LeafConnection> self(this);
  if (this->stage == Stage::kClosed) {
    return;
  }
  if (aError) {
    this->OnInputEnd(aError);
    return;
  }
  if (this->stage == Stage::kIdle) {
    ++this->core.stats.surplusByteCloses;
    this->Close();
    return;
  }
  this->buffer.commit(asio::buffer_copy(this->buffer.prepare(aSize), asio::buffer(this->input, aSize)));
  if (this->Parse() && this->CheckSize()) {
    this->ReadMore();
  }
}

bool
LeafConnection::CheckSize()
{
  if (this->stage != Stage::kBusy) {
    this->SetIncompleteBytes(0);
    return true;
  }
  const LeafHttpSettings& settings = this->core.settings;
  // The parser leaves bytes in the buffer only while a head, a chunk's head or the trailers are incomplete.
  // It limits the size of a head, but not of a chunk's extensions.
  const bool headTooLong = this->buffer.size() > settings.maxHeaderBytes;
  this->SetIncompleteBytes(this->buffer.size() + this->parser->get().body().size());
  const bool memoryExceeded = this->incompleteBytes > settings.minResponseBytes &&
                              this->core.stats.incompleteBytes > settings.maxIncompleteBytes;
  if (!headTooLong && !memoryExceeded) {
    return true;
  }
  ++this->core.stats.oversizedCloses;
  this->FinishLost("leaf.read",
                   headTooLong ? "head of a response or chunk too long"
                               : "too many bytes of incomplete responses on all connections");
  return false;
}

void
LeafConnection::SetIncompleteBytes(std::size_t aBytes)
{
  this->core.stats.incompleteBytes += aBytes;
  this->core.stats.incompleteBytes -= this->incompleteBytes;
  this->incompleteBytes = aBytes;
}

bool
LeafConnection::SkipResponse()
{
  if (++this->skippedResponses > this->core.settings.maxSkippedResponses) {
    ++this->core.stats.oversizedCloses;
    this->FinishLost("leaf.response", "too many interim responses or responses to other requests");
    return false;
  }
  this->ExpectResponse();
  return true;
}

void
LeafConnection::OnInputEnd(const error_code& aError)
{
  if (this->stage != Stage::kBusy) {
    this->Close();
    return;
  }
  error_code error;
  // Only an orderly end of the connection completes a body without a length.
  if (aError == asio::error::eof && this->parser->is_header_done()) {
    this->parser->put_eof(error);
    if (!error && this->parser->is_done()) {
      this->OnResponse();
      return;
    }
  }
  this->FinishLost("leaf.read", aError.message());
}

bool
LeafConnection::Parse()
{
  while (this->stage == Stage::kBusy && this->buffer.size() != 0) {
    error_code error;
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error && error != http::error::need_more) {
      this->FinishLost("leaf.parse", error.message());
      return false;
    }
    // Checked as soon as the head is complete: the body may extend to the end of the connection.
    if (this->parser->is_header_done() && !IsResponseStatus(this->parser->get().result_int())) {
      ++this->core.stats.impossibleStatuses;
      this->FinishLost("leaf.parse", "status " + std::to_string(this->parser->get().result_int()));
      return false;
    }
    if (error) {
      return true;
    }
    if (this->parser->is_done() && !this->OnResponse()) {
      return false;
    }
    if (used == 0) {
      return this->stage != Stage::kClosed;
    }
  }
  return this->stage != Stage::kClosed;
}

bool
LeafConnection::OnResponse()
{
  const Ref<LeafConnection> self(this);
  auto message = this->parser->release();
  // The head may say "not run" of one request and bear the id of another, which ran.
  if (IsJoined(message)) {
    ++this->core.stats.foreignResponses;
    this->FinishLost("leaf.response", "start of another response inside a head");
    return false;
  }
  if (message.result_int() < kFirstFinalStatus) {
    return this->SkipResponse();
  }
  HttpResponse response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  response.body = std::move(message.body());
  // Before the connection is idle, as it may then get the next call.
  const LeafNotice notice = this->core.dialect.ReadNotice(response);
  this->ApplyNotice(notice);
  const bool selfDelimited = message.has_content_length() || message.chunked();
  const ResponseMatch match = this->core.dialect.MatchRequest(this->current->call, response);
  // A leaf that names requests in its responses names them in all, so a response without an id is not an
  // answer to this call. A signature is used once; its second use is a copy of the previous response.
  if (match.unnamed && this->echoesIds) {
    this->FinishLost("leaf.response", "response without the id of its request");
    return false;
  }
  this->echoesIds |= !match.unnamed;
  if (match.otherRequest ||
      (match.unnamed && !match.signature.empty() && match.signature == this->lastSignature)) {
    ++this->core.stats.foreignResponses;
    if (!selfDelimited) {
      // Its body extends to the end of the connection, so the response to this call cannot follow.
      this->FinishLost("leaf.response", "received the response to another request without a length");
      return false;
    }
    return this->SkipResponse();
  }
  // If the request is not completely written, the leaf would read its rest as part of the next request.
  bool keep = message.keep_alive() && selfDelimited && !this->writing;
  if (this->buffer.size() != 0) {
    ++this->core.stats.surplusByteCloses;
    keep = false;
  }
  const std::optional<Duration> leafIdleTimeout = this->core.dialect.IdleTimeout(response);
  this->idleTimeout =
    leafIdleTimeout
      ? std::chrono::duration_cast<Duration>(*leafIdleTimeout * this->core.settings.idleTimeoutFraction)
      : this->core.settings.idleTimeout;
  this->lastSignature = match.signature;
  this->SetIncompleteBytes(0);
  PendingCall call = std::move(*this->current);
  this->current.reset();
  LeafResult result;
  result.notice = notice;
  result.elapsed = this->core.clock.Now() - this->writtenAt;
  this->core.dialect.ClassifyResponse(call.call, std::move(response), result);
  if (keep) {
    this->stage = Stage::kIdle;
    this->idleSince = this->core.clock.Now();
    this->owner->OnIdle(*this);
  } else {
    this->Close();
  }
  call.handler(std::move(result));
  return this->stage != Stage::kClosed;
}

void
LeafConnection::ApplyNotice(const LeafNotice& aNotice)
{
  const LeafCall& call = this->current->call;
  const LeafNoticeEffect effect = call.leaf->Apply(aNotice, call.request->id, this->core.clock.Now());
  this->core.stats.leavingLeafs += effect.leavingBegan ? 1 : 0;
  this->core.stats.pauses += effect.pauseBegan ? 1 : 0;
  this->core.stats.malformedPauses += aNotice.malformedPause ? 1 : 0;
}

void
LeafConnection::FinishLost(const char* aStep, const std::string& aDetail)
{
  PendingCall call = std::move(*this->current);
  this->current.reset();
  this->Close();
  LeafResult result;
  result.outcome = LeafOutcome::kLost;
  result.elapsed = this->core.clock.Now() - this->writtenAt;
  result.error = Error{ ErrorCode::kConnection, aStep, ToString(this->peer), aDetail };
  call.handler(std::move(result));
}

void
LeafConnection::Close()
{
  if (this->stage == Stage::kClosed) {
    return;
  }
  this->stage = Stage::kClosed;
  this->CloseSocket();
  this->owner->OnClosed(*this);
}

void
LeafConnection::Abort()
{
  this->stage = Stage::kClosed;
  this->core.timers.Cancel(this->connectTimer);
  this->current.reset();
  this->CloseSocket();
}

void
LeafConnection::CloseSocket()
{
  this->SetIncompleteBytes(0);
  error_code ignored;
  this->socket.close(ignored);
}

} // namespace yp
