#include "leaf/internal/connection.h"
#include "leaf/internal/leafpool.h"
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstring>

namespace yp {

namespace {

namespace asio = boost::asio;

template<class T>
void
AppendNumber(std::string& aText, T aNumber)
{
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof(digits), aNumber).ptr;
  aText.append(digits, end);
}

Error
ConnectionError(ErrorCode aCode, const Endpoint& aPeer, const std::string& aDetail)
{
  return Error{ aCode, "leaf.request", ToString(aPeer), aDetail };
}

} // namespace

Connection::Connection(LeafPool& aPool, LeafGroup& aGroup)
  : pool(aPool)
  , group(aGroup)
  , peer(aGroup.Peer())
  , socket(aPool.Context())
  , reader(aPool.Settings().maxReplyBytes)
{
}

void
Connection::Open()
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(this->peer.address, error);
  this->pool.Timers().Set(*this, this->pool.Now() + this->pool.Settings().connectTimeout);
  if (error) {
    asio::post(this->pool.Context(), [self = ConnectionRef(this), error] { self->OnConnected(error); });
    return;
  }
  this->socket.async_connect(
    asio::ip::tcp::endpoint(address, this->peer.port),
    [self = ConnectionRef(this)](const boost::system::error_code& aError) { self->OnConnected(aError); });
}

void
Connection::OnConnected(const boost::system::error_code& aError)
{
  if (this->state != State::kConnecting) {
    return;
  }
  this->ClearTimer();
  if (aError) {
    this->Close(CloseKind::kRefused, aError.message().c_str());
    return;
  }
  boost::system::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->pool.Counters().opened.fetch_add(1, std::memory_order_relaxed);
  this->state = State::kIdle;
  this->Read();
  this->group.OnOpened(*this);
}

void
Connection::BuildHead(const Attempt& aAttempt, TimePoint aNow)
{
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAttempt.request.deadline - aNow).count();
  this->requestId.assign(this->pool.Settings().requestIdPrefix);
  this->requestId += '-';
  AppendNumber(this->requestId, aAttempt.request.id);
  this->layout = aAttempt.request.leaf->layout;
  this->shard = aAttempt.request.leaf->shard;
  this->requestedVersion = aAttempt.request.indexVersion;

  this->head.assign(this->group.RequestStart(aAttempt.request.execute));
  this->head += "Yp-Request-Id: ";
  this->head += this->requestId;
  this->head += "\r\nYp-Deadline-Ms: ";
  AppendNumber(this->head, remaining);
  this->head += "\r\nYp-Layout: ";
  AppendNumber(this->head, this->layout);
  this->head += "\r\nYp-Shard: ";
  AppendNumber(this->head, this->shard);
  if (this->requestedVersion) {
    this->head += "\r\nYp-Index-Version: ";
    AppendNumber(this->head, *this->requestedVersion);
  }
  this->head += "\r\nContent-Length: ";
  AppendNumber(this->head, aAttempt.request.body.size());
  this->head += "\r\n\r\n";
}

void
Connection::Write(Attempt& aAttempt, TimePoint aNow)
{
  YP_INVARIANT(this->state == State::kIdle && this->attempt == nullptr,
               "leaf.one_request_a_connection",
               ToString(this->peer));
  YP_INVARIANT(aNow < aAttempt.request.deadline, "leaf.not_written_after_deadline", ToString(this->peer));
  this->attempt = &aAttempt;
  aAttempt.connection = this;
  aAttempt.writtenAt = aNow;
  this->BuildHead(aAttempt, aNow);
  this->state = State::kWriting;
  const std::array<asio::const_buffer, 2> buffers = { asio::buffer(this->head),
                                                      asio::buffer(aAttempt.request.body) };
  asio::async_write(this->socket,
                    buffers,
                    [self = ConnectionRef(this)](const boost::system::error_code& aError,
                                                 std::size_t aBytes) { self->OnWritten(aError, aBytes); });
}

void
Connection::OnWritten(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (aBytes > 0) {
    this->pool.Counters().written.fetch_add(1, std::memory_order_relaxed);
  }
  if (this->state == State::kClosed) {
    this->OnWriteFailed(aBytes, this->closeDetail);
    return;
  }
  if (aError) {
    // Detaches the attempt first, because Close leaves an attempt that is being written to this handler.
    this->closeDetail = aError.message();
    Attempt* failed = std::exchange(this->attempt, nullptr);
    this->Close(this->hasReplied ? CloseKind::kOrderly : CloseKind::kRefused, this->closeDetail.c_str());
    this->attempt = failed;
    this->OnWriteFailed(aBytes, this->closeDetail);
    return;
  }
  this->state = State::kWaiting;
  this->Process();
  if (this->deferredReadError && this->state != State::kClosed) {
    this->OnReadError(this->deferredReadError);
  }
}

void
Connection::OnWriteFailed(std::size_t aBytes, const std::string& aDetail)
{
  if (this->attempt == nullptr) {
    return;
  }
  if (aBytes > 0) {
    this->FinishUnknown(ErrorCode::kConnection, aDetail);
    return;
  }
  Attempt& unwritten = *std::exchange(this->attempt, nullptr);
  unwritten.connection = nullptr;
  this->pool.Requeue(unwritten);
}

