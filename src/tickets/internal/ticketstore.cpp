#include "tickets/internal/ticketstore.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::size_t kAuditRecords = 4096;
// Peers that missed a flood ask for recent tickets; older ones come by state transfer.
constexpr TicketNumber kRecentTickets = 256;

Ref<const Ticket>
TicketFromHeader(const TicketHeader& aHeader)
{
  Ref<Ticket> ticket(new Ticket);
  ticket->header = aHeader;
  if (!aHeader.valid) {
    ticket->rejection = "rejected; the body has not been fetched by this node";
  }
  return ticket;
}

} // namespace

std::unique_ptr<ITicketStore>
MakeTicketStore(const IClock& aClock)
{
  return std::make_unique<TicketStore>(aClock);
}

TicketStore::TicketStore(const IClock& aClock)
  : clock(aClock)
{
  Ref<TicketState> initial(new TicketState);
  initial->fleet = new FleetSpec;
  this->state = initial;
}

AddResult
TicketStore::Add(TicketNumber aNumber, std::string_view aBody, const std::string& aLearntFrom)
{
  return this->AddEntry({ ParseTicket(aNumber, aBody), aLearntFrom, true });
}

AddResult
TicketStore::AddHeader(const TicketHeader& aHeader, const std::string& aLearntFrom)
{
  return this->AddEntry({ TicketFromHeader(aHeader), aLearntFrom, false });
}

AddResult
TicketStore::AddEntry(Entry aEntry)
{
  const TicketNumber number = aEntry.ticket->header.number;
  this->NoteHighest(number);
  const auto known = this->entries.find(number);
  if (known != this->entries.end()) {
    return this->CompleteHeader(known->second, aEntry);
  }
  if (number <= this->inForce) {
    return AddResult::kDuplicate;
  }
  this->entries.emplace(number, std::move(aEntry));
  this->ApplyReady();
  return AddResult::kAdded;
}

AddResult
TicketStore::CompleteHeader(Entry& aKnown, const Entry& aEntry)
{
  if (aKnown.ticket->header.hash != aEntry.ticket->header.hash) {
    LogEvent(LogLevel::kError,
             "ticket_conflict",
             { { "ticket", aKnown.ticket->header.number },
               { "kept_hash", aKnown.ticket->header.hash },
               { "other_hash", aEntry.ticket->header.hash },
               { "peer", aEntry.learntFrom } });
    return AddResult::kConflict;
  }
  if (aKnown.hasBody || !aEntry.hasBody) {
    return AddResult::kDuplicate;
  }
  aKnown = aEntry;
  const TicketNumber number = aEntry.ticket->header.number;
  if (number > this->inForce) {
    return AddResult::kAdded;
  }
  Ref<TicketState> next(new TicketState(*this->state));
  for (const ObjectChange& change : aKnown.ticket->changes) {
    if (this->owners[change.key] == number) {
      ApplyChange(*next, change);
    }
  }
  this->Publish(next, this->inForce, this->owners);
  return AddResult::kAdded;
}

void
TicketStore::NoteHighest(TicketNumber aNumber)
{
  this->highest = std::max(this->highest, aNumber);
}

void
TicketStore::ApplyReady()
{
  auto next = this->entries.find(this->inForce + 1);
  if (next == this->entries.end()) {
    return;
  }
  Ref<TicketState> changed(new TicketState(*this->state));
  Owners changedOwners = this->owners;
  TicketNumber reached = this->inForce;
  while (next != this->entries.end() && next->first == reached + 1) {
    Apply(*changed, changedOwners, next->second);
    if (!next->second.ticket->header.valid) {
      this->RecordRejection(next->second);
    }
    ++reached;
    ++next;
  }
  this->Publish(changed, reached, std::move(changedOwners));
  this->DropOld();
}

void
TicketStore::Apply(TicketState& aState, Owners& aOwners, const Entry& aEntry)
{
  const TicketHeader& header = aEntry.ticket->header;
  for (const ObjectKey& key : header.touched) {
    aOwners[key] = header.number;
    if (!aEntry.hasBody) {
      aState.deferred[key] = header.number;
    }
  }
  for (const ObjectChange& change : aEntry.ticket->changes) {
    ApplyChange(aState, change);
  }
}

void
TicketStore::ApplyChange(TicketState& aState, const ObjectChange& aChange)
{
  aState.deferred.erase(aChange.key);
  switch (aChange.key.kind) {
    case ObjectKind::kService:
      aState.services.erase(aChange.key.name);
      if (aChange.service) {
        aState.services.emplace(aChange.key.name, aChange.service);
      }
      break;
    case ObjectKind::kCaller:
      aState.callers.erase(aChange.key.name);
      if (aChange.caller) {
        aState.callers.emplace(aChange.key.name, aChange.caller);
      }
      break;
    case ObjectKind::kFleet:
      aState.fleet = aChange.fleet ? aChange.fleet : Ref<const FleetSpec>(new FleetSpec);
      break;
  }
}

