#ifndef YP_STANDINS_BACKEND_INTERNAL_ADMINSERVER_H
#define YP_STANDINS_BACKEND_INTERNAL_ADMINSERVER_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace yp {

/// A reply of the control interface.
struct AdminReply
{
  unsigned status = 200;
  std::string body; ///< JSON
};

/// Plain HTTP server for the control interface, for a few requests at a time.
class AdminServer
{
public:
  using Handler = std::function<
    AdminReply(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)>;

  /// Opens the port; throws boost::system::system_error when it cannot.
  AdminServer(boost::asio::io_context& aContext,
              const boost::asio::ip::tcp::endpoint& aEndpoint,
              Handler aHandler);

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }
  void Stop();

private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  Handler handler;
};

} // namespace yp

#endif
