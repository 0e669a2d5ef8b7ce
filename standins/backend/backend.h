#ifndef YP_STANDINS_BACKEND_BACKEND_H
#define YP_STANDINS_BACKEND_BACKEND_H

/// \file
/// Public header of the library yp_standin_backend: backend servers for tests, demos and measurements.

#include "backend/backendtypes.h"
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace yp {

/// One backend server with its leafs. Used on its context's thread only, but for the construction.
class IBackendServer
{
public:
  virtual ~IBackendServer() = default;

  /// Starts to drain. The function is called once no request is in flight after the grace, at most 30 s
  /// later.
  virtual void Drain(std::function<void()> aDrained) = 0;

  /// \return the ports that the leafs listen on, in the order of the settings
  virtual std::vector<std::uint16_t> LeafPorts() const = 0;

  /// \return the port of the control interface
  virtual std::uint16_t AdminPort() const = 0;

  /// \return what GET /admin/stats answers, as JSON text
  virtual std::string Stats() const = 0;
};

/// Reads a server file.
/// \return the settings; kBadInput with all problems of the file
Result<BackendSettings>
LoadBackendSettings(const std::string& aPath);

/// Opens the ports of a backend server.
/// \param aSettings settings; port 0 picks a free port
/// \return the server; kUnavailable when a port or the execution log cannot be opened
Result<std::unique_ptr<IBackendServer>>
StartBackendServer(boost::asio::io_context& aContext, const BackendSettings& aSettings);

} // namespace yp

#endif
