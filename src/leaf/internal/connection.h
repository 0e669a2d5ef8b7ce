#ifndef YP_LEAF_INTERNAL_CONNECTION_H
#define YP_LEAF_INTERNAL_CONNECTION_H

#include "leaf/internal/attempt.h"
#include "leaf/internal/replyreader.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace yp {

/// How a connection ended, for the group's decision when to open another.
enum class CloseKind
{
  kOrderly, ///< by this side, or by the leaf after it had answered requests
  kRefused, ///< the connect failed, the leaf refused it, or it ended before its first reply
  kFault    ///< the framing is in doubt, or the leaf did not answer a cancellation in time
};

/// One connection to a leaf. Carries one request at a time, besides the DELETE that cancels it.
class Connection final
  : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter>
  , public TimerEntry
{
public:
  Connection(LeafPool& aPool, LeafGroup& aGroup);

  /// Starts to connect; the group is told how it ends.
  void Open();

  /// Writes an attempt's request. The connection must be idle.
  /// \param aNow time at which the deadline was checked
  void Write(Attempt& aAttempt, TimePoint aNow);

  /// Cancels the request under way by a DELETE, or closes the connection if it has not been written whole.
  /// \param aDetach the attempt is answered now; later replies to it are dropped
  void CancelRequest(bool aDetach);

  /// Closes at once; an attempt under way ends as unknown, or as not run if no byte was written.
  void Close(CloseKind aKind, const char* aDetail);

  bool Idle() const { return this->state == State::kIdle; }
  bool HasReplied() const { return this->hasReplied; }
  bool Writing() const { return this->state == State::kWriting; }
  bool Connecting() const { return this->state == State::kConnecting; }
  const Endpoint& Peer() const { return this->peer; }

  /// The connect or the replies to a cancellation took too long.
  void OnTimer() override;

private:
  enum class State
  {
    kConnecting,
    kIdle,
    kUnsolicited, ///< bytes came on a new connection before any request: a refusal
    kWriting,
    kWaiting,
    kCancelling, ///< the DELETE is written; replies to the request and to the DELETE are expected
    kClosed
  };

  // Holds a reply's header in one piece; bodies pass through.
  static constexpr std::size_t kBufferBytes = 16 * 1024;

  void OnConnected(const boost::system::error_code& aError);
  void BuildHead(const Attempt& aAttempt, TimePoint aNow);
  void OnWritten(const boost::system::error_code& aError, std::size_t aBytes);
  void OnPartlyWritten(std::size_t aBytes, const std::string& aDetail);
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

  // What the reply has to echo, kept after the attempt has been answered.
  std::string requestId;
  LayoutId layout = 0;
  ShardId shard = 0;
  std::optional<IndexVersion> wantedVersion;

  std::string head;       ///< header of the request, reused
  std::string deleteHead; ///< the DELETE, reused
  bool deleteWritten = false;
  bool firstReplyRead = false;                 ///< while cancelling
  bool hasReplied = false;                     ///< at least one request was answered
  boost::system::error_code deferredReadError; ///< came while the request was being written

  ReplyReader reader;
  std::array<char, kBufferBytes> buffer;
  std::size_t bufferBegin = 0;
  std::size_t bufferEnd = 0;
};

using ConnectionRef = boost::intrusive_ptr<Connection>;

} // namespace yp

#endif
