#include "backend/internal/adminserver.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>

namespace yp {

namespace {

namespace http = boost::beast::http;

class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
  AdminSession(boost::asio::ip::tcp::socket aSocket, const AdminServer::Handler& aHandler)
    : socket(std::move(aSocket))
    , handler(aHandler)
  {
  }

  void Read()
  {
    this->request = {};
    http::async_read(this->socket,
                     this->buffer,
                     this->request,
                     [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
                       if (!aError) {
                         self->Answer();
                       }
                     });
  }

private:
  void Answer()
  {
    const AdminReply reply = this->handler(
      std::string(this->request.method_string()), std::string(this->request.target()), this->request.body());
    this->response = {};
    this->response.result(reply.status);
    this->response.set(http::field::content_type, "application/json");
    this->response.body() = reply.body;
    this->response.keep_alive(this->request.keep_alive());
    this->response.prepare_payload();
    http::async_write(
      this->socket,
      this->response,
      [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
        if (!aError && self->response.keep_alive()) {
          self->Read();
        }
      });
  }

  boost::asio::ip::tcp::socket socket;
  AdminServer::Handler handler;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

} // namespace

AdminServer::AdminServer(boost::asio::io_context& aContext,
                         const boost::asio::ip::tcp::endpoint& aEndpoint,
                         Handler aHandler)
  : acceptor(aContext, aEndpoint)
  , handler(std::move(aHandler))
{
  this->Accept();
}

void
AdminServer::Stop()
{
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void
AdminServer::Accept()
{
  this->acceptor.async_accept(
    [this](const boost::system::error_code& aError, boost::asio::ip::tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<AdminSession>(std::move(aSocket), this->handler)->Read();
      }
      this->Accept();
    });
}

} // namespace yp
