#include "framecodec.h"
#include "linkstate.h"
#include "peer/peer.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace yp {

namespace {

namespace asio = boost::asio;
namespace ws = websocketpp;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Peers that do not name it are no nodes of this system, or of another protocol version.
constexpr const char* kSubprotocol = "yuccaspool.1";
constexpr const char* kLinkStep = "peer.link";
constexpr const char* kSendStep = "peer.send";
constexpr int kSweepsPerTimeout = 5;
constexpr std::chrono::milliseconds kShortestSweep{ 10 };

// NOLINTBEGIN(readability-identifier-naming): names required by websocketpp
/// Without locks, since one thread runs the context, and without websocketpp's own log.
struct PeerConfig : ws::config::asio_client
{
  using type = PeerConfig;
  using base = ws::config::asio_client;
  using concurrency_type = ws::concurrency::none;
  using request_type = base::request_type;
  using response_type = base::response_type;
  using message_type = base::message_type;
  using con_msg_manager_type = base::con_msg_manager_type;
  using endpoint_msg_manager_type = base::endpoint_msg_manager_type;
  using alog_type = ws::log::stub;
  using elog_type = ws::log::stub;
  using rng_type = ws::random::random_device::int_generator<std::uint32_t, concurrency_type>;

  struct transport_config : base::transport_config
  {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = ws::transport::asio::basic_socket::endpoint;
    static const bool enable_multithreading = false;
    static const long timeout_socket_shutdown = 1000;
  };

  using transport_type = ws::transport::asio::endpoint<transport_config>;
  static const long timeout_close_handshake = 1000;
};
// NOLINTEND(readability-identifier-naming)

using Client = ws::client<PeerConfig>;
using Server = ws::server<PeerConfig>;
using Connection = ws::connection<PeerConfig>;
using ConnectionPtr = Connection::ptr;

struct Link
{
  LinkId id = 0;
  ConnectionPtr connection;
  LinkState state;
  bool outbound = false;
  LinkPurpose purpose = LinkPurpose::kOverlay;
  std::string peer;
  TimePoint opened;
  TimePoint lastHeard;
  TimePoint lastPing;
};

constexpr const char* kOverlayResource = "/overlay";
constexpr const char* kCallsResource = "/calls";

/// Receivers of the events of links of one purpose.
struct LinkHandlers
{
  std::vector<IPeerNetwork::LinkUpHandler> up;
  std::vector<IPeerNetwork::LinkDownHandler> down;
};

const char*
ResourceOf(LinkPurpose aPurpose)
{
  return aPurpose == LinkPurpose::kOverlay ? kOverlayResource : kCallsResource;
}

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// State shared with the handlers of the connections. The endpoints' handlers hold a count of it, so Shutdown
/// clears them; connections hold copies until they end.
class PeerCore final : public RefCounted<PeerCore>
{
public:
  PeerCore(asio::io_context& aContext, const PeerSettings& aSettings)
    : context(aContext)
    , settings(aSettings)
    , sweepTimer(aContext)
    , lastSweep(Now())
  {
  }

  Result<void> Start()
  {
    const std::string name = ToString(this->settings.listen);
    error_code error;
    const asio::ip::address address = asio::ip::make_address(this->settings.listen.address, error);
    if (error) {
      return Fail(ErrorCode::kBadInput, "peer.listen", name, "not a numeric IP address");
    }
    this->client.init_asio(&this->context, error);
    this->server.init_asio(&this->context, error);
    this->server.set_reuse_addr(true);
    this->server.listen(tcp::endpoint(address, this->settings.listen.port), error);
    if (error) {
      return Fail(ErrorCode::kUnavailable,
                  "peer.listen",
                  name,
                  "the port cannot be opened; it may be in use: " + error.message());
    }
    this->SetHandlers(this->client);
    this->SetHandlers(this->server);
    const Ref<PeerCore> self(this);
    this->server.set_validate_handler([self](ws::connection_hdl aHandle) { return self->Validate(aHandle); });
    this->server.start_accept(error);
    if (error) {
      this->Shutdown();
      return Fail(ErrorCode::kUnavailable,
                  "peer.listen",
                  name,
                  "the port cannot be opened; it may be in use: " + error.message());
    }
    this->ScheduleSweep();
    return {};
  }

