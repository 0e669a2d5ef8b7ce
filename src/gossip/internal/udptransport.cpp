#include "gossip/gossip.h"
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace yp {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

class UdpTransport final : public IUdpTransport
{
public:
  explicit UdpTransport(udp::socket aSocket)
    : socket(std::move(aSocket))
  {
    this->ReadNext();
  }

  void Send(const Endpoint& aPeer, const std::string& aBytes) override
  {
    error_code error;
    const asio::ip::address address = asio::ip::make_address(aPeer.address, error);
    if (error) {
      LogEvent(LogLevel::kWarning,
               "datagram_address",
               { { "peer", ToString(aPeer) }, { "detail", error.message() } });
      return;
    }
    // Errors such as a full socket buffer are ignored like a loss in the network; probes are repeated.
    this->socket.send_to(asio::buffer(aBytes), udp::endpoint(address, aPeer.port), 0, error);
  }

  void OnReceive(std::function<void(const Endpoint&, const std::string&)> aHandler) override
  {
    this->handler = std::move(aHandler);
  }

private:
  void ReadNext()
  {
    this->socket.async_receive_from(
      asio::buffer(this->input), this->from, [this](const error_code& aError, std::size_t aSize) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError && this->handler) {
          this->handler(Endpoint{ this->from.address().to_string(), this->from.port() },
                        std::string(this->input.data(), aSize));
        }
        this->ReadNext();
      });
  }

  udp::socket socket;
  udp::endpoint from;
  std::array<char, kMaxDatagramBytes> input;
  std::function<void(const Endpoint&, const std::string&)> handler;
};

} // namespace

Result<std::unique_ptr<IUdpTransport>>
OpenUdp(asio::io_context& aContext, const Endpoint& aLocal)
{
  error_code error;
  const asio::ip::address address = asio::ip::make_address(aLocal.address, error);
  if (error) {
    return Fail(ErrorCode::kBadInput, "gossip.listen", ToString(aLocal), "not a numeric IP address");
  }
  udp::socket socket(aContext);
  const udp::endpoint endpoint(address, aLocal.port);
  socket.open(endpoint.protocol(), error);
  if (!error) {
    socket.bind(endpoint, error);
  }
  if (!error) {
    socket.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable, "gossip.listen", ToString(aLocal), error.message());
  }
  return std::unique_ptr<IUdpTransport>(std::make_unique<UdpTransport>(std::move(socket)));
}

} // namespace yp
