#ifndef YP_LEAFHTTP_INTERNAL_LEAFCONNECTION_H
#define YP_LEAFHTTP_INTERNAL_LEAFCONNECTION_H

#include "leafhttp/leafhttp.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace yp {

/// Services and settings used by all connections and pools of an exchange.
struct LeafHttpCore
{
  boost::asio::io_context& context;
  const IClock& clock;
  ITimers& timers;
  const ILeafDialect& dialect;
  LeafHttpStats& stats;
  const LeafHttpSettings settings;
};

/// A call that has no result yet, and its handler.
struct PendingCall
{
  LeafCall call;
  ILeafExchange::Handler handler;
};

class LeafConnection;

/// Receives the state changes of a connection.
class ILeafConnectionOwner
{
public:
  virtual ~ILeafConnectionOwner() = default;

  /// The connection is open and idle.
  virtual void OnIdle(LeafConnection& aConnection) = 0;

  /// The connection could not be opened.
  virtual void OnConnectFailed(LeafConnection& aConnection, const Error& aError) = 0;

  /// The connection is closed; the owner must release it.
  virtual void OnClosed(LeafConnection& aConnection) = 0;
};

/// One connection to a leaf, with at most one call at a time. A read is always pending, so that it detects
/// when the leaf closes the connection.
class LeafConnection final : public RefCounted<LeafConnection>
{
public:
  LeafConnection(LeafHttpCore& aCore, ILeafConnectionOwner& aOwner, Endpoint aPeer);

  /// Starts to connect.
  void Open();

  /// Writes a call. The connection must be idle.
  void Start(PendingCall aCall);

  /// Closes without notifying the owner; the handler of a current call is not called.
  void Abort();

  bool Idle() const { return this->stage == Stage::kIdle; }
  bool Connecting() const { return this->stage == Stage::kConnecting; }

  /// \return the id of the current call; 0 if there is none
  std::uint64_t Call() const { return this->current ? this->current->call.id : 0; }

  /// \return time since the connection became idle
  Duration IdleFor() const { return this->core.clock.Now() - this->idleSince; }

  /// \return whether the leaf is expected to still keep the idle connection open
  bool Usable() const { return this->IdleFor() < this->idleTimeout; }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  enum class Stage
  {
    kConnecting,
    kIdle,
    kBusy,
    kClosed
  };

  void OnConnected(const boost::system::error_code& aError);
  std::string SerializeRequest(const PendingCall& aCall) const;
  void Write(std::string aText);
  void ReadMore();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);
  void OnInputEnd(const boost::system::error_code& aError);
  bool Parse();
  void ExpectResponse();

  /// Counts the bytes that are held for the current response.
  /// \return whether they are within the limits; the call is lost otherwise
  bool CheckSize();

  /// Updates this connection's part of LeafHttpStats::incompleteBytes.
  void SetIncompleteBytes(std::size_t aBytes);

  /// Continues with the next response to the current call.
  /// \return false when too many were skipped; the call is lost then
  bool SkipResponse();
  bool OnResponse();
  /// Applies a notice in a response to the current call's leaf.
  void ApplyNotice(const LeafNotice& aNotice);
  void FinishLost(const char* aStep, const std::string& aDetail);
  void Close();
  void CloseSocket();

  LeafHttpCore& core;
  ILeafConnectionOwner* owner;
  const Endpoint peer;
  boost::asio::ip::tcp::socket socket;
  Stage stage = Stage::kConnecting;
  TimerId connectTimer = 0;
  std::optional<PendingCall> current;
  std::optional<Parser> parser;
  std::string output; ///< unwritten rest of the request during an asynchronous write
  bool writing = false;
  std::array<char, 8192> input;
  boost::beast::flat_buffer buffer;
  std::size_t incompleteBytes = 0; ///< this connection's part of LeafHttpStats::incompleteBytes
  std::size_t skippedResponses = 0;
  bool echoesIds = false;    ///< an earlier response on this connection named its request
  std::string lastSignature; ///< signature of the previous response on this connection
  TimePoint writtenAt;
  TimePoint idleSince;
  Duration idleTimeout;
};

} // namespace yp

#endif