  void Shutdown()
  {
    this->stopped = true;
    this->sweepTimer.cancel();
    error_code ignored;
    this->server.stop_listening(ignored);
    ClearHandlers(this->client);
    ClearHandlers(this->server);
    this->server.set_validate_handler(nullptr);
    this->frameHandlers.clear();
    this->linkHandlers.clear();
    while (!this->links.empty()) {
      Abort(*this->Remove(this->links.begin()->first));
    }
  }

  LinkId Open(const Endpoint& aEndpoint, LinkPurpose aPurpose)
  {
    const LinkId id = ++this->lastLink;
    error_code error;
    asio::ip::make_address(aEndpoint.address, error);
    if (error) {
      this->ReportLater(
        id,
        aPurpose,
        Error{ ErrorCode::kBadInput, kLinkStep, ToString(aEndpoint), "not a numeric IP address" });
      return id;
    }
    const ConnectionPtr connection =
      this->client.get_connection("ws://" + ToString(aEndpoint) + ResourceOf(aPurpose), error);
    if (error) {
      this->ReportLater(
        id, aPurpose, Error{ ErrorCode::kBadInput, kLinkStep, ToString(aEndpoint), error.message() });
      return id;
    }
    connection->add_subprotocol(kSubprotocol, error);
    this->AddLink(id, connection, true, ToString(aEndpoint)).purpose = aPurpose;
    this->client.connect(connection);
    return id;
  }

  void Close(LinkId aLink)
  {
    const std::unique_ptr<Link> link = this->Remove(aLink);
    if (!link) {
      return;
    }
    error_code error;
    if (link->connection->get_state() == ws::session::state::open) {
      // Frames queued before are still sent.
      link->connection->close(ws::close::status::normal, "", error);
    }
    if (error || link->connection->get_state() == ws::session::state::connecting) {
      Abort(*link);
    }
  }

  Result<void> Send(LinkId aLink, const PeerFrame& aFrame)
  {
    const auto found = this->links.find(aLink);
    if (found == this->links.end() || found->second->state.Phase() != LinkPhase::kEstablished) {
      return Fail(ErrorCode::kNotFound, kSendStep, "", "the link is not established");
    }
    Link& link = *found->second;
    const std::string bytes = EncodeFrame(aFrame);
    if (bytes.size() > this->settings.maxMessageBytes) {
      return Fail(ErrorCode::kBadInput, kSendStep, link.peer, "the frame is larger than a message may be");
    }
    if (link.connection->get_buffered_amount() + bytes.size() > this->settings.maxQueuedBytes) {
      ++this->counters.overloads;
      return Fail(ErrorCode::kOverloaded, kSendStep, link.peer, "the send queue is full");
    }
    const error_code error = link.connection->send(bytes, ws::frame::opcode::binary);
    if (error) {
      return Fail(ErrorCode::kNotFound, kSendStep, link.peer, error.message());
    }
    ++this->counters.framesOut;
    this->counters.bytesOut += bytes.size();
    return {};
  }

  void OnFrame(const std::string& aType, IPeerNetwork::FrameHandler aHandler)
  {
    this->frameHandlers[aType] = std::move(aHandler);
  }

  void OnLink(LinkPurpose aPurpose, IPeerNetwork::LinkUpHandler aUp, IPeerNetwork::LinkDownHandler aDown)
  {
    LinkHandlers& handlers = this->linkHandlers[aPurpose];
    handlers.up.push_back(std::move(aUp));
    handlers.down.push_back(std::move(aDown));
  }

  Endpoint LocalEndpoint()
  {
    error_code ignored;
    const tcp::endpoint local = this->server.get_local_endpoint(ignored);
    return Endpoint{ local.address().to_string(), local.port() };
  }

