#ifndef YP_OVERLAY_INTERNAL_PEERCHOICE_H
#define YP_OVERLAY_INTERNAL_PEERCHOICE_H

#include "membership/membershiptypes.h"
#include <set>
#include <string>

namespace yp {

/// Chooses the hosts that a node keeps links to: 4 in its failure domain, 2 in other domains of its region
/// and 2 in other regions. Hosts that cannot be reached are added to their replacements, so that links return
/// after a partition.
std::set<std::string>
ChoosePeers(const MemberView& aView);

/// \param aCountUnheard whether listed hosts that have not announced themselves count as running
/// \return position of this node among the readers of its failure domain; 0 is first
std::size_t
ReaderRank(const MemberView& aView, bool aCountUnheard);

} // namespace yp

#endif