void
Connection::CancelRequest(bool aDetach)
{
  if (this->state == State::kWriting) {
    this->Close(CloseKind::kOrderly, "cancelled while the request was being written");
    return;
  }
  if (aDetach) {
    this->attempt = nullptr;
  }
  if (this->state == State::kWaiting) {
    this->WriteDelete();
  }
}

void
Connection::WriteDelete()
{
  this->deleteHead.assign("DELETE /v1/requests/");
  this->deleteHead += this->requestId;
  this->deleteHead += " HTTP/1.1\r\nHost: ";
  this->deleteHead += this->group.PeerName();
  this->deleteHead += "\r\n\r\n";
  this->state = State::kCancelling;
  this->deleteWritten = false;
  this->firstReplyRead = false;
  this->pool.Counters().cancelled.fetch_add(1, std::memory_order_relaxed);
  this->pool.Timers().Set(*this, this->pool.Now() + this->pool.Settings().cancelTimeout);
  asio::async_write(this->socket,
                    asio::buffer(this->deleteHead),
                    [self = ConnectionRef(this)](const boost::system::error_code& aError, std::size_t) {
                      if (self->state != State::kCancelling) {
                        return;
                      }
                      if (aError) {
                        self->Close(CloseKind::kOrderly, "cannot write the cancellation");
                        return;
                      }
                      self->deleteWritten = true;
                    });
}

void
Connection::OnTimer()
{
  if (this->state == State::kConnecting) {
    this->Close(CloseKind::kRefused, "connect timed out");
    return;
  }
  this->Close(CloseKind::kFault, "no replies to a cancelled request within the time limit");
}

void
Connection::Close(CloseKind aKind, const char* aDetail)
{
  if (this->state == State::kClosed) {
    return;
  }
  const ConnectionRef keep(this);
  const State before = std::exchange(this->state, State::kClosed);
  this->ClearTimer();
  this->closeDetail = aDetail;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  // OnWritten finishes a request that is being written, because it knows whether any byte was sent.
  if (before != State::kWriting && this->attempt != nullptr) {
    this->FinishUnknown(ErrorCode::kConnection, this->closeDetail);
  }
  this->group.OnClosed(*this, aKind, before == State::kConnecting);
}

