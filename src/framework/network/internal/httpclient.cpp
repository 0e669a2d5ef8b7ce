#include "framework/network/ihttpclient.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace yp {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr const char* kConnectStep = "http.connect";
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
constexpr std::size_t kMaxInterimResponses = 16;
constexpr const char* kResponseStep = "http.response";

struct IdleSocket
{
  tcp::socket socket;
  TimePoint since;
};

class Exchange;

struct ClientCore : RefCounted<ClientCore>
{
  ClientCore(asio::io_context& aContext, const HttpClientSettings& aSettings)
    : context(aContext)
    , settings(aSettings)
  {
  }

  /// \return an open connection that was used before, or nothing
  std::optional<tcp::socket> TakeIdle(const Endpoint& aEndpoint)
  {
    const auto found = this->idle.find(aEndpoint);
    if (found == this->idle.end()) {
      return std::nullopt;
    }
    std::deque<IdleSocket>& sockets = found->second;
    while (!sockets.empty()) {
      IdleSocket candidate = std::move(sockets.back());
      sockets.pop_back();
      if (StillOpen(candidate) &&
          std::chrono::steady_clock::now() - candidate.since < this->settings.idleTimeout) {
        return std::move(candidate.socket);
      }
    }
    this->idle.erase(found);
    return std::nullopt;
  }

  void PutIdle(const Endpoint& aEndpoint, tcp::socket aSocket)
  {
    if (this->closed || this->settings.maxIdlePerEndpoint == 0) {
      return;
    }
    std::deque<IdleSocket>& sockets = this->idle[aEndpoint];
    if (sockets.size() >= this->settings.maxIdlePerEndpoint) {
      sockets.pop_front();
    }
    sockets.push_back({ std::move(aSocket), std::chrono::steady_clock::now() });
  }

  asio::io_context& context;
  HttpClientSettings settings;
  std::map<Endpoint, std::deque<IdleSocket>> idle; ///< most recently used last
  std::set<Ref<Exchange>> running;
  bool closed = false;

private:
  /// An idle connection must have nothing to read: neither an end nor an unasked response.
  static bool StillOpen(IdleSocket& aIdle)
  {
    char byte = 0;
    error_code error;
    aIdle.socket.non_blocking(true, error);
    aIdle.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }
};

/// One request with its response.
class Exchange final : public RefCounted<Exchange>
{
public:
  Exchange(Ref<ClientCore> aCore,
           Endpoint aEndpoint,
           HttpRequest aRequest,
           TimePoint aDeadline,
           IHttpClient::Handler aHandler)
    : core(std::move(aCore))
    , endpoint(std::move(aEndpoint))
    , deadline(aDeadline)
    , handler(std::move(aHandler))
    , socket(this->core->context)
    , timer(this->core->context)
  {
    this->Prepare(aRequest);
  }

  void Start()
  {
    error_code error;
    const asio::ip::address address = asio::ip::make_address(this->endpoint.address, error);
    if (error) {
      this->Finish(this->MakeError(ErrorCode::kBadInput, kConnectStep, "not a numeric IP address"));
      return;
    }
    this->remote = tcp::endpoint(address, this->endpoint.port);
    std::optional<tcp::socket> idle = this->core->TakeIdle(this->endpoint);
    if (!idle) {
      this->Connect();
      return;
    }
    this->socket = std::move(*idle);
    this->reused = true;
    this->ArmTimer(this->deadline);
    this->Write();
  }

  /// Ends the exchange without a call of the handler.
  void Abandon()
  {
    this->handler = nullptr;
    this->finished = true;
    error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
  }

private:
  void Prepare(HttpRequest& aRequest)
  {
    this->request.version(11);
    this->request.method_string(aRequest.method);
    this->request.target(aRequest.target);
    for (const HttpHeader& header : aRequest.headers) {
      this->request.insert(header.name, header.value);
    }
    this->request.set(http::field::host, ToString(this->endpoint));
    this->request.body() = std::move(aRequest.body);
    this->request.prepare_payload();
  }

  void Connect()
  {
    const TimePoint limit = std::chrono::steady_clock::now() + this->core->settings.connectTimeout;
    this->connecting = true;
    this->ArmTimer(std::min(limit, this->deadline));
    this->socket = tcp::socket(this->core->context);
    this->socket.async_connect(this->remote, [self = Ref<Exchange>(this)](const error_code& aError) {
      if (!self->finished) {
        self->OnConnected(aError);
      }
    });
  }

  void OnConnected(const error_code& aError)
  {
    if (aError) {
      this->Finish(this->MakeError(ErrorCode::kUnavailable, kConnectStep, aError.message()));
      return;
    }
    this->connecting = false;
    error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->ArmTimer(this->deadline);
    this->Write();
  }

  void ArmTimer(TimePoint aWhen)
  {
    const std::uint64_t current = ++this->timerNumber;
    this->timer.expires_at(aWhen);
    this->timer.async_wait([self = Ref<Exchange>(this), current](const error_code& aError) {
      if (aError || self->finished || self->timerNumber != current) {
        return;
      }
      const char* step = self->connecting ? kConnectStep : kResponseStep;
      self->Finish(self->MakeError(ErrorCode::kTimeout, step, "no complete reply before the deadline"));
    });
  }

  void Write()
  {
    http::async_write(
      this->socket, this->request, [self = Ref<Exchange>(this)](const error_code& aError, std::size_t) {
        if (!self->finished) {
          self->OnWritten(aError);
        }
      });
  }

