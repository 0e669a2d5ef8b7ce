#ifndef YP_APP_INTERNAL_LOADEXCHANGE_H
#define YP_APP_INTERNAL_LOADEXCHANGE_H

#include "membership/membershiptypes.h"
#include "placement/placementtypes.h"
#include "rpc/ipeercalls.h"
#include "steering/steeringtypes.h"
#include <map>
#include <set>
#include <string>

namespace yp {

/// Exchanges load, and which backend servers are leaving, with some of the nodes that hold connections to the
/// same services. Each message also passes on what its sender heard, so that a few partners a round are
/// enough. Control thread only.
class LoadExchange
{
public:
  LoadExchange(IPeerCalls& aCalls, const IClock& aClock, IRandom& aRandom, std::string aSelf);

  /// Sends the known loads to a few random holders of the same services.
  /// \param aUtilisation this node's own load
  /// \param aDraining backend servers that told this node itself that they are leaving; only these are passed
  /// on, so
  ///        that a report does not outlive its cause
  void Exchange(double aUtilisation,
                std::set<std::string> aDraining,
                const Placement& aPlacement,
                const MemberView& aView);

  /// \return backend servers that are leaving according to other nodes
  std::set<std::string> DrainingServers() const;

  /// \return load by host, as last heard
  const std::map<std::string, NodeLoad>& Loads() const { return this->loads; }

private:
  std::string EncodeLoads() const;
  void Merge(const std::string& aPayload);
  void MergeLoads(const Json& aRows);
  void MergeDraining(const Json& aServers);
  void DropOld();

  IPeerCalls& calls;
  const IClock& clock;
  IRandom& random;
  std::string self;
  std::map<std::string, NodeLoad> loads;
  std::set<std::string> ownDraining;
  std::map<std::string, TimePoint> heardDraining; ///< server to the time of the last report
};

} // namespace yp

#endif
