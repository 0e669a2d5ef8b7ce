#include "framework/network/ihttpserver.h"
#include <array>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

namespace yp {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 8 * 1024;
/// Bytes of pipelined requests kept while a request runs; reading pauses above it.
constexpr std::size_t kMaxReadAhead = 64 * 1024;
/// After an error response the rest of the input is read and dropped for this long. Closing at once would
/// reset the connection, and the client could lose the response.
constexpr std::chrono::milliseconds kLingerTime{ 1000 };
/// Wait after a failed accept, which mostly means that file descriptors have run out.
constexpr std::chrono::milliseconds kAcceptRetry{ 100 };
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kRefused[] =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

Endpoint
ToEndpoint(const tcp::endpoint& aEndpoint)
{
  return Endpoint{ aEndpoint.address().to_string(), aEndpoint.port() };
}

class Connection;

/// State that connections and pending operations share with the server.
struct ServerCore : RefCounted<ServerCore>
{
  ServerCore(asio::io_context& aContext, const HttpServerSettings& aSettings, HttpHandler aHandler)
    : context(aContext)
    , settings(aSettings)
    , handler(std::move(aHandler))
    , acceptor(aContext)
    , retryTimer(aContext)
    , drainTimer(aContext)
  {
  }

  void Remove(const Ref<Connection>& aConnection);
  void ReportIdle();

  asio::io_context& context;
  HttpServerSettings settings;
  HttpHandler handler;
  tcp::acceptor acceptor;
  asio::steady_timer retryTimer;
  asio::steady_timer drainTimer;
  std::set<Ref<Connection>> connections;
  HttpServerCounters counters;
  bool draining = false;
  bool drainGraceOver = false;
  bool stopped = false;
  std::function<void()> onIdle;
};

/// One connection of a client. A single read loop runs all the time: it feeds the parser, or keeps the bytes
/// of later requests while one is running, and thereby notices that the client has gone.
class Connection final : public RefCounted<Connection>
{
public:
  Connection(Ref<ServerCore> aCore, tcp::socket aSocket, const tcp::endpoint& aPeer)
    : core(std::move(aCore))
    , socket(std::move(aSocket))
    , timer(this->core->context)
    , peer(ToEndpoint(aPeer))
  {
  }

  void Start()
  {
    this->ExpectRequest();
    this->ReadMore();
  }

  bool Idle() const { return this->stage == Stage::kIdle; }

  /// Applies changed limits to the next request, if none of it has been received.
  void UpdateLimits()
  {
    if (this->Idle()) {
      this->ExpectRequest();
    }
  }

  void Close()
  {
    if (this->stage == Stage::kClosed) {
      return;
    }
    const Ref<Connection> self(this);
    this->stage = Stage::kClosed;
    error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    this->NotifyGone();
    this->core->Remove(self);
  }

  void RejectIncomplete()
  {
    if (this->stage == Stage::kHeader || this->stage == Stage::kBody) {
      this->Reject(408, "the server stops before the request has arrived");
    }
  }

  void SetOnGone(std::uint64_t aRequest, std::function<void()> aFunction)
  {
    if (this->requestNumber != aRequest || this->stage != Stage::kHandling) {
      if (this->stage == Stage::kClosed) {
        aFunction();
      }
      return;
    }
    if (this->inputEnded) {
      aFunction();
      return;
    }
    this->onGone = std::move(aFunction);
  }

  void Respond(std::uint64_t aRequest, HttpResponse aResponse)
  {
    if (this->requestNumber != aRequest || this->stage != Stage::kHandling) {
      return;
    }
    this->onGone = nullptr;
    try {
      this->Write(std::move(aResponse));
    } catch (const std::exception& error) {
      // The library throws for a header field of 64 KB or more.
      LogEvent(LogLevel::kError,
               "http_response_failed",
               { { "step", "http.respond" }, { "peer", ToString(this->peer) }, { "detail", error.what() } });
      HttpResponse failure;
      failure.status = 500;
      this->Write(std::move(failure));
    }
  }