  PeerCounters Counters() const
  {
    PeerCounters result = this->counters;
    for (const auto& [id, link] : this->links) {
      result.links += link->state.Phase() == LinkPhase::kEstablished ? 1 : 0;
    }
    return result;
  }

private:
  template<class EndpointType>
  void SetHandlers(EndpointType& aEndpoint)
  {
    const Ref<PeerCore> self(this);
    aEndpoint.set_max_message_size(this->settings.maxMessageBytes);
    aEndpoint.set_open_handshake_timeout(static_cast<long>(this->settings.connectTimeout.count()));
    aEndpoint.set_tcp_post_init_handler([self](ws::connection_hdl aHandle) { self->OnConnected(aHandle); });
    aEndpoint.set_open_handler([self](ws::connection_hdl aHandle) { self->OnEstablished(aHandle); });
    aEndpoint.set_fail_handler([self](ws::connection_hdl aHandle) { self->OnEnded(aHandle); });
    aEndpoint.set_close_handler([self](ws::connection_hdl aHandle) { self->OnEnded(aHandle); });
    aEndpoint.set_ping_handler([self](ws::connection_hdl aHandle, const std::string&) {
      self->NoteHeard(aHandle);
      return true;
    });
    aEndpoint.set_pong_handler(
      [self](ws::connection_hdl aHandle, const std::string&) { self->NoteHeard(aHandle); });
    aEndpoint.set_message_handler(
      [self](ws::connection_hdl aHandle, const Connection::message_ptr& aMessage) {
        self->OnMessage(aHandle, *aMessage);
      });
  }

  template<class EndpointType>
  static void ClearHandlers(EndpointType& aEndpoint)
  {
    aEndpoint.set_tcp_post_init_handler(nullptr);
    aEndpoint.set_open_handler(nullptr);
    aEndpoint.set_fail_handler(nullptr);
    aEndpoint.set_close_handler(nullptr);
    aEndpoint.set_ping_handler(nullptr);
    aEndpoint.set_pong_handler(nullptr);
    aEndpoint.set_message_handler(nullptr);
  }

  Link& AddLink(LinkId aId, const ConnectionPtr& aConnection, bool aOutbound, std::string aPeer)
  {
    auto link = std::make_unique<Link>();
    link->id = aId;
    link->connection = aConnection;
    link->outbound = aOutbound;
    link->peer = std::move(aPeer);
    link->opened = Now();
    link->lastHeard = link->opened;
    link->lastPing = link->opened;
    this->byConnection[aConnection.get()] = aId;
    return *(this->links[aId] = std::move(link));
  }

  std::unique_ptr<Link> Remove(LinkId aLink)
  {
    const auto found = this->links.find(aLink);
    if (found == this->links.end()) {
      return nullptr;
    }
    std::unique_ptr<Link> link = std::move(found->second);
    this->links.erase(found);
    this->byConnection.erase(link->connection.get());
    link->state.Close();
    return link;
  }

  Link* Find(const ws::connection_hdl& aHandle)
  {
    const auto found = this->byConnection.find(aHandle.lock().get());
    return found == this->byConnection.end() ? nullptr : this->links[found->second].get();
  }

  /// Ends a connection at once, whatever state it is in.
  static void Abort(const Link& aLink)
  {
    error_code ignored;
    aLink.connection->terminate(ws::error::make_error_code(ws::error::operation_canceled));
    // A connect in progress is only ended by closing the socket.
    aLink.connection->get_raw_socket().close(ignored);
  }

  void ReportLater(LinkId aLink, LinkPurpose aPurpose, Error aError)
  {
    asio::post(this->context, [self = Ref<PeerCore>(this), aLink, aPurpose, error = std::move(aError)] {
      self->ReportDown(aLink, aPurpose, error);
    });
  }

  void ReportDown(LinkId aLink, LinkPurpose aPurpose, const Error& aError)
  {
    const std::vector<IPeerNetwork::LinkDownHandler> handlers = this->linkHandlers[aPurpose].down;
    for (const IPeerNetwork::LinkDownHandler& handler : handlers) {
      handler(aLink, aError);
    }
  }

  /// Removes a link and reports it, unless nobody has heard of it.
  void Drop(LinkId aLink, ErrorCode aCode, std::string aDetail)
  {
    const auto found = this->links.find(aLink);
    if (found == this->links.end()) {
      return;
    }
    const bool known = found->second->outbound || found->second->state.Phase() == LinkPhase::kEstablished;
    const std::unique_ptr<Link> link = this->Remove(aLink);
    Abort(*link);
    if (known) {
      this->ReportDown(aLink, link->purpose, Error{ aCode, kLinkStep, link->peer, std::move(aDetail) });
    }
  }

