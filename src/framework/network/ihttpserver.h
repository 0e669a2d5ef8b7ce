#ifndef YP_FRAMEWORK_NETWORK_IHTTPSERVER_H
#define YP_FRAMEWORK_NETWORK_IHTTPSERVER_H

#include "framework/network/httptypes.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>

namespace yp {

/// Limits of a server. Input beyond them gets a 4xx or 503 response, or its connection is closed.
struct HttpServerSettings
{
  Endpoint listen; ///< numeric address; port 0 takes a free one
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 10000;
  std::chrono::milliseconds idleTimeout{ 60000 };  ///< without the first byte of a request
  std::chrono::milliseconds headerTimeout{ 5000 }; ///< from the first byte to the end of the header
  std::chrono::milliseconds bodyTimeout{ 10000 };  ///< from the end of the header to the end of the body
  std::chrono::milliseconds writeTimeout{ 10000 }; ///< for a client that does not read its response
  bool reusePort = false; ///< lets several servers, one a thread, listen on the same port
};

/// Counts since the start.
struct HttpServerCounters
{
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0; ///< connections over the limit
  std::uint64_t requests = 0;
  std::uint64_t badRequests = 0; ///< malformed, too large or too slow
  std::uint64_t clientsGone = 0; ///< clients that closed before their response
  std::size_t connections = 0;   ///< open now
};

/// Gives the response to one request, once, from any thread while the io_context exists. If all copies are
/// destroyed unused, the client gets 500.
using HttpRespond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// HTTP/1.1 server on one io_context that is run by a single thread. Each connection runs one request at a
/// time; pipelined requests wait for it.
class IHttpServer
{
public:
  virtual ~IHttpServer() = default;

  /// \return the address and port that it listens on
  virtual Endpoint LocalEndpoint() const = 0;

  /// Stops accepting, finishes requests in flight and answers with Connection: close. Connections without a
  /// request stay open for a while, because a request may already be on its way on them.
  /// \param aIdleGrace how long connections without a request are kept
  /// \param aOnIdle called once when no connection is left, never from within the call
  virtual void Drain(std::chrono::milliseconds aIdleGrace, std::function<void()> aOnIdle) = 0;

  /// Answers requests that have not arrived completely with 408 and closes their connections.
  virtual void RejectIncomplete() = 0;

  /// Changes the limits of requests that begin from now on, also on open connections; other settings are
  /// ignored.
  virtual void SetLimits(const HttpServerSettings& aSettings) = 0;

  virtual HttpServerCounters Counters() const = 0;
};

/// Starts a server. Destroying it closes all connections.
/// \param aContext must outlive the server and all response functions
/// \param aSettings address and limits
/// \param aHandler called for each complete request, on the context's thread
/// \return the server; kBadInput for an address that is not numeric, kUnavailable when it cannot be bound
Result<std::unique_ptr<IHttpServer>>
StartHttpServer(boost::asio::io_context& aContext, const HttpServerSettings& aSettings, HttpHandler aHandler);

} // namespace yp

#endif
