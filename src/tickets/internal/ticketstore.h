#ifndef YP_TICKETS_INTERNAL_TICKETSTORE_H
#define YP_TICKETS_INTERNAL_TICKETSTORE_H

#include "tickets/tickets.h"
#include <deque>
#include <map>
#include <set>

namespace yp {

/// Keeps recent tickets, those that determine an object, and those that wait for a gap to be filled.
class TicketStore final : public ITicketStore
{
public:
  explicit TicketStore(const IClock& aClock);

  AddResult Add(TicketNumber aNumber, std::string_view aBody, const std::string& aLearntFrom) override;
  AddResult AddHeader(const TicketHeader& aHeader, const std::string& aLearntFrom) override;
  void NoteHighest(TicketNumber aNumber) override;
  TicketNumber InForce() const override { return this->inForce; }
  TicketNumber Highest() const override { return this->highest; }
  std::vector<TicketRange> Missing(std::size_t aLimit) const override;
  std::optional<TicketHeader> Header(TicketNumber aNumber) const override;
  std::optional<std::string> Body(TicketNumber aNumber) const override;
  StateTransfer Export() const override;
  bool Import(const StateTransfer& aTransfer, const std::string& aLearntFrom) override;
  Ref<const TicketState> State() const override { return this->state; }
  std::vector<AuditRecord> Audit() const override;

private:
  /// A known ticket. Without a body it is known by its header alone.
  struct Entry
  {
    Ref<const Ticket> ticket;
    std::string learntFrom;
    bool hasBody = false;
  };

  using Entries = std::map<TicketNumber, Entry>;
  /// The ticket that determines each object, removals included.
  using Owners = std::map<ObjectKey, TicketNumber>;

  AddResult AddEntry(Entry aEntry);
  AddResult CompleteHeader(Entry& aKnown, const Entry& aEntry);
  void ApplyReady();
  std::set<TicketNumber> OwningTickets() const;
  static void Apply(TicketState& aState, Owners& aOwners, const Entry& aEntry);
  static void ApplyChange(TicketState& aState, const ObjectChange& aChange);
  void RecordOwnerChanges(const Owners& aBefore);
  void RecordRejection(const Entry& aEntry);
  void PushAudit(AuditRecord aRecord);
  void DropOld();
  void Publish(Ref<TicketState> aState, TicketNumber aInForce, Owners aOwners);

  const IClock& clock;
  TicketNumber inForce = 0;
  TicketNumber highest = 0;
  Entries entries; ///< applied and waiting tickets
  Owners owners;
  Ref<const TicketState> state;
  std::deque<AuditRecord> audit;
};

} // namespace yp

#endif
