#ifndef YP_CONFIGSERVICE_PLATFORM_H
#define YP_CONFIGSERVICE_PLATFORM_H

/// \file
/// Public header of the library yp_configservice: clients of the configuration service and of the host list.

#include "configservice/iconfigservice.h"
#include "configservice/ihostlist.h"
#include "framework/network/ihttpclient.h"
#include <chrono>
#include <cstdint>
#include <memory>

namespace yp {

/// Limits of the platform clients.
struct PlatformSettings
{
  std::chrono::milliseconds timeout{ 2000 };   ///< of a call, besides the wait that a watch asks for
  std::size_t maxListBytes = 16 * 1024 * 1024; ///< of a host list; 4,700 rows take about 1 MB
  std::size_t maxHosts = 100000;
};

/// Client of the configuration service. Errors of its handlers: kTimeout; kUnavailable when the service is
/// not reachable or answers 503; kOverloaded for 429; kNotFound for an unknown number; kConnection when the
/// connection broke; kBadInput for an answer that is not of the protocol. Handlers are not called after the
/// client was destroyed.
/// \param aContext context of the control thread; must outlive the client
std::unique_ptr<IConfigService>
MakeConfigServiceClient(boost::asio::io_context& aContext,
                        const Endpoint& aService,
                        const PlatformSettings& aSettings = {});

/// Client of the host list, with the same errors.
/// \param aContext context of the control thread; must outlive the client
std::unique_ptr<IHostList>
MakeHostListClient(boost::asio::io_context& aContext,
                   const Endpoint& aService,
                   const PlatformSettings& aSettings = {});

/// Parses the answer to GET /v1/hosts. Hosts must be named once each; unknown fields are ignored, so that the
/// platform can add some.
/// \return the list; kBadInput with the path of the first field that is wrong
Result<HostListing>
ParseHostListing(std::string_view aBody, const PlatformSettings& aSettings = {});

} // namespace yp

#endif
