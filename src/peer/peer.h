#ifndef YP_PEER_PEER_H
#define YP_PEER_PEER_H

/// \file
/// Public header of the library yp_peer: links to other nodes over WebSocket.

#include "overlay/ipeernetwork.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace yp {

/// Address and limits of the links of a node.
struct PeerSettings
{
  Endpoint listen; ///< numeric address; port 0 takes a free one
  std::chrono::milliseconds connectTimeout{
    1500
  };                                             ///< until a link is established, TCP and handshake together
  std::chrono::milliseconds pingInterval{ 750 }; ///< on every established link
  std::chrono::milliseconds silenceTimeout{
    2500
  }; ///< without any byte of the peer; checked every fifth of it
  std::size_t maxMessageBytes = 1024 * 1024 + 16384; ///< a frame with its type and encoding
  std::size_t maxQueuedBytes = 4 * 1024 * 1024;      ///< per link, besides the batch that is being written
  std::size_t maxInbound = 512;                      ///< links that others opened
};

/// Counts since the start. Bytes are those of encoded frames, without WebSocket headers and pings.
struct PeerCounters
{
  std::uint64_t framesIn = 0;
  std::uint64_t framesOut = 0;
  std::uint64_t bytesIn = 0;
  std::uint64_t bytesOut = 0;
  std::uint64_t unknownFrames = 0;   ///< of a type without a handler
  std::uint64_t malformedFrames = 0; ///< their links were closed
  std::uint64_t overloads = 0;       ///< sends refused because the queue was full
  std::uint64_t silentLinks = 0;     ///< links closed because nothing was heard
  std::uint64_t refusedInbound = 0;
  std::size_t links = 0; ///< established now
};

/// Links over TCP with the means to watch them.
class IPeerTransport : public IPeerNetwork
{
public:
  /// \return the address and port that it listens on
  virtual Endpoint LocalEndpoint() const = 0;

  virtual PeerCounters Counters() const = 0;
};

/// Starts to accept links. Destroying the transport closes all links without events. The destroyed transport
/// leaves operations that end when the context runs on or is destroyed.
/// \param aContext context run by a single thread, which is also the one that uses the transport
/// \return the transport; kBadInput for an address that is not numeric, kUnavailable when it cannot be bound
Result<std::unique_ptr<IPeerTransport>>
StartPeerTransport(boost::asio::io_context& aContext, const PeerSettings& aSettings);

} // namespace yp

#endif
