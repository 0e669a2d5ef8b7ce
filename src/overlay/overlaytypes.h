#ifndef YP_OVERLAY_OVERLAYTYPES_H
#define YP_OVERLAY_OVERLAYTYPES_H

#include "membership/membershiptypes.h"
#include "overlay/iconfigreader.h"
#include "overlay/ipeernetwork.h"
#include "tickets/tickettypes.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// Frames and payload bytes of one type.
struct FrameCounters
{
  std::uint64_t framesIn = 0;
  std::uint64_t bytesIn = 0;
  std::uint64_t framesOut = 0;
  std::uint64_t bytesOut = 0;
};

/// One link as the operators see it.
struct LinkStatus
{
  LinkId link = 0;
  std::string host; ///< empty before the peer's hello
  bool outbound = false;
  bool established = false;
  TicketNumber peerInForce = 0;
};

/// What an overlay node does and why. A copy; for metrics and for the operators' page.
struct OverlayStatus
{
  TicketNumber inForce = 0;
  TicketNumber highest = 0;
  bool ready = false;
  std::string notReadyReason; ///< empty when ready
  std::vector<LinkStatus> links;
  std::optional<std::chrono::milliseconds> freshness; ///< age of the domain's last contact with the service
  std::size_t readerRank = 0;                         ///< 0 is the first reader of the failure domain
  ConfigReaderStatus reader;
  bool viewConfirmed = false;
  bool transferring = false;
  std::uint64_t pauses = 0;
  std::uint64_t malformedFrames = 0;
  std::map<std::string, FrameCounters> frames; ///< by type
};

} // namespace yp

#endif
