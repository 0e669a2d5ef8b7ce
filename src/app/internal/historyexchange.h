#ifndef YP_APP_INTERNAL_HISTORYEXCHANGE_H
#define YP_APP_INTERNAL_HISTORYEXCHANGE_H

#include "membership/membershiptypes.h"
#include "placement/iplacement.h"
#include "rpc/ipeercalls.h"

namespace yp {

/// Gives a starting node the placement history of a ready node of its failure domain, so that a restarted
/// host takes its old connections back without waiting for the growth delay. Control thread only.
class HistoryExchange
{
public:
  HistoryExchange(IPeerCalls& aCalls, const IClock& aClock, IPlacementPlanner& aPlanner, std::string aSelf);

  /// Asks ready nodes of the own failure domain in turn until one has answered.
  /// \return whether placement may begin: a history was taken over, or nobody has one
  bool Settle(const MemberView& aView);

private:
  void Ask(const MemberRecord& aPeer);
  void OnReply(const std::variant<std::string, Error>& aReply);

  IPeerCalls& calls;
  const IClock& clock;
  IPlacementPlanner& planner;
  std::string self;
  bool asking = false;
  bool settled = false;
  std::size_t nextPeer = 0;
  std::size_t failures = 0;
};

/// \return the history as bytes for a peer
std::string
EncodeHistory(const PlacementHistory& aHistory);

/// Reads what EncodeHistory wrote.
Result<PlacementHistory>
DecodeHistory(std::string_view aBytes);

} // namespace yp

#endif
