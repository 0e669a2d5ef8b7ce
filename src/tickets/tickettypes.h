#ifndef YP_TICKETS_TICKETTYPES_H
#define YP_TICKETS_TICKETTYPES_H

#include "framework/global/global.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yp {

using TicketNumber = std::uint64_t;
using ShardId = std::uint32_t;
using LayoutId = std::uint32_t;
using IndexVersion = std::uint64_t;

/// One shard of a layout; its weight is its size in documents.
struct ShardSpec
{
  ShardId shard = 0;
  std::uint64_t weight = 0;
};

/// A numbered partitioning of a service's data.
struct LayoutSpec
{
  LayoutId layout = 0;
  std::vector<ShardSpec> shards;

  /// \return the sum of the shards' weights
  std::uint64_t TotalWeight() const;
};

/// A serving endpoint of a backend server: one replica of one shard.
struct LeafSpec
{
  std::string leaf;
  std::string server;
  Endpoint endpoint;
  std::string failureDomain;
  LayoutId layout = 0;
  ShardId shard = 0;
};

/// Declared state of a service.
struct ServiceSpec : RefCounted<ServiceSpec>
{
  std::string name;
  TicketNumber ticket = 0;       ///< ticket that says so
  std::uint32_t slots = 0;       ///< requests a leaf executes at a time
  std::uint32_t connections = 0; ///< connections a leaf accepts, over all nodes
  std::chrono::milliseconds connectTime{ 0 };
  double loadWeight = 1.0; ///< relative load of the service, for even placement
  std::vector<LayoutSpec> layouts;
  std::vector<LeafSpec> leafs;

  /// \return the layout, or null
  const LayoutSpec* FindLayout(LayoutId aLayout) const;
};

/// What a caller prefers when not all parts arrive in time.
enum class CallerPolicy
{
  kLatency, ///< a partial answer in time goes before a late whole one
  kCoverage ///< coverage goes first, up to the deadline
};

/// Declared state of a caller.
struct CallerSpec : RefCounted<CallerSpec>
{
  std::string name;
  TicketNumber ticket = 0;
  std::vector<std::string> services;
  CallerPolicy policy = CallerPolicy::kLatency;
  std::chrono::milliseconds deadline{ 210 }; ///< used when a request names none
  double minCoverage = 0.0;                  ///< an answer below it is not given as answered
  double share = 1.0;                        ///< relative share under overload
};

/// A failure domain and the region that it lies in.
struct FailureDomainSpec
{
  std::string name;
  std::string region;
};

/// Declared state of the fleet as a whole.
struct FleetSpec : RefCounted<FleetSpec>
{
  TicketNumber ticket = 0;
  std::vector<FailureDomainSpec> failureDomains;
  double extraLoadPercent = 5.0; ///< hedges, retries and probes, of first attempts
  std::chrono::milliseconds addressTtl{ 10000 };
  double connectionHeadroomPercent = 20.0; ///< part of a leaf's connection limit that placement leaves unused
};

enum class ObjectKind
{
  kService,
  kCaller,
  kFleet
};

/// Identity of an object that tickets touch.
struct ObjectKey
{
  ObjectKind kind = ObjectKind::kService;
  std::string name;

  bool operator<(const ObjectKey& aOther) const
  {
    return this->kind != aOther.kind ? this->kind < aOther.kind : this->name < aOther.name;
  }
  bool operator==(const ObjectKey& aOther) const
  {
    return this->kind == aOther.kind && this->name == aOther.name;
  }
};

/// \return "kind/name"
std::string
ToString(const ObjectKey& aKey);

/// Parses the form written by ToString.
Result<ObjectKey>
ParseObjectKey(std::string_view aText);

/// The whole new state of one object. All pointers null: the object is removed.
struct ObjectChange
{
  ObjectKey key;
  Ref<const ServiceSpec> service;
  Ref<const CallerSpec> caller;
  Ref<const FleetSpec> fleet;

  bool Removed() const { return !this->service && !this->caller && !this->fleet; }
};

/// What is known of a ticket without its body.
struct TicketHeader
{
  TicketNumber number = 0;
  std::string hash; ///< Hash128Hex of the body
  std::uint64_t size = 0;
  bool valid = false;
  std::vector<ObjectKey> touched; ///< empty for an invalid ticket
};

/// A ticket with its body, parsed. An invalid one has a reason and no changes.
struct Ticket : RefCounted<Ticket>
{
  TicketHeader header;
  std::string body;
  std::string comment;
  std::string rejection; ///< empty for a valid ticket; otherwise path inside the ticket and what is wrong
  std::vector<ObjectChange> changes;
};

/// The state that a prefix of tickets yields. Immutable; a request pins one.
struct TicketState : RefCounted<TicketState>
{
  TicketNumber inForce = 0; ///< all tickets up to this number are applied
  std::map<std::string, Ref<const ServiceSpec>> services;
  std::map<std::string, Ref<const CallerSpec>> callers;
  Ref<const FleetSpec> fleet;                 ///< never null; defaults before a ticket declares one
  std::map<ObjectKey, TicketNumber> deferred; ///< objects whose newest body has not been fetched

  /// \return the service, or null
  Ref<const ServiceSpec> FindService(const std::string& aName) const;

  /// \return the caller, or null
  Ref<const CallerSpec> FindCaller(const std::string& aName) const;
};

/// An inclusive range of ticket numbers.
struct TicketRange
{
  TicketNumber first = 0;
  TicketNumber last = 0;
};

/// All that a new process needs to be at a number in force without the history.
struct StateTransfer
{
  TicketNumber completeTo = 0;
  std::map<TicketNumber, std::string> bodies; ///< the highest ticket of each object
  std::vector<TicketHeader> deferred;         ///< headers of those whose body the sender does not have
};

/// One line of the audit trail.
struct AuditRecord
{
  WallTime when;
  TicketNumber ticket = 0;
  std::string object;     ///< "kind/name", or empty for a rejected ticket
  TicketNumber from = 0;  ///< ticket that determined the object before; 0 when there was none
  TicketNumber to = 0;    ///< ticket that determines it now; 0 when removed
  std::string learntFrom; ///< peer or "config_service"
  std::string rejection;  ///< reason, for a rejected ticket
};

} // namespace yp

#endif