  asio::io_context& Context() const { return this->core->context; }

private:
  enum class Stage
  {
    kIdle,     ///< no byte of the next request yet
    kHeader,   ///< reading the header
    kBody,     ///< reading the body
    kHandling, ///< the handler works on the request
    kWriting,
    kLingering, ///< the last response is written; dropping input
    kClosed
  };

  void ExpectRequest()
  {
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<std::uint32_t>(this->core->settings.maxHeaderBytes));
    this->parser->body_limit(this->core->settings.maxBodyBytes);
    this->sentContinue = false;
    this->Enter(Stage::kIdle, this->core->settings.idleTimeout);
  }

  void Enter(Stage aStage, std::chrono::milliseconds aTimeout)
  {
    this->stage = aStage;
    const std::uint64_t current = ++this->timerNumber;
    this->timer.expires_after(aTimeout);
    this->timer.async_wait([self = Ref<Connection>(this), current](const error_code& aError) {
      if (!aError && self->timerNumber == current) {
        self->OnTimeout();
      }
    });
  }

  void OnTimeout()
  {
    switch (this->stage) {
      case Stage::kHeader:
      case Stage::kBody:
        this->Reject(408, "the request did not arrive in time");
        return;
      case Stage::kHandling:
      case Stage::kClosed:
        return;
      case Stage::kIdle:
      case Stage::kWriting:
      case Stage::kLingering:
        this->Close();
        return;
    }
  }

  void ReadMore()
  {
    if (this->reading || this->inputEnded || this->stage == Stage::kClosed) {
      return;
    }
    const bool readAhead = this->stage == Stage::kHandling || this->stage == Stage::kWriting;
    if (readAhead && this->buffer.size() >= kMaxReadAhead) {
      return;
    }
    this->reading = true;
    // Not read into the buffer itself: its content may be consumed, and so moved, while the read is pending.
    this->socket.async_read_some(asio::buffer(this->input),
                                 [self = Ref<Connection>(this)](const error_code& aError, std::size_t aSize) {
                                   self->reading = false;
                                   self->OnRead(aError, aSize);
                                 });
  }

  void OnRead(const error_code& aError, std::size_t aSize)
  {
    if (this->stage == Stage::kClosed) {
      return;
    }
    if (aError) {
      this->OnInputEnd();
      return;
    }
    if (this->stage != Stage::kLingering) {
      this->buffer.commit(asio::buffer_copy(this->buffer.prepare(aSize), asio::buffer(this->input, aSize)));
    }
    if (this->stage == Stage::kIdle || this->stage == Stage::kHeader || this->stage == Stage::kBody) {
      this->Parse();
    }
    this->ReadMore();
  }

  /// The client has closed its side. It may still read, so a response in progress is written.
  void OnInputEnd()
  {
    this->inputEnded = true;
    if (this->stage == Stage::kHandling) {
      ++this->core->counters.clientsGone;
      this->NotifyGone();
      return;
    }
    if (this->stage != Stage::kWriting) {
      this->Close();
    }
  }

  void NotifyGone()
  {
    if (!this->onGone) {
      return;
    }
    const std::function<void()> function = std::move(this->onGone);
    this->onGone = nullptr;
    function();
  }

