#ifndef YP_LEAFHTTP_LEAFHTTP_H
#define YP_LEAFHTTP_LEAFHTTP_H

/// \file
/// Public header of the library yp_leafhttp: calls to leafs over HTTP/1.1 with connections that are kept.

#include "gateway/ileafexchange.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

namespace yp {

/// How a family of leafs says things in HTTP header fields.
class ILeafDialect
{
public:
  virtual ~ILeafDialect() = default;

  /// \param aLeft time that is left for the leaf
  /// \return the fields of a call's request
  virtual HttpHeaders RequestHeaders(const LeafCall& aCall, std::chrono::milliseconds aLeft) const = 0;

  /// \return whether a response names another request than the call's; such a response is not judged
  virtual bool IsForOtherRequest(const LeafCall& aCall, const HttpResponse& aResponse) const = 0;

  /// Sets outcome, signature and response of a result from a complete response to the call's request.
  virtual void ClassifyResponse(const LeafCall& aCall, HttpResponse aResponse, LeafResult& aResult) const = 0;

  /// \return how long the leaf keeps an idle connection; none when it does not say
  virtual std::optional<Duration> IdleTimeout(const HttpResponse& aResponse) const = 0;
};

/// Limits of the exchange.
struct LeafHttpSettings
{
  Duration connectTimeout = std::chrono::milliseconds(300); ///< a leaf of the region answers within 20 ms
  Duration idleTimeout = std::chrono::seconds(4);           ///< for leafs that do not state theirs
  double idleTimeoutFraction = 0.8; ///< part of a stated idle time after which it is closed
  Duration maxFreshIdleTime =
    std::chrono::milliseconds(250); ///< idle time of a connection that counts as fresh
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
};

/// Counts since the start. Written by the exchange's thread, read by any.
struct LeafHttpStats
{
  std::atomic<std::uint64_t> written{ 0 };
  std::atomic<std::uint64_t> opened{ 0 };
  std::atomic<std::uint64_t> connectFailures{ 0 };
  std::atomic<std::uint64_t> foreignResponses{ 0 };  ///< responses to other requests, dropped
  std::atomic<std::uint64_t> surplusByteCloses{ 0 }; ///< connections closed for bytes that nobody asked for
};

/// \param aContext run by a single thread; outlives the exchange
/// \param aDialect outlives the exchange
/// \param aStats outlives the exchange
std::unique_ptr<ILeafExchange>
MakeLeafHttpExchange(boost::asio::io_context& aContext,
                     const IClock& aClock,
                     ITimers& aTimers,
                     const ILeafDialect& aDialect,
                     LeafHttpStats& aStats,
                     const LeafHttpSettings& aSettings = {});

} // namespace yp

#endif
