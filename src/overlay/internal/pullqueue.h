#ifndef YP_OVERLAY_INTERNAL_PULLQUEUE_H
#define YP_OVERLAY_INTERNAL_PULLQUEUE_H

#include "overlay/ipeernetwork.h"
#include "tickets/tickettypes.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace yp {

/// Bodies that are wanted, and who is asked for them: one announcer at a time.
class PullQueue
{
public:
  /// Wants a body that a peer has.
  /// \param aNotBefore earliest time to ask, if this number is new here
  void Want(TicketNumber aNumber, LinkId aLink, TimePoint aNotBefore);

  /// Notes the hash that the body must have.
  void Expect(TicketNumber aNumber, const std::string& aHash);

  /// \return whether a body has the expected hash, if one is known
  bool Matches(TicketNumber aNumber, const std::string& aBody) const;

  /// The body has arrived.
  void Done(TicketNumber aNumber) { this->pulls.erase(aNumber); }

  /// Drops all numbers up to one.
  void DropUpTo(TicketNumber aNumber);

  /// The peer asked does not have the body.
  void Absent(TicketNumber aNumber, LinkId aLink);

  /// The link is gone.
  void DropLink(LinkId aLink);

  /// \return the numbers to ask each link for now; they count as asked
  std::map<LinkId, std::vector<TicketNumber>> Due(TimePoint aNow);

private:
  struct Pull
  {
    std::deque<LinkId> announcers; ///< not asked yet
    std::optional<LinkId> asked;
    TimePoint next; ///< earliest time to ask, or when the answer is overdue
    std::string hash;
  };

  std::map<TicketNumber, Pull> pulls;
};

} // namespace yp

#endif