  void Parse()
  {
    if (this->stage == Stage::kIdle && this->buffer.size() != 0) {
      this->Enter(Stage::kHeader, this->core->settings.headerTimeout);
    }
    while (this->buffer.size() != 0 && !this->parser->is_done()) {
      error_code error;
      const std::size_t used = this->parser->put(this->buffer.data(), error);
      this->buffer.consume(used);
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        this->RejectParseError(error);
        return;
      }
      if (used == 0) {
        break;
      }
    }
    if (this->parser->is_done()) {
      this->Handle();
      return;
    }
    // The parser leaves bytes only of an incomplete head, chunk head or trailer, and limits only the first.
    if (this->buffer.size() > this->core->settings.maxHeaderBytes) {
      this->Reject(400, "malformed request: chunk head or trailers larger than the limit of a header");
      return;
    }
    if (this->parser->is_header_done() && this->stage == Stage::kHeader) {
      this->Enter(Stage::kBody, this->core->settings.bodyTimeout);
      this->SendContinue();
    }
  }

  /// Clients such as curl wait for this before they send a large body.
  void SendContinue()
  {
    if (this->sentContinue || this->parser->get().count(http::field::expect) == 0) {
      return;
    }
    this->sentContinue = true;
    error_code ignored;
    // Fits in the empty send buffer; the socket is non-blocking, so this never waits.
    this->socket.write_some(asio::buffer(kContinue, sizeof(kContinue) - 1), ignored);
  }

  void RejectParseError(const error_code& aError)
  {
    if (aError == http::error::header_limit) {
      this->Reject(431, "the header is larger than the limit");
    } else if (aError == http::error::body_limit) {
      this->Reject(413, "the body is larger than the limit");
    } else {
      this->Reject(400, "malformed request: " + aError.message());
    }
  }

  void Reject(unsigned aStatus, const std::string& aDetail)
  {
    ++this->core->counters.badRequests;
    HttpResponse response;
    response.status = aStatus;
    response.headers.push_back({ "Content-Type", "text/plain" });
    response.body = aDetail + "\n";
    response.close = true;
    this->linger = true;
    this->Write(std::move(response));
  }

  HttpRequest TakeRequest()
  {
    auto& message = this->parser->get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(message.body());
    request.peer = this->peer;
    return request;
  }

  void Handle();

  void Write(HttpResponse aResponse)
  {
    const auto& request = this->parser->get();
    const bool keep = !aResponse.close && !this->core->draining && !this->inputEnded && request.keep_alive();
    this->response.emplace();
    const bool validStatus = aResponse.status >= 200 && aResponse.status <= 599;
    this->response->result(validStatus ? aResponse.status : 500);
    // A response to HTTP/1.0 keeps its version, so that its client does not expect the keep-alive of 1.1.
    this->response->version(this->parser->is_header_done() ? request.version() : 11);
    for (const HttpHeader& header : aResponse.headers) {
      this->response->insert(header.name, header.value);
    }
    this->response->body() = std::move(aResponse.body);
    this->response->prepare_payload();
    this->response->keep_alive(keep);
    this->serializer.emplace(*this->response);
    this->Enter(Stage::kWriting, this->core->settings.writeTimeout);
    const auto done = [self = Ref<Connection>(this), keep](const error_code& aError, std::size_t) {
      self->OnWritten(aError, keep);
    };
    if (this->parser->is_header_done() && request.method() == http::verb::head) {
      this->serializer->split(true);
      http::async_write_header(this->socket, *this->serializer, done);
    } else {
      http::async_write(this->socket, *this->serializer, done);
    }
  }

  void OnWritten(const error_code& aError, bool aKeep)
  {
    this->serializer.reset();
    this->response.reset();
    if (this->stage == Stage::kClosed) {
      return;
    }
    if (aError || (this->inputEnded && !this->linger)) {
      this->Close();
      return;
    }
    if (!aKeep) {
      this->Linger();
      return;
    }
    this->ExpectRequest();
    if (this->core->drainGraceOver && this->buffer.size() == 0) {
      this->Close();
      return;
    }
    this->Parse();
    this->ReadMore();
  }

  void Linger()
  {
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (this->inputEnded) {
      this->Close();
      return;
    }
    this->buffer.clear();
    this->Enter(Stage::kLingering, kLingerTime);
    this->ReadMore();
  }

  Ref<ServerCore> core;
  tcp::socket socket;
  asio::steady_timer timer;
  Endpoint peer;
  Stage stage = Stage::kIdle;
  std::array<char, kReadSize> input;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::optional<http::response<http::string_body>> response;
  std::optional<http::response_serializer<http::string_body>> serializer;
  std::function<void()> onGone;
  std::uint64_t requestNumber = 0;
  std::uint64_t timerNumber = 0;
  bool reading = false;
  bool inputEnded = false;
  bool sentContinue = false;
  bool linger = false;
};

/// Ties a response function to its request. Gives 500 when it is dropped without a response.
class Responder final : public IHttpExchange
{
public:
  Responder(Ref<Connection> aConnection, std::uint64_t aRequest)
    : connection(std::move(aConnection))
    , request(aRequest)
  {
  }

  ~Responder() override
  {
    if (!this->answered) {
      HttpResponse response;
      response.status = 500;
      this->Post(std::move(response));
    }
  }