  void OnWritten(const error_code& aError)
  {
    // A server may answer and close before it has read all of a request that it refuses.
    this->writeFailed = static_cast<bool>(aError);
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->core->settings.maxHeaderBytes));
    this->parser->body_limit(this->core->settings.maxBodyBytes);
    this->parser->skip(this->request.method() == http::verb::head);
    this->Read();
  }

  void Read()
  {
    http::async_read_header(this->socket,
                            this->buffer,
                            *this->parser,
                            [self = Ref<Exchange>(this)](const error_code& aError, std::size_t) {
                              if (!self->finished) {
                                self->OnHead(aError);
                              }
                            });
  }

  /// The status is checked before the body, which may extend to the end of the connection.
  void OnHead(const error_code& aError)
  {
    if (aError) {
      this->OnReadFailed(aError);
      return;
    }
    const unsigned status = this->parser->get().result_int();
    if (!IsResponseStatus(status)) {
      this->Finish(this->MakeError(ErrorCode::kBadInput, kResponseStep, "status " + std::to_string(status)));
      return;
    }
    this->ReadBody();
  }

  void ReadBody()
  {
    http::async_read(this->socket,
                     this->buffer,
                     *this->parser,
                     [self = Ref<Exchange>(this)](const error_code& aError, std::size_t) {
                       if (!self->finished) {
                         self->OnRead(aError);
                       }
                     });
  }

  void OnRead(const error_code& aError)
  {
    if (aError) {
      this->OnReadFailed(aError);
      return;
    }
    auto& message = this->parser->get();
    if (message.result_int() >= 100 && message.result_int() < 200) {
      if (++this->interimResponses > kMaxInterimResponses) {
        this->Finish(this->MakeError(ErrorCode::kBadInput, kResponseStep, "too many interim responses"));
        return;
      }
      this->OnWritten({});
      return;
    }
    HttpResponse response;
    response.status = message.result_int();
    for (const auto& field : message) {
      response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    response.body = std::move(message.body());
    response.close = !message.keep_alive() || this->writeFailed || this->buffer.size() != 0;
    if (!response.close) {
      this->core->PutIdle(this->endpoint, std::move(this->socket));
    }
    this->Finish(std::move(response));
  }

  void OnReadFailed(const error_code& aError)
  {
    const bool untouched = !this->parser->got_some() && this->buffer.size() == 0;
    if (this->reused && untouched && this->request.method() == http::verb::get) {
      this->reused = false;
      this->Connect();
      return;
    }
    const bool framing = aError.category() == make_error_code(http::error::bad_method).category() &&
                         aError != http::error::end_of_stream && aError != http::error::partial_message;
    const ErrorCode code = framing ? ErrorCode::kBadInput : ErrorCode::kConnection;
    const char* step = aError == http::error::body_limit ? kHttpSizeStep : kResponseStep;
    this->Finish(this->MakeError(code, step, aError.message()));
  }

  Error MakeError(ErrorCode aCode, const char* aStep, std::string aDetail) const
  {
    return Error{ aCode, aStep, ToString(this->endpoint), std::move(aDetail) };
  }

  void Finish(IHttpClient::Reply aReply)
  {
    const Ref<Exchange> self(this);
    const IHttpClient::Handler call = std::move(this->handler);
    this->Abandon();
    this->core->running.erase(self);
    if (call) {
      call(std::move(aReply));
    }
  }

  Ref<ClientCore> core;
  Endpoint endpoint;
  TimePoint deadline;
  IHttpClient::Handler handler;
  tcp::socket socket;
  asio::steady_timer timer;
  tcp::endpoint remote;
  http::request<http::string_body> request;
  /// Holds unparsed bytes; a longer chunk head or trailer is an error.
  boost::beast::flat_buffer buffer{ kMaxUnparsedBytes };
  std::size_t interimResponses = 0;
  std::optional<http::response_parser<http::string_body>> parser;
  std::uint64_t timerNumber = 0;
  bool connecting = false;
  bool reused = false;
  bool writeFailed = false;
  bool finished = false;
};

class HttpClient final : public IHttpClient
{
public:
  HttpClient(asio::io_context& aContext, const HttpClientSettings& aSettings)
    : core(new ClientCore(aContext, aSettings))
  {
  }

  ~HttpClient() override
  {
    this->core->closed = true;
    this->core->idle.clear();
    const std::set<Ref<Exchange>> running = std::move(this->core->running);
    this->core->running.clear();
    for (const Ref<Exchange>& exchange : running) {
      exchange->Abandon();
    }
  }

  void Send(const Endpoint& aEndpoint, HttpRequest aRequest, TimePoint aDeadline, Handler aHandler) override
  {
    const Ref<Exchange> exchange(
      new Exchange(this->core, aEndpoint, std::move(aRequest), aDeadline, std::move(aHandler)));
    this->core->running.insert(exchange);
    // Started later so that an early failure is not reported from within this call.
    asio::post(this->core->context, [core = this->core, exchange] {
      if (!core->closed) {
        exchange->Start();
      }
    });
  }

private:
  Ref<ClientCore> core;
};

} // namespace

std::unique_ptr<IHttpClient>
MakeHttpClient(asio::io_context& aContext, const HttpClientSettings& aSettings)
{
  return std::make_unique<HttpClient>(aContext, aSettings);
}

} // namespace yp
