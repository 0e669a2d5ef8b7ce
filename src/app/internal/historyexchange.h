#ifndef YP_APP_INTERNAL_HISTORYEXCHANGE_H
#define YP_APP_INTERNAL_HISTORYEXCHANGE_H

#include "membership/membershiptypes.h"
#include "placement/iplacement.h"
#include "rpc/ipeercalls.h"
#include <map>
#include <vector>

namespace yp {

/// Gives a starting node the placement history of a ready node of its failure domain, so that a restarted
/// host takes its old connections back without waiting for the growth delay. Control thread only.
class HistoryExchange
{
public:
  HistoryExchange(IPeerCalls& aCalls, const IClock& aClock, IPlacementPlanner& aPlanner, std::string aSelf);

  /// Asks the placed nodes of the own failure domain, until one has a history or all were asked.
  /// \return whether placement may begin
  bool Settle(const MemberView& aView);

private:
  void Ask(const MemberRecord& aPeer);
  void OnReply(const std::string& aHost, const std::variant<std::string, Error>& aReply);
  Result<bool> Import(const std::string& aBytes);
  void ImportCurrentHosts(const MemberView& aView);

  IPeerCalls& calls;
  const IClock& clock;
  IPlacementPlanner& planner;
  std::string self;
  bool asking = false;
  bool settled = false;
  std::map<std::string, std::size_t> attempts; ///< by host; kAttempts of them are enough
};

/// \return the history as bytes for a peer
std::string
EncodeHistory(const PlacementHistory& aHistory);

/// Reads what EncodeHistory wrote.
Result<PlacementHistory>
DecodeHistory(std::string_view aBytes);

} // namespace yp

#endif