  void Respond(HttpResponse aResponse)
  {
    if (!this->answered.exchange(true)) {
      this->Post(std::move(aResponse));
    }
  }

  void OnClientGone(std::function<void()> aFunction) override
  {
    this->connection->SetOnGone(this->request, std::move(aFunction));
  }

private:
  void Post(HttpResponse aResponse)
  {
    asio::dispatch(
      this->connection->Context(),
      [target = this->connection, number = this->request, response = std::move(aResponse)]() mutable {
        target->Respond(number, std::move(response));
      });
  }

  Ref<Connection> connection;
  std::uint64_t request;
  std::atomic<bool> answered{ false };
};

/// The exchange that a handler sees. It does not keep the responder alive, so that a handler which keeps its
/// request but drops the response function still lets the client get its 500.
class ExchangeView final : public IHttpExchange
{
public:
  explicit ExchangeView(std::weak_ptr<Responder> aResponder)
    : responder(std::move(aResponder))
  {
  }

  void OnClientGone(std::function<void()> aFunction) override
  {
    const std::shared_ptr<Responder> target = this->responder.lock();
    if (target) {
      target->OnClientGone(std::move(aFunction));
    }
  }

private:
  std::weak_ptr<Responder> responder;
};

void
Connection::Handle()
{
  this->timer.cancel();
  ++this->timerNumber;
  this->stage = Stage::kHandling;
  ++this->core->counters.requests;
  const auto responder = std::make_shared<Responder>(Ref<Connection>(this), ++this->requestNumber);
  HttpRequest request = this->TakeRequest();
  request.exchange = std::make_shared<ExchangeView>(responder);
  try {
    this->core->handler(std::move(request),
                        [responder](HttpResponse aResponse) { responder->Respond(std::move(aResponse)); });
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "http_handler_failed", { { "detail", error.what() } });
    HttpResponse response;
    response.status = 500;
    responder->Respond(std::move(response));
  }
}

void
ServerCore::Remove(const Ref<Connection>& aConnection)
{
  this->connections.erase(aConnection);
  this->ReportIdle();
}

void
ServerCore::ReportIdle()
{
  if (!this->draining || this->stopped || !this->connections.empty() || !this->onIdle) {
    return;
  }
  asio::post(this->context, [self = Ref<ServerCore>(this), function = std::move(this->onIdle)] {
    if (!self->stopped) {
      function();
    }
  });
  this->onIdle = nullptr;
  this->drainTimer.cancel();
}

class HttpServer final : public IHttpServer
{
public:
  explicit HttpServer(Ref<ServerCore> aCore)
    : core(std::move(aCore))
  {
    error_code ignored;
    this->local = ToEndpoint(this->core->acceptor.local_endpoint(ignored));
    AcceptNext(this->core);
  }

  ~HttpServer() override
  {
    this->core->stopped = true;
    error_code ignored;
    this->core->acceptor.close(ignored);
    this->core->retryTimer.cancel();
    this->core->drainTimer.cancel();
    CloseAll(*this->core, [](const Connection&) { return true; });
  }

  Endpoint LocalEndpoint() const override { return this->local; }

  void Drain(std::chrono::milliseconds aIdleGrace, std::function<void()> aOnIdle) override
  {
    if (this->core->draining) {
      return;
    }
    this->core->draining = true;
    this->core->onIdle = std::move(aOnIdle);
    AcceptQueued(this->core);
    error_code ignored;
    this->core->acceptor.close(ignored);
    this->core->retryTimer.cancel();
    this->core->drainTimer.expires_after(aIdleGrace);
    this->core->drainTimer.async_wait([core = this->core](const error_code& aError) {
      if (!aError) {
        core->drainGraceOver = true;
        CloseAll(*core, [](const Connection& aConnection) { return aConnection.Idle(); });
      }
    });
    this->core->ReportIdle();
  }

  void RejectIncomplete() override
  {
    const std::set<Ref<Connection>> all = this->core->connections;
    for (const Ref<Connection>& connection : all) {
      connection->RejectIncomplete();
    }
  }

