#ifndef YP_CHANGEFEED_READERRANK_H
#define YP_CHANGEFEED_READERRANK_H

#include "gossip/gossiptypes.h"

namespace yp {

/// \return the hosts that read the source, as far as this table shows: all of a small fleet, else a few large
/// ones in
///   different failure domains. Nodes that are down, leaving or cut off from the source do not read.
std::vector<std::string>
ChooseReaders(const std::vector<PeerRecord>& aPeers);

/// \return whom a node tells of news: a reader its domain and one relay of each other domain, a relay its
/// domain \param aPeers the telling node first \param aReads whether it reads the source
std::vector<const PeerRecord*>
ChoosePeersToNotify(const std::vector<PeerRecord>& aPeers, bool aReads);

} // namespace yp

#endif
