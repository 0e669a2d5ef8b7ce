#ifndef YP_OVERLAY_INTERNAL_STATETRANSFER_H
#define YP_OVERLAY_INTERNAL_STATETRANSFER_H

#include "overlay/internal/messages.h"
#include "tickets/iticketstore.h"
#include <optional>

namespace yp {

/// Serves state transfers in parts. Keeps one snapshot of the store while it is being read.
class TransferSource
{
public:
  /// \return the part that was asked for; the first part of a newer transfer when the one asked for is gone
  TransferChunkMessage Serve(const TransferRequestMessage& aRequest,
                             const ITicketStore& aStore,
                             TimePoint aNow);

  /// Frees a snapshot that nobody reads any more.
  void Tick(TimePoint aNow);

private:
  std::optional<StateTransfer> snapshot;
  TimePoint lastUse;
};

/// Collects the parts of one state transfer.
class TransferSink
{
public:
  bool Active() const { return this->link.has_value(); }

  /// Starts to collect from a peer.
  /// \return the first request
  TransferRequestMessage Start(LinkId aLink, TimePoint aNow);

  /// Takes a part.
  /// \return the next request, or nothing when the transfer is complete, foreign or malformed
  std::optional<TransferRequestMessage> Take(LinkId aLink, TransferChunkMessage aChunk, TimePoint aNow);

  /// \return the transfer, if the last Take completed it; it is handed out once
  std::optional<StateTransfer> Complete();

  /// Gives up when the peer does not answer.
  void Tick(TimePoint aNow);

  /// Gives up when the link is that of the transfer.
  void DropLink(LinkId aLink);

private:
  void Reset();

  std::optional<LinkId> link;
  StateTransfer transfer;
  TicketNumber after = 0;
  std::size_t bytes = 0;
  bool complete = false;
  TimePoint deadline;
};

} // namespace yp

#endif
