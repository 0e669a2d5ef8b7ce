#ifndef YP_GATEWAY_ROUTINGSTATE_H
#define YP_GATEWAY_ROUTINGSTATE_H

#include "framework/global/global.h"
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace yp {

/// One of the services that a route divides its requests among.
struct WeightedService
{
  std::string service;
  std::uint32_t weight = 0;
};

/// Destination and rules for the requests of a host and path prefix. Exactly one of service, split and shards
/// is set.
struct RouteSpec
{
  std::string name;
  std::string host;
  std::string pathPrefix;                 ///< begins and ends with a slash
  bool idempotent = true;                 ///< a non-idempotent request runs at most once
  std::chrono::milliseconds timeout{ 0 }; ///< maximum time until the caller is answered
  std::chrono::milliseconds objective{
    0
  };                          ///< latency objective: an answer within this time has its full value
  std::uint32_t attempts = 1; ///< maximum number of a service's leafs that may run one request
  std::string service;
  std::vector<WeightedService> split;
  std::vector<std::string> shards; ///< services that each hold one part of the data
  std::size_t topRecords = 0;      ///< maximum number of records in a merged answer
  double minCoverage = 0;          ///< minimum share of the shards in a merged answer, 0 to 1

  bool Scatter() const { return !this->shards.empty(); }
};

/// Limits for callers' requests and connections.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 256 * 1024;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

/// One complete version of the operators' configuration. Immutable once Index has been called.
struct RoutingState : RefCounted<RoutingState>
{
  std::uint64_t version = 0; ///< increases, possibly with gaps; the highest version replaces all others
  std::vector<RouteSpec> routes;
  std::map<std::string, std::uint32_t>
    connectionLimits; ///< by service: connections that a leaf accepts from all nodes together
  CallerLimits limits;

  /// Builds the index for Match. Called once, before the state is shared.
  void Index();

  /// \param aHost requested host, without port
  /// \param aPath path without query
  /// \return the route of the host with the longest matching path prefix; null when there is none
  const RouteSpec* Match(std::string_view aHost, std::string_view aPath) const;

  /// \return the services that routes or connection limits name
  std::set<std::string> Services() const;

private:
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> byHost; ///< longest prefix first
};

} // namespace yp

#endif
