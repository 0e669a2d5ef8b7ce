#ifndef YP_LEAFHTTP_LEAFHTTP_H
#define YP_LEAFHTTP_LEAFHTTP_H

/// \file
/// Public header of the library yp_leafhttp: calls to leafs over persistent HTTP/1.1 connections.

#include "gateway/ileafexchange.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

namespace yp {

/// How a response relates to the request of a call.
struct ResponseMatch
{
  bool otherRequest = false; ///< the response names another request
  bool unnamed = false;      ///< the response names no request
  std::string signature;     ///< signature of the leaf; empty when there is none
};

/// Maps calls and results to the HTTP header fields that a kind of leafs uses.
class ILeafDialect
{
public:
  virtual ~ILeafDialect() = default;

  /// \param aTimeBudget time until the deadline of the call
  /// \return the header fields that the request has besides those of the forwarded one
  virtual HttpHeaders CallHeaders(const LeafCall& aCall, std::chrono::milliseconds aTimeBudget) const = 0;

  /// \return which request a response belongs to; a response to another request is not classified
  virtual ResponseMatch MatchRequest(const LeafCall& aCall, const HttpResponse& aResponse) const = 0;

  /// Sets outcome, signature, response and error of a result from a complete response to the call's request.
  virtual void ClassifyResponse(const LeafCall& aCall, HttpResponse aResponse, LeafResult& aResult) const = 0;

  /// \return what the leaf says of itself in any of its responses
  virtual LeafNotice ReadNotice(const HttpResponse& aResponse) const = 0;

  /// \return how long the leaf keeps an idle connection open; none if the response does not state it
  virtual std::optional<Duration> IdleTimeout(const HttpResponse& aResponse) const = 0;
};

/// Limits and time-outs of the exchange.
struct LeafHttpSettings
{
  Duration connectTimeout = std::chrono::milliseconds(300); ///< leafs in the same region answer within 20 ms
  Duration idleTimeout = std::chrono::seconds(4);           ///< for leafs that do not state their own
  double idleTimeoutFraction = 0.8; ///< part of a leaf's stated idle time-out that is used
  Duration maxFreshIdleTime = std::chrono::milliseconds(250); ///< for a connection that counts as fresh
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 4 * 1024 * 1024;
  /// Limit of the incomplete responses of all connections together. Small hosts have 160 MB.
  std::size_t maxIncompleteBytes = 16 * 1024 * 1024;
  std::size_t minResponseBytes = 64 * 1024; ///< a response up to this size is received also beyond that limit
  std::size_t maxSkippedResponses = 16; ///< interim responses and responses to other requests, for each call
};

/// Counters since the start of the process. Written by the exchange's thread, readable by any thread.
struct LeafHttpStats
{
  std::atomic<std::uint64_t> written{ 0 }; ///< requests whose write was started
  std::atomic<std::uint64_t> opened{ 0 };  ///< connects started
  std::atomic<std::uint64_t> connectFailures{ 0 };
  std::atomic<std::uint64_t> foreignResponses{ 0 };   ///< dropped responses that belong to other requests
  std::atomic<std::uint64_t> surplusByteCloses{ 0 };  ///< connections closed because of surplus bytes
  std::atomic<std::uint64_t> oversizedCloses{ 0 };    ///< connections closed because a response is too long
  std::atomic<std::uint64_t> pauses{ 0 };             ///< pauses that leafs asked for
  std::atomic<std::uint64_t> impossibleStatuses{ 0 }; ///< responses with a status that HTTP does not define
  std::atomic<std::uint64_t> malformedPauses{ 0 };    ///< times of a pause that could not be read
  std::atomic<std::uint64_t> leavingLeafs{ 0 };       ///< leafs that announced in a response that they leave
  std::atomic<std::uint64_t> incompleteBytes{ 0 };    ///< bytes held for incomplete responses now
};

/// Creates the exchange. All objects passed by reference, except aSettings, must outlive it.
/// \param aContext run by a single thread, on which the exchange is used
std::unique_ptr<ILeafExchange>
MakeLeafHttpExchange(boost::asio::io_context& aContext,
                     const IClock& aClock,
                     ITimers& aTimers,
                     const ILeafDialect& aDialect,
                     LeafHttpStats& aStats,
                     const LeafHttpSettings& aSettings = {});

} // namespace yp

#endif
