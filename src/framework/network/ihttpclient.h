#ifndef YP_FRAMEWORK_NETWORK_IHTTPCLIENT_H
#define YP_FRAMEWORK_NETWORK_IHTTPCLIENT_H

#include "framework/network/httptypes.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <variant>

namespace yp {

/// Step of the error for a response whose body exceeds HttpClientSettings::maxBodyBytes.
constexpr char kHttpSizeStep[] = "http.response_size";

/// Limits of a client.
struct HttpClientSettings
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 8 * 1024 * 1024;
  std::size_t maxIdlePerEndpoint = 8;               ///< connections kept for reuse
  std::chrono::milliseconds idleTimeout{ 10000 };   ///< shorter than the servers' own, to avoid reuse races
  std::chrono::milliseconds connectTimeout{ 2000 }; ///< bounded by the request's deadline too
};

/// HTTP/1.1 client on one io_context that is run by a single thread. A GET whose reused connection turns out
/// to be closed is sent again once on a new connection; nothing else is resent.
class IHttpClient
{
public:
  using Reply = std::variant<HttpResponse, Error>;
  using Handler = std::function<void(Reply)>;

  virtual ~IHttpClient() = default;

  /// Sends a request on a free connection or on a new one.
  /// \param aEndpoint server; numeric address
  /// \param aRequest request; Host, Content-Length and Connection are set here
  /// \param aDeadline time by which the reply must be complete
  /// \param aHandler gets the response of any status, or an error, never from within the call:
  ///   kBadInput for a bad address (step "http.connect"), a malformed response ("http.response") or a too
  ///   large one (kHttpSizeStep); kUnavailable when no connection could be made, so nothing was sent;
  ///   kConnection when the connection failed after that; kTimeout with step "http.connect" when nothing was
  ///   sent, else "http.response". It is not called after the client was destroyed.
  virtual void Send(const Endpoint& aEndpoint,
                    HttpRequest aRequest,
                    TimePoint aDeadline,
                    Handler aHandler) = 0;
};

/// \param aContext must outlive the client
std::unique_ptr<IHttpClient>
MakeHttpClient(boost::asio::io_context& aContext, const HttpClientSettings& aSettings = {});

} // namespace yp

#endif