  void SetLimits(const HttpServerSettings& aSettings) override
  {
    HttpServerSettings& own = this->core->settings;
    own.maxHeaderBytes = aSettings.maxHeaderBytes;
    own.maxBodyBytes = aSettings.maxBodyBytes;
    own.headerTimeout = aSettings.headerTimeout;
    own.idleTimeout = aSettings.idleTimeout;
    for (const Ref<Connection>& connection : this->core->connections) {
      connection->UpdateLimits();
    }
  }

  HttpServerCounters Counters() const override
  {
    HttpServerCounters counters = this->core->counters;
    counters.connections = this->core->connections.size();
    return counters;
  }

private:
  template<class Predicate>
  static void CloseAll(ServerCore& aCore, Predicate aPredicate)
  {
    const std::set<Ref<Connection>> all = aCore.connections;
    for (const Ref<Connection>& connection : all) {
      if (aPredicate(*connection)) {
        connection->Close();
      }
    }
  }

  static void AcceptNext(const Ref<ServerCore>& aCore)
  {
    aCore->acceptor.async_accept([aCore](const error_code& aError, tcp::socket aSocket) {
      if (aCore->draining || aCore->stopped) {
        // A connection accepted in the moment of the drain may carry a request.
        if (!aError && !aCore->stopped) {
          Admit(aCore, std::move(aSocket));
        }
        return;
      }
      if (aError) {
        RetryAccept(aCore);
        return;
      }
      AcceptNext(aCore);
      Admit(aCore, std::move(aSocket));
    });
  }

  static void RetryAccept(const Ref<ServerCore>& aCore)
  {
    aCore->retryTimer.expires_after(kAcceptRetry);
    aCore->retryTimer.async_wait([aCore](const error_code& aError) {
      if (!aError && aCore->acceptor.is_open()) {
        AcceptNext(aCore);
      }
    });
  }

  /// Closing the listening socket would reset connections that wait in its queue.
  static void AcceptQueued(const Ref<ServerCore>& aCore)
  {
    error_code error;
    aCore->acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(aCore->context);
      aCore->acceptor.accept(socket, error);
      if (!error) {
        Admit(aCore, std::move(socket));
      }
    }
  }

  static void Admit(const Ref<ServerCore>& aCore, tcp::socket aSocket)
  {
    error_code error;
    const tcp::endpoint peer = aSocket.remote_endpoint(error);
    if (error) {
      return;
    }
    aSocket.non_blocking(true, error);
    aSocket.set_option(tcp::no_delay(true), error);
    if (aCore->connections.size() >= aCore->settings.maxConnections) {
      ++aCore->counters.refused;
      aSocket.write_some(asio::buffer(kRefused, sizeof(kRefused) - 1), error);
      aSocket.shutdown(tcp::socket::shutdown_send, error);
      return;
    }
    ++aCore->counters.accepted;
    const Ref<Connection> connection(new Connection(aCore, std::move(aSocket), peer));
    aCore->connections.insert(connection);
    connection->Start();
  }

  Ref<ServerCore> core;
  Endpoint local;
};

Result<void>
Listen(tcp::acceptor& aAcceptor, const HttpServerSettings& aSettings)
{
  using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  const std::string name = ToString(aSettings.listen);
  error_code error;
  const asio::ip::address address = asio::ip::make_address(aSettings.listen.address, error);
  if (error) {
    return Fail(ErrorCode::kBadInput, "http.listen", name, "not a numeric IP address");
  }
  const tcp::endpoint endpoint(address, aSettings.listen.port);
  aAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error && aSettings.reusePort) {
    aAcceptor.set_option(ReusePort(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable, "http.listen", name, error.message());
  }
  return {};
}

} // namespace

Result<std::unique_ptr<IHttpServer>>
StartHttpServer(asio::io_context& aContext, const HttpServerSettings& aSettings, HttpHandler aHandler)
{
  const Ref<ServerCore> core(new ServerCore(aContext, aSettings, std::move(aHandler)));
  BOOST_LEAF_CHECK(Listen(core->acceptor, aSettings));
  return std::unique_ptr<IHttpServer>(std::make_unique<HttpServer>(core));
}

} // namespace yp
