#ifndef YP_FRAMEWORK_NETWORK_HTTPTYPES_H
#define YP_FRAMEWORK_NETWORK_HTTPTYPES_H

#include "framework/global/global.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace yp {

/// A header field of a request or response.
struct HttpHeader
{
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// \return the value of the first field with a name, compared without regard to case; null when absent
const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/// The life of one request at the server, for handlers that work on it for a while.
class IHttpExchange
{
public:
  virtual ~IHttpExchange() = default;

  /// Registers a function that is called once, on the server's thread, when the client closes the connection
  /// before the response was given. It is called from within this call when that has already happened.
  virtual void OnClientGone(std::function<void()> aFunction) = 0;
};

/// A request, as received by the server or as sent by the client.
struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/"; ///< path and query as sent
  HttpHeaders headers;
  std::string body;
  Endpoint peer;                           ///< server side only
  std::shared_ptr<IHttpExchange> exchange; ///< server side only
};

/// A response. Content-Length and Connection are set by the server and not taken from headers.
struct HttpResponse
{
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
  bool close = false; ///< server side: close the connection after this response
};

/// \return whether HTTP defines responses of this status to a request that does not ask for another protocol
bool
IsResponseStatus(unsigned aStatus);

/// \return a response with a JSON body
HttpResponse
JsonResponse(unsigned aStatus, const Json& aBody);

/// Path and query parameters of a request target.
struct HttpTarget
{
  std::string path;
  std::map<std::string, std::string> parameters; ///< decoded
};

/// Splits a target into its path and its query parameters.
/// \return the parts; kBadInput for a broken escape or a repeated parameter
Result<HttpTarget>
ParseTarget(std::string_view aTarget);

} // namespace yp

#endif
