#include "ctl/internal/adminclient.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr const char* kStep = "ctl.ask_node";
constexpr std::size_t kMaxReplyBytes = 64 * 1024 * 1024; // a fleet report of 4,700 nodes is about 1 MB

/// One request to one node; owns the connection.
class Exchange
{
public:
  Exchange(const Endpoint& aNode, const std::string& aTarget, std::chrono::milliseconds aTimeout)
    : node(aNode)
  {
    this->stream.expires_after(aTimeout);
    this->request.method(http::verb::get);
    this->request.target(aTarget);
    this->request.version(11);
    this->request.set(http::field::host, ToString(aNode));
    this->request.set(http::field::connection, "close");
    this->response.body_limit(kMaxReplyBytes);
  }

  /// \return the error of the exchange, if any
  boost::system::error_code Run()
  {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->node.address), this->node.port);
    this->stream.async_connect(endpoint,
                               [this](boost::system::error_code aError) { this->OnConnected(aError); });
    this->context.run();
    return this->failure;
  }

  unsigned Status() const { return this->response.get().result_int(); }
  const std::string& Body() const { return this->response.get().body(); }

private:
  void OnConnected(boost::system::error_code aError)
  {
    this->failure = aError;
    if (aError) {
      return;
    }
    http::async_write(
      this->stream, this->request, [this](boost::system::error_code aWriteError, std::size_t) {
        this->OnWritten(aWriteError);
      });
  }

  void OnWritten(boost::system::error_code aError)
  {
    this->failure = aError;
    if (aError) {
      return;
    }
    http::async_read(
      this->stream, this->buffer, this->response, [this](boost::system::error_code aReadError, std::size_t) {
        this->failure = aReadError;
      });
  }

  asio::io_context context;
  beast::tcp_stream stream{ this->context };
  beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> response;
  Endpoint node;
  boost::system::error_code failure;
};

} // namespace

Result<Json>
AskNode(const Endpoint& aNode, const std::string& aTarget, std::chrono::milliseconds aTimeout)
{
  Exchange exchange(aNode, aTarget, aTimeout);
  const boost::system::error_code failure = exchange.Run();
  if (failure) {
    const ErrorCode code = failure == beast::error::timeout ? ErrorCode::kTimeout : ErrorCode::kUnavailable;
    return Fail(code, kStep, ToString(aNode), failure.message());
  }
  if (exchange.Status() != 200) {
    return Fail(ErrorCode::kBadInput,
                kStep,
                ToString(aNode),
                "status " + std::to_string(exchange.Status()) + ": " + exchange.Body().substr(0, 500));
  }
  return ParseJson(exchange.Body(), CodecLimits{ kMaxReplyBytes, 16 });
}

} // namespace yp
