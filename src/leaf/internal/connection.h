#ifndef YP_LEAF_INTERNAL_CONNECTION_H
#define YP_LEAF_INTERNAL_CONNECTION_H

#include "leaf/internal/attempt.h"
#include "leaf/internal/replyreader.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace yp {

/// How a connection ended. Determines when LeafGroup opens the next one.
enum class CloseKind
{
  kOrderly, ///< closed by this side, or by the leaf after it had answered requests
  kRefused, ///< the connect failed, the leaf refused the connection, or it ended before its first reply
  kFault    ///< the message framing is unreliable, or the leaf did not answer a cancellation in time
};

/// One connection to a leaf. Carries one request at a time, plus the DELETE that cancels it.
class Connection final
  : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter>
  , public TimerEntry
{
public:
  Connection(LeafPool& aPool, LeafGroup& aGroup);

  /// Starts to connect. The group is notified by OnOpened or OnClosed.
  void Open();

  /// Writes an attempt's request. The connection must be idle.
  /// \param aNow time at which the caller checked the deadline
  void Write(Attempt& aAttempt, TimePoint aNow);

  /// Sends a DELETE for the current request, or closes the connection while the request is being written.
  /// \param aDetach whether the caller finishes the attempt itself; a later reply to it is dropped
  void CancelRequest(bool aDetach);

  /// Closes immediately. A current attempt ends as unknown, except that an attempt of which no byte was
  /// written is queued again by LeafPool::Requeue.
  void Close(CloseKind aKind, const char* aDetail);

  bool Idle() const { return this->state == State::kIdle; }
  bool HasReplied() const { return this->hasReplied; }
  bool Writing() const { return this->state == State::kWriting; }
  bool Connecting() const { return this->state == State::kConnecting; }
  const Endpoint& Peer() const { return this->peer; }

  /// Closes the connection: the connect or the replies to a cancellation timed out.
  void OnTimer() override;

private:
  enum class State
  {
    kConnecting,
    kIdle,
    kUnsolicited, ///< received bytes on a new connection before any request, normally a refusal
    kWriting,
    kWaiting,
    kCancelling, ///< DELETE sent; replies to the request and to the DELETE are expected
    kClosed
  };

  // Large enough for a complete reply header; bodies are consumed in parts.
  static constexpr std::size_t kBufferBytes = 16 * 1024;

  void OnConnected(const boost::system::error_code& aError);
  void BuildHead(const Attempt& aAttempt, TimePoint aNow);
  void OnWritten(const boost::system::error_code& aError, std::size_t aBytes);
  void OnWriteFailed(std::size_t aBytes, const std::string& aDetail);
  void WriteDelete();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void OnReadError(const boost::system::error_code& aError);
  void Process();
  void OnReply(ParsedReply& aReply);
  void OnAnswer(ParsedReply& aReply);
  void OnReplyWhileCancelling(ParsedReply& aReply);
  void OnUnsolicited(const ParsedReply& aReply);
  bool Matches(const ParsedReply& aReply) const;
  void Resolve(ParsedReply& aReply);
  void FinishUnknown(ErrorCode aCode, const std::string& aDetail);
  void Discard(const char* aDetail);
  void FinishRequest(bool aKeepAlive);

  LeafPool& pool;
  LeafGroup& group;
  Endpoint peer;
  boost::asio::ip::tcp::socket socket;
  State state = State::kConnecting;
  Attempt* attempt = nullptr;
  std::string closeDetail;

  // Values that the reply must echo. Still needed after the attempt has been detached.
  std::string requestId;
  LayoutId layout = 0;
  ShardId shard = 0;
  std::optional<IndexVersion> requestedVersion;

  std::string head;       ///< request header; the buffer is reused
  std::string deleteHead; ///< DELETE request; the buffer is reused
  bool deleteWritten = false;
  bool firstReplyRead = false;                 ///< the reply to the cancelled request has been read
  bool hasReplied = false;                     ///< at least one request was answered
  boost::system::error_code deferredReadError; ///< read error while the request was being written

  ReplyReader reader;
  std::array<char, kBufferBytes> buffer;
  std::size_t bufferBegin = 0;
  std::size_t bufferEnd = 0;
};

using ConnectionRef = boost::intrusive_ptr<Connection>;

} // namespace yp

#endif
