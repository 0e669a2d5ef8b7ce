#ifndef YP_APP_INTERNAL_DAEMONSETTINGS_H
#define YP_APP_INTERNAL_DAEMONSETTINGS_H

#include "framework/global/global.h"
#include "query/query.h"
#include <chrono>
#include <string>

namespace yp {

/// Settings of the daemon, read from its INI file.
struct DaemonSettings
{
  std::string host;
  std::string failureDomain;
  std::string region;
  Endpoint caller;
  Endpoint peer;
  Endpoint admin;
  Endpoint configService;
  Endpoint hostList;
  std::size_t requestThreads = 2;
  std::string logLevel;
  std::chrono::milliseconds drainLimit{ 0 }; ///< longest wait for requests in flight at a planned stop
  std::chrono::milliseconds leaveTime{
    0
  }; ///< how long callers may still arrive after the node announced its leaving
  QueryOptions query;
};

/// Reads and checks a settings file.
/// \return the settings; kBadInput naming file, section, key, value and what is allowed, one problem a line
Result<DaemonSettings>
LoadDaemonSettings(const std::string& aPath);

} // namespace yp

#endif
