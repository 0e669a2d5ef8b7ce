#ifndef YP_FLEETSTATUS_INTERNAL_STATUSMESSAGES_H
#define YP_FLEETSTATUS_INTERNAL_STATUSMESSAGES_H

#include "fleetstatus/ifleetstatus.h"

namespace yp {

/// A member of a group, as named to the group's delegate.
struct GroupMember
{
  std::string host;
  Endpoint peer;
};

/// Asks a delegate for the reports of a group. An empty group asks for the delegate's own report alone.
struct GroupQuestion
{
  std::vector<GroupMember> members;
  std::chrono::milliseconds wait{ 0 }; ///< how long the delegate waits for its group
};

/// A report with its age when it was sent.
struct AgedReport
{
  NodeReport report;
  std::chrono::milliseconds age{ 0 };
};

std::string
Encode(const GroupQuestion& aQuestion);

std::string
Encode(const std::vector<AgedReport>& aReports);

Result<GroupQuestion>
DecodeGroupQuestion(std::string_view aBytes);

Result<std::vector<AgedReport>>
DecodeReports(std::string_view aBytes);

} // namespace yp

#endif
