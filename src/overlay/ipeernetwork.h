#ifndef YP_OVERLAY_IPEERNETWORK_H
#define YP_OVERLAY_IPEERNETWORK_H

#include "framework/global/global.h"
#include <cstdint>
#include <functional>
#include <string>

namespace yp {

/// Number of a link within this process; never reused.
using LinkId = std::uint64_t;

/// Who uses a link. Links of one purpose are never closed or reused by the other.
enum class LinkPurpose
{
  kOverlay, ///< flooding of tickets and members between neighbours
  kCalls    ///< calls with a reply, opened on demand
};

/// A typed message between two nodes. The payload is a CBOR map whose fields belong to the type.
struct PeerFrame
{
  std::string type;
  std::string payload;
};

/// Links to other nodes. Used by the control thread only; events run on it.
class IPeerNetwork
{
public:
  using FrameHandler = std::function<void(LinkId aLink, const PeerFrame& aFrame)>;
  using LinkUpHandler = std::function<void(LinkId aLink, bool aOutbound)>;
  using LinkDownHandler = std::function<void(LinkId aLink, const Error& aError)>;

  virtual ~IPeerNetwork() = default;

  /// Opens a link. The outcome is reported by the link-up or the link-down handlers, never from within the
  /// call.
  virtual LinkId Open(const Endpoint& aEndpoint, LinkPurpose aPurpose) = 0;

  /// Closes a link; no event follows for it.
  virtual void Close(LinkId aLink) = 0;

  /// Queues a frame. Order within a link is kept.
  /// \return kNotFound when the link is not up, kOverloaded when its queue is full
  virtual Result<void> Send(LinkId aLink, const PeerFrame& aFrame) = 0;

  /// Registers the receiver of one type of frame. Frames of unknown types are counted and dropped.
  virtual void OnFrame(const std::string& aType, FrameHandler aHandler) = 0;

  /// Adds receivers of the events of links of one purpose, opened from either side.
  virtual void OnLink(LinkPurpose aPurpose, LinkUpHandler aUp, LinkDownHandler aDown) = 0;
};

} // namespace yp

#endif
