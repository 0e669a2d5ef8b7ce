#ifndef YP_GATEWAY_ROUTINGSTATE_H
#define YP_GATEWAY_ROUTINGSTATE_H

#include "framework/global/global.h"
#include <chrono>
#include <map>
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

/// Where the requests of a host and path prefix go, and what may be done with them. Exactly one of service,
/// split and shards is set.
struct RouteSpec
{
  std::string name;
  std::string host;
  std::string pathPrefix;                   ///< begins and ends with a slash
  bool idempotent = true;                   ///< a non-idempotent request runs at most once
  std::chrono::milliseconds timeout{ 0 };   ///< longest time that a caller is kept waiting
  std::chrono::milliseconds objective{ 0 }; ///< time to the answer within which it has its full value
  std::uint32_t attempts = 1;               ///< leafs of a service that may run one request
  std::string service;
  std::vector<WeightedService> split;
  std::vector<std::string> shards; ///< services that each hold a part of the data
  std::size_t topRecords = 0;      ///< records of a merged answer
  double minCoverage = 0;          ///< least share of the shards in a merged answer, 0 to 1

  bool Scatter() const { return !this->shards.empty(); }
};

/// Bounds on what callers may send.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 256 * 1024;
  std::chrono::milliseconds headerTimeout{ 3000 };
  std::chrono::milliseconds idleTimeout{ 15000 };
};

/// One version of the operators' configuration, complete by itself. Immutable.
struct RoutingState : RefCounted<RoutingState>
{
  std::uint64_t version = 0; ///< grows, not by even steps; the highest replaces all before
  std::vector<RouteSpec> routes;
  std::map<std::string, std::uint32_t>
    connectionLimits; ///< by service: connections that a leaf accepts from all
  CallerLimits limits;

  /// Orders the routes for Match; called once, before the state is shared.
  void Index();

  /// \param aHost host that the caller named, without a port
  /// \param aPath path without query
  /// \return the route with the longest prefix of the path; null when there is none
  const RouteSpec* Match(std::string_view aHost, std::string_view aPath) const;

private:
  std::map<std::string, std::vector<const RouteSpec*>, std::less<>> byHost; ///< longest prefix first
};

} // namespace yp

#endif