void
Connection::Read()
{
  if (this->bufferBegin > 0) {
    std::memmove(
      this->buffer.data(), this->buffer.data() + this->bufferBegin, this->bufferEnd - this->bufferBegin);
    this->bufferEnd -= this->bufferBegin;
    this->bufferBegin = 0;
  }
  this->socket.async_read_some(
    asio::buffer(this->buffer.data() + this->bufferEnd, kBufferBytes - this->bufferEnd),
    [self = ConnectionRef(this)](const boost::system::error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
Connection::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (this->state == State::kClosed) {
    return;
  }
  if (aError) {
    this->OnReadError(aError);
    return;
  }
  this->bufferEnd += aBytes;
  this->Process();
  if (this->state == State::kClosed) {
    return;
  }
  if (this->bufferEnd - this->bufferBegin == kBufferBytes) {
    this->Discard("receive buffer full: reply header too long, or reply before the end of the request");
    return;
  }
  this->Read();
}

void
Connection::OnReadError(const boost::system::error_code& aError)
{
  if (this->state == State::kWriting) {
    this->deferredReadError = aError;
    return;
  }
  this->Close(this->hasReplied ? CloseKind::kOrderly : CloseKind::kRefused, aError.message().c_str());
}

void
Connection::Process()
{
  while (this->bufferBegin < this->bufferEnd && this->state != State::kWriting &&
         this->state != State::kClosed) {
    if (this->state == State::kIdle) {
      if (this->hasReplied) {
        this->Discard("bytes received without a pending request");
        return;
      }
      this->state = State::kUnsolicited;
      this->group.OnBusy(*this);
    }
    std::size_t consumed = 0;
    const auto progress = this->reader.Feed(
      this->buffer.data() + this->bufferBegin, this->bufferEnd - this->bufferBegin, consumed);
    this->bufferBegin += consumed;
    if (progress == ReplyReader::Progress::kNeedMore) {
      return;
    }
    if (progress == ReplyReader::Progress::kMalformed) {
      this->Discard("malformed reply");
      return;
    }
    this->OnReply(this->reader.Reply());
    if (this->state == State::kClosed) {
      return;
    }
  }
}

void
Connection::OnReply(ParsedReply& aReply)
{
  if (aReply.malformedField) {
    this->Discard("malformed reply header field");
    return;
  }
  if (this->state == State::kUnsolicited) {
    this->OnUnsolicited(aReply);
    return;
  }
  if (this->state == State::kCancelling) {
    this->OnReplyWhileCancelling(aReply);
    return;
  }
  this->OnAnswer(aReply);
}

void
Connection::OnUnsolicited(const ParsedReply& aReply)
{
  if (aReply.notRun == NotRunReason::kConnectionLimit) {
    this->Close(CloseKind::kRefused, "refused by the leaf: connection limit exceeded");
    return;
  }
  this->Discard("received a reply without a pending request");
}

bool
Connection::Matches(const ParsedReply& aReply) const
{
  if (aReply.requestId != this->requestId || aReply.layout != this->layout || aReply.shard != this->shard) {
    return false;
  }
  if (aReply.status != 200) {
    return true;
  }
  if (!aReply.indexVersion || aReply.notRun != NotRunReason::kNone) {
    return false;
  }
  return !this->requestedVersion || *this->requestedVersion == *aReply.indexVersion;
}

void
Connection::OnAnswer(ParsedReply& aReply)
{
  // A leaf refuses a connection before it reads a request, so the refusal echoes no request id.
  const bool refusal =
    !this->hasReplied && aReply.notRun == NotRunReason::kConnectionLimit && aReply.status == 503;
  if (!(refusal && aReply.requestId.empty()) && !this->Matches(aReply)) {
    this->Discard("reply does not match the request");
    return;
  }
  const bool refused = aReply.notRun == NotRunReason::kConnectionLimit;
  const bool keepAlive = aReply.keepAlive;
  this->Resolve(aReply);
  if (refused) {
    this->Close(CloseKind::kRefused, "refused by the leaf: connection limit exceeded");
    return;
  }
  this->FinishRequest(keepAlive);
}

void
Connection::Resolve(ParsedReply& aReply)
{
  if (this->attempt == nullptr) {
    return;
  }
  Attempt& done = *std::exchange(this->attempt, nullptr);
  LeafReply reply;
  reply.id = done.request.id;
  reply.fromLeaf = true;
  reply.reason = aReply.notRun;
  reply.indexVersion = aReply.indexVersion.value_or(0);
  reply.versions = std::move(aReply.versions);
  reply.busySlots = aReply.busySlots;
  reply.slots = aReply.slots;
  reply.draining = aReply.draining;
  reply.body = std::move(aReply.body);
  reply.elapsed = this->pool.Now() - done.writtenAt;
  if (aReply.status == 200) {
    reply.status = AttemptStatus::kAnswered;
  } else if (aReply.notRun != NotRunReason::kNone) {
    reply.status = AttemptStatus::kNotRun;
  } else {
    reply.status = AttemptStatus::kUnknown;
    reply.error =
      ConnectionError(ErrorCode::kConnection, this->peer, "status " + std::to_string(aReply.status));
  }
  this->pool.Finish(done, std::move(reply));
}

void
Connection::OnReplyWhileCancelling(ParsedReply& aReply)
{
  if (!this->firstReplyRead) {
    if (!this->Matches(aReply)) {
      this->Discard("reply does not match the cancelled request");
      return;
    }
    this->firstReplyRead = true;
    const bool keepAlive = aReply.keepAlive;
    this->Resolve(aReply);
    this->reader.Restart();
    if (!keepAlive) {
      this->Close(CloseKind::kOrderly, "closed by the leaf");
    }
    return;
  }
  const bool matches = aReply.requestId.empty() || aReply.requestId == this->requestId;
  if (!matches || (aReply.status != 200 && aReply.status != 404)) {
    this->Discard("reply does not match the cancellation");
    return;
  }
  if (!this->deleteWritten) {
    this->Discard("received the reply to a cancellation before it was completely written");
    return;
  }
  this->ClearTimer();
  this->FinishRequest(aReply.keepAlive);
}

void
Connection::FinishRequest(bool aKeepAlive)
{
  this->hasReplied = true;
  if (this->bufferBegin != this->bufferEnd) {
    this->Discard("bytes received after the reply");
    return;
  }
  if (!aKeepAlive) {
    this->Close(CloseKind::kOrderly, "closed by the leaf");
    return;
  }
  this->reader.Restart();
  this->state = State::kIdle;
  this->group.OnIdle(*this);
}

void
Connection::FinishUnknown(ErrorCode aCode, const std::string& aDetail)
{
  if (this->attempt == nullptr) {
    return;
  }
  Attempt& done = *std::exchange(this->attempt, nullptr);
  LeafReply reply;
  reply.id = done.request.id;
  reply.status = AttemptStatus::kUnknown;
  reply.elapsed = this->pool.Now() - done.writtenAt;
  reply.error = ConnectionError(aCode, this->peer, aDetail);
  this->pool.Finish(done, std::move(reply));
}

void
Connection::Discard(const char* aDetail)
{
  this->pool.Counters().discarded.fetch_add(1, std::memory_order_relaxed);
  LogEvent(LogLevel::kWarning,
           "leaf_reply_discarded",
           { { "peer", this->group.PeerName() }, { "request", this->requestId }, { "detail", aDetail } });
  // kRefused delays the next connect to a leaf whose first reply on a new connection is invalid.
  this->Close(this->hasReplied ? CloseKind::kFault : CloseKind::kRefused, aDetail);
}

} // namespace yp
