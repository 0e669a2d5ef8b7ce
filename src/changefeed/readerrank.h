#ifndef YP_CHANGEFEED_READERRANK_H
#define YP_CHANGEFEED_READERRANK_H

#include "gossip/gossiptypes.h"

namespace yp {

/// \return the hosts that read the source, as far as this table shows: all of a small fleet, else a few large
/// ones in
///   different failure domains. Nodes that are down, leaving or cut off from the source do not read.
std::vector<std::string>
ChooseReaders(const std::vector<PeerRecord>& aPeers);

/// \return the host that passes news on inside a failure domain; empty when the domain has none
std::string
ChooseRelay(const std::vector<PeerRecord>& aPeers, const std::string& aDomain);

/// \return whom a node tells of news
/// \param aPeers the telling node first
/// \param aReads whether it reads the source; else it tells its own domain if it is the domain's relay
std::vector<const PeerRecord*>
ChooseTold(const std::vector<PeerRecord>& aPeers, bool aReads);

} // namespace yp

#endif