  bool Validate(const ws::connection_hdl& aHandle)
  {
    Link* link = this->Find(aHandle);
    if (link == nullptr) {
      return false;
    }
    std::size_t inbound = 0;
    for (const auto& [id, other] : this->links) {
      inbound += other->outbound ? 0 : 1;
    }
    if (inbound > this->settings.maxInbound) {
      ++this->counters.refusedInbound;
      link->connection->set_status(ws::http::status_code::service_unavailable);
      return false;
    }
    const std::string& resource = link->connection->get_resource();
    error_code error;
    link->connection->select_subprotocol(kSubprotocol, error);
    if (error || (resource != kOverlayResource && resource != kCallsResource)) {
      ++this->counters.refusedInbound;
      return false;
    }
    link->purpose = resource == kCallsResource ? LinkPurpose::kCalls : LinkPurpose::kOverlay;
    return true;
  }

  void OnConnected(const ws::connection_hdl& aHandle)
  {
    if (this->stopped) {
      return;
    }
    Link* link = this->Find(aHandle);
    if (link == nullptr) {
      const ConnectionPtr connection = std::static_pointer_cast<Connection>(aHandle.lock());
      if (!connection->is_server()) {
        return;
      }
      link = &this->AddLink(++this->lastLink, connection, false, connection->get_remote_endpoint());
    }
    error_code ignored;
    link->connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
    link->state.Connected();
  }

  void OnEstablished(const ws::connection_hdl& aHandle)
  {
    Link* link = this->Find(aHandle);
    if (link == nullptr || !link->state.HandshakeDone()) {
      return;
    }
    link->lastHeard = Now();
    const LinkId id = link->id;
    const bool outbound = link->outbound;
    const std::vector<IPeerNetwork::LinkUpHandler> handlers = this->linkHandlers[link->purpose].up;
    for (const IPeerNetwork::LinkUpHandler& handler : handlers) {
      handler(id, outbound);
    }
  }

  void OnEnded(const ws::connection_hdl& aHandle)
  {
    const Link* link = this->Find(aHandle);
    if (link == nullptr) {
      return;
    }
    const error_code reason = link->connection->get_ec();
    ErrorCode code = ErrorCode::kConnection;
    if (reason == ws::error::make_error_code(ws::error::open_handshake_timeout)) {
      code = ErrorCode::kTimeout;
    } else if (link->state.Phase() == LinkPhase::kConnecting) {
      code = ErrorCode::kUnavailable;
    }
    this->Drop(link->id, code, reason.message());
  }

  void NoteHeard(const ws::connection_hdl& aHandle)
  {
    Link* link = this->Find(aHandle);
    if (link != nullptr) {
      link->lastHeard = Now();
    }
  }

  void OnMessage(const ws::connection_hdl& aHandle, const Connection::message_ptr::element_type& aMessage)
  {
    Link* link = this->Find(aHandle);
    if (link == nullptr) {
      return;
    }
    link->lastHeard = Now();
    const LinkId id = link->id;
    ++this->counters.framesIn;
    this->counters.bytesIn += aMessage.get_payload().size();
    Recover(
      [&]() -> Result<void> {
        if (aMessage.get_opcode() != ws::frame::opcode::binary) {
          return Fail(ErrorCode::kBadInput, "peer.frame", "", "not a binary frame");
        }
        BOOST_LEAF_AUTO(frame, DecodeFrame(aMessage.get_payload(), this->settings.maxMessageBytes));
        this->Deliver(id, frame);
        return {};
      },
      [&](const Error& aError) {
        ++this->counters.malformedFrames;
        this->Drop(id, ErrorCode::kBadInput, "malformed frame: " + aError.detail);
      });
  }

  void Deliver(LinkId aLink, const PeerFrame& aFrame)
  {
    const auto found = this->frameHandlers.find(aFrame.type);
    if (found == this->frameHandlers.end()) {
      ++this->counters.unknownFrames;
      return;
    }
    const IPeerNetwork::FrameHandler handler = found->second;
    handler(aLink, aFrame);
  }

