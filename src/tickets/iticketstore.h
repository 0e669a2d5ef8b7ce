#ifndef YP_TICKETS_ITICKETSTORE_H
#define YP_TICKETS_ITICKETSTORE_H

#include "tickets/tickettypes.h"
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// What became of a ticket handed to the store.
enum class AddResult
{
  kAdded,     ///< new; it may still wait for a gap to be filled
  kDuplicate, ///< known before
  kConflict   ///< another body is known under this number; the first one stays
};

/// Keeps the tickets of a node and the state in force. Used by the control thread only.
class ITicketStore
{
public:
  virtual ~ITicketStore() = default;

  /// Adds a ticket's body. Invalid tickets are added too: they take their number and change nothing.
  /// \param aNumber number it was published under
  /// \param aBody bytes as published
  /// \param aLearntFrom peer or "config_service", for the audit trail
  virtual AddResult Add(TicketNumber aNumber, std::string_view aBody, const std::string& aLearntFrom) = 0;

  /// Adds a ticket whose body this node does not need; its objects become deferred.
  virtual AddResult AddHeader(const TicketHeader& aHeader, const std::string& aLearntFrom) = 0;

  /// Notes that a ticket with this number exists somewhere.
  virtual void NoteHighest(TicketNumber aNumber) = 0;

  /// \return the highest number k with all of 1..k known; never decreases
  virtual TicketNumber InForce() const = 0;

  /// \return the highest number heard of
  virtual TicketNumber Highest() const = 0;

  /// \return ranges above InForce and up to Highest that are not known, lowest first, at most aLimit of them
  virtual std::vector<TicketRange> Missing(std::size_t aLimit) const = 0;

  /// \return the header of a ticket, if it is still kept
  virtual std::optional<TicketHeader> Header(TicketNumber aNumber) const = 0;

  /// \return the body of a ticket, if it is still kept
  virtual std::optional<std::string> Body(TicketNumber aNumber) const = 0;

  /// \return the transfer that brings a new process to InForce
  virtual StateTransfer Export() const = 0;

  /// Takes over a transfer when it is ahead of this store, and ignores it otherwise.
  /// \return whether InForce rose
  virtual bool Import(const StateTransfer& aTransfer, const std::string& aLearntFrom) = 0;

  /// \return the state in force; never null
  virtual Ref<const TicketState> State() const = 0;

  /// \return most recent audit records, newest last
  virtual std::vector<AuditRecord> Audit() const = 0;
};

} // namespace yp

#endif
