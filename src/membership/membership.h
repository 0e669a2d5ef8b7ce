#ifndef YP_MEMBERSHIP_MEMBERSHIP_H
#define YP_MEMBERSHIP_MEMBERSHIP_H

/// \file
/// Public header of the library yp_membership: which nodes exist and which of them can be reached.

#include "membership/imembertable.h"
#include <memory>

namespace yp {

/// Creates a member table that contains only this node.
/// \param aSelf record of this node; its sequence is set to 1
/// \param aClock must outlive the table
std::unique_ptr<IMemberTable>
MakeMemberTable(MemberRecord aSelf, const IClock& aClock);

} // namespace yp

#endif