  void ScheduleSweep()
  {
    const std::chrono::milliseconds shortest =
      std::min({ this->settings.silenceTimeout, this->settings.connectTimeout, this->settings.pingInterval });
    this->sweepTimer.expires_after(std::max(shortest / kSweepsPerTimeout, kShortestSweep));
    this->sweepTimer.async_wait([self = Ref<PeerCore>(this)](const error_code& aError) {
      if (aError || self->stopped) {
        return;
      }
      self->Sweep();
      if (!self->stopped) {
        self->ScheduleSweep();
      }
    });
  }

  void Sweep()
  {
    const TimePoint now = Now();
    // After a pause of this process the silence was its own: what the peers sent is still to be read.
    const bool paused = now - this->lastSweep > this->settings.silenceTimeout / 2;
    this->lastSweep = now;
    std::vector<LinkId> ids;
    for (const auto& [id, link] : this->links) {
      ids.push_back(id);
      if (paused) {
        link->lastHeard = now;
      }
    }
    for (const LinkId id : ids) {
      const auto found = this->links.find(id);
      if (found != this->links.end()) {
        this->Check(*found->second, now);
      }
    }
  }

  void Check(Link& aLink, TimePoint aNow)
  {
    if (aLink.state.Phase() != LinkPhase::kEstablished) {
      if (aNow - aLink.opened > this->settings.connectTimeout) {
        this->Drop(aLink.id, ErrorCode::kTimeout, "not established in time");
      }
      return;
    }
    if (aNow - aLink.lastHeard > this->settings.silenceTimeout) {
      ++this->counters.silentLinks;
      this->Drop(aLink.id, ErrorCode::kTimeout, "nothing heard from the peer");
      return;
    }
    if (aNow - aLink.lastPing >= this->settings.pingInterval) {
      aLink.lastPing = aNow;
      error_code ignored;
      aLink.connection->ping("", ignored);
    }
  }

  asio::io_context& context;
  PeerSettings settings;
  Client client;
  Server server;
  asio::steady_timer sweepTimer;
  TimePoint lastSweep;
  LinkId lastLink = 0;
  std::map<LinkId, std::unique_ptr<Link>> links;
  std::unordered_map<void*, LinkId> byConnection;
  std::map<std::string, IPeerNetwork::FrameHandler> frameHandlers;
  std::map<LinkPurpose, LinkHandlers> linkHandlers;
  PeerCounters counters;
  bool stopped = false;
};

class PeerTransport final : public IPeerTransport
{
public:
  explicit PeerTransport(Ref<PeerCore> aCore)
    : core(std::move(aCore))
  {
  }
  ~PeerTransport() override { this->core->Shutdown(); }

  LinkId Open(const Endpoint& aEndpoint, LinkPurpose aPurpose) override
  {
    return this->core->Open(aEndpoint, aPurpose);
  }
  void Close(LinkId aLink) override { this->core->Close(aLink); }
  Result<void> Send(LinkId aLink, const PeerFrame& aFrame) override
  {
    return this->core->Send(aLink, aFrame);
  }
  void OnFrame(const std::string& aType, FrameHandler aHandler) override
  {
    this->core->OnFrame(aType, std::move(aHandler));
  }
  void OnLink(LinkPurpose aPurpose, LinkUpHandler aUp, LinkDownHandler aDown) override
  {
    this->core->OnLink(aPurpose, std::move(aUp), std::move(aDown));
  }
  Endpoint LocalEndpoint() const override { return this->core->LocalEndpoint(); }
  PeerCounters Counters() const override { return this->core->Counters(); }

private:
  Ref<PeerCore> core;
};

} // namespace

Result<std::unique_ptr<IPeerTransport>>
StartPeerTransport(asio::io_context& aContext, const PeerSettings& aSettings)
{
  const Ref<PeerCore> core(new PeerCore(aContext, aSettings));
  BOOST_LEAF_CHECK(core->Start());
  return std::unique_ptr<IPeerTransport>(std::make_unique<PeerTransport>(core));
}

} // namespace yp
