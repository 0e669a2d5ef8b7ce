#ifndef YP_CHANGEFEED_READERRANK_H
#define YP_CHANGEFEED_READERRANK_H

#include "gossip/gossiptypes.h"

namespace yp {

/// Chooses the nodes that read the source: all nodes of a small fleet, otherwise a few large ones, in
/// different failure domains if possible. Nodes that are down, leaving or cannot reach the source are not
/// chosen.
/// \return hosts of the readers
std::vector<std::string>
ChooseReaders(const std::vector<PeerRecord>& aPeers);

/// Chooses the peers that a node notifies of changes. A reader notifies the nodes of its failure domain and
/// the relay of each other domain; a relay notifies the nodes of its domain.
/// \param aPeers peer records, the notifying node first
/// \param aReads whether that node reads the source
/// \return pointers into aPeers
std::vector<const PeerRecord*>
ChoosePeersToNotify(const std::vector<PeerRecord>& aPeers, bool aReads);

} // namespace yp

#endif
