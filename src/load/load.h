#ifndef YP_LOAD_LOAD_H
#define YP_LOAD_LOAD_H

/// \file
/// Public header of the library yp_load: open-loop load over the callers' HTTP interface.

#include "framework/network/network.h"
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yp {

/// What load to offer, and to whom.
struct LoadSettings
{
  std::vector<Endpoint> ask; ///< addresses that are asked for /v1/addresses first
  std::string caller;
  std::string service;
  double rate = 100; ///< mean arrivals a second
  std::chrono::milliseconds duration{ 10000 };
  std::chrono::milliseconds deadline{ 1000 }; ///< of each request, from its intended send time
  std::uint64_t seed = 1;
  std::vector<std::string> vocabulary;
  std::uint32_t maxTerms = 4;    ///< a query has 1 to this many terms
  std::uint32_t limit = 10;      ///< hits asked for
  double executeFraction = 0;    ///< share of non-idempotent requests
  std::uint32_t callers = 16;    ///< simulated callers, each with an address answer of its own
  std::uint32_t maxAttempts = 3; ///< of a request, at different addresses
  std::size_t maxInFlight = 5000;
  std::chrono::milliseconds attemptTimeout{ 0 }; ///< then another address is tried; 0 waits for the deadline
  bool resendUnknown = false; ///< whether a request told unknown is sent again under the same id
  std::string requestLog;     ///< file for one JSON line a request; empty for none
};

/// Offers the load until its duration has passed and all requests have ended.
class ILoadRunner
{
public:
  virtual ~ILoadRunner() = default;

  /// Starts. \param aOnDone called once with the result as JSON
  virtual void Start(std::function<void(Json)> aOnDone) = 0;

  /// Ends the arrivals early; requests in flight still end by themselves.
  virtual void StopArrivals() = 0;
};

/// \param aContext must outlive the runner; run by a single thread
std::unique_ptr<ILoadRunner>
MakeLoadRunner(boost::asio::io_context& aContext, const LoadSettings& aSettings);

} // namespace yp

#endif
