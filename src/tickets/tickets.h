#ifndef YP_TICKETS_TICKETS_H
#define YP_TICKETS_TICKETS_H

/// \file
/// Public header of the library yp_tickets: change tickets, their validity, and the state that they yield.

#include "tickets/iticketstore.h"
#include "tickets/tickettypes.h"
#include <memory>

namespace yp {

/// Parses and checks a ticket. The verdict depends on the arguments alone, so that all nodes decide alike.
/// \param aNumber number it was published under
/// \param aBody bytes as published
/// \return the ticket; an invalid one carries its rejection
Ref<const Ticket>
ParseTicket(TicketNumber aNumber, std::string_view aBody);

/// Reads the number that a ticket's body names, for tools that have no published number.
/// \return the number; kBadInput when the body has none
Result<TicketNumber>
ReadTicketNumber(std::string_view aBody);

/// \return a store that keeps the bodies of recent tickets and of those that determine an object
/// \param aClock clock for audit records; must outlive the store
std::unique_ptr<ITicketStore>
MakeTicketStore(const IClock& aClock);

} // namespace yp

#endif