void
TicketStore::RecordOwnerChanges(const Owners& aBefore)
{
  for (const auto& owner : this->owners) {
    const auto before = aBefore.find(owner.first);
    const TicketNumber previous = before == aBefore.end() ? 0 : before->second;
    if (previous == owner.second) {
      continue;
    }
    YP_INVARIANT(owner.second > previous,
                 "object_never_reverts",
                 ToString(owner.first) + " from ticket " + std::to_string(previous) + " to " +
                   std::to_string(owner.second));
    const Entry& entry = this->entries.at(owner.second);
    const auto& changes = entry.ticket->changes;
    const bool removed = std::any_of(changes.begin(), changes.end(), [&owner](const ObjectChange& aChange) {
      return aChange.key == owner.first && aChange.Removed();
    });
    this->PushAudit({ this->clock.Wall(),
                      owner.second,
                      ToString(owner.first),
                      previous,
                      removed ? 0 : owner.second,
                      entry.learntFrom,
                      "" });
  }
}

void
TicketStore::RecordRejection(const Entry& aEntry)
{
  const TicketNumber number = aEntry.ticket->header.number;
  LogEvent(
    LogLevel::kWarning, "ticket_rejected", { { "ticket", number }, { "reason", aEntry.ticket->rejection } });
  this->PushAudit({ this->clock.Wall(), number, "", 0, 0, aEntry.learntFrom, aEntry.ticket->rejection });
}

void
TicketStore::PushAudit(AuditRecord aRecord)
{
  this->audit.push_back(std::move(aRecord));
  if (this->audit.size() > kAuditRecords) {
    this->audit.pop_front();
  }
}

void
TicketStore::Publish(Ref<TicketState> aState, TicketNumber aInForce, Owners aOwners)
{
  YP_INVARIANT(aInForce >= this->inForce,
               "in_force_never_decreases",
               std::to_string(this->inForce) + " to " + std::to_string(aInForce));
  this->inForce = aInForce;
  aState->inForce = aInForce;
  this->state = aState;
  this->owners.swap(aOwners);
  this->RecordOwnerChanges(aOwners);
}

std::set<TicketNumber>
TicketStore::OwningTickets() const
{
  std::set<TicketNumber> tickets;
  for (const auto& owner : this->owners) {
    tickets.insert(owner.second);
  }
  return tickets;
}

void
TicketStore::DropOld()
{
  const std::set<TicketNumber> needed = this->OwningTickets();
  const TicketNumber oldest = this->inForce > kRecentTickets ? this->inForce - kRecentTickets : 0;
  for (auto entry = this->entries.begin(); entry != this->entries.end() && entry->first <= oldest;) {
    entry = needed.count(entry->first) != 0 ? std::next(entry) : this->entries.erase(entry);
  }
}

std::vector<TicketRange>
TicketStore::Missing(std::size_t aLimit) const
{
  std::vector<TicketRange> ranges;
  TicketNumber expected = this->inForce + 1;
  for (auto entry = this->entries.upper_bound(this->inForce); ranges.size() < aLimit; ++entry) {
    const bool atEnd = entry == this->entries.end();
    const TicketNumber next = atEnd ? this->highest + 1 : entry->first;
    if (next > expected) {
      ranges.push_back({ expected, next - 1 });
    }
    if (atEnd) {
      break;
    }
    expected = next + 1;
  }
  return ranges;
}

std::optional<TicketHeader>
TicketStore::Header(TicketNumber aNumber) const
{
  const auto found = this->entries.find(aNumber);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  return found->second.ticket->header;
}

std::optional<std::string>
TicketStore::Body(TicketNumber aNumber) const
{
  const auto found = this->entries.find(aNumber);
  if (found == this->entries.end() || !found->second.hasBody) {
    return std::nullopt;
  }
  return found->second.ticket->body;
}

StateTransfer
TicketStore::Export() const
{
  StateTransfer transfer;
  transfer.completeTo = this->inForce;
  for (const TicketNumber number : this->OwningTickets()) {
    const Entry& entry = this->entries.at(number);
    if (entry.hasBody) {
      transfer.bodies.emplace(number, entry.ticket->body);
    } else {
      transfer.deferred.push_back(entry.ticket->header);
    }
  }
  return transfer;
}

bool
TicketStore::Import(const StateTransfer& aTransfer, const std::string& aLearntFrom)
{
  this->NoteHighest(aTransfer.completeTo);
  if (aTransfer.completeTo <= this->inForce) {
    return false;
  }
  Entries imported;
  for (const auto& body : aTransfer.bodies) {
    if (body.first <= aTransfer.completeTo) {
      imported.emplace(body.first, Entry{ ParseTicket(body.first, body.second), aLearntFrom, true });
    }
  }
  for (const TicketHeader& header : aTransfer.deferred) {
    if (header.number <= aTransfer.completeTo) {
      imported.emplace(header.number, Entry{ TicketFromHeader(header), aLearntFrom, false });
    }
  }
  // Objects that the transfer does not name were removed up to its number, so the state is built from
  // nothing.
  Ref<TicketState> next(new TicketState);
  next->fleet = new FleetSpec;
  Owners importedOwners;
  for (const auto& entry : imported) {
    Apply(*next, importedOwners, entry.second);
  }
  this->entries.erase(this->entries.begin(), this->entries.upper_bound(aTransfer.completeTo));
  this->entries.merge(imported);
  this->Publish(next, aTransfer.completeTo, std::move(importedOwners));
  this->ApplyReady();
  return true;
}

std::vector<AuditRecord>
TicketStore::Audit() const
{
  return { this->audit.begin(), this->audit.end() };
}

} // namespace yp
