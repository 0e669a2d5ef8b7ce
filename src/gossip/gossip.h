#ifndef YP_GOSSIP_GOSSIP_H
#define YP_GOSSIP_GOSSIP_H

/// \file
/// Public header of the library yp_gossip: which nodes are there, learnt from seeds and from each other by
/// datagrams, and which of them callers are sent to.

#include "gossip/gossiptypes.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace yp {

/// Sends datagrams; they may be lost.
class IDatagramSender
{
public:
  virtual ~IDatagramSender() = default;
  virtual void Send(const Endpoint& aPeer, const std::string& aBytes) = 0;
};

/// Membership of one node. Used on one thread.
class IGossipNode
{
public:
  virtual ~IGossipNode() = default;

  /// Begins to probe. Until a peer answers, the seeds are asked.
  virtual void Start() = 0;

  /// Replaces the nodes that are asked while no peer answers.
  virtual void SetSeeds(std::vector<Endpoint> aSeeds) = 0;

  virtual void SetOwnState(PeerState aState) = 0;

  /// Tells others that this node cannot reach the source of changes, or reaches it again.
  virtual void SetSourceUnreachable(bool aAway) = 0;

  /// Sets what this node knows of the published changes.
  virtual void SetFeedPosition(const FeedPosition& aPosition) = 0;

  /// Sets who is told what other nodes know.
  virtual void OnFeedPosition(std::function<void(const PeerRecord&, const FeedPosition&)> aHandler) = 0;

  /// Sends a node this one's record and feed position.
  virtual void Notify(const PeerRecord& aPeer) = 0;

  /// Takes a datagram from a peer; malformed ones are logged and dropped.
  virtual void OnDatagram(const Endpoint& aFrom, const std::string& aBytes) = 0;

  /// \return all known nodes, this one included; valid until the next call of any method
  virtual const std::vector<PeerRecord>& Peers() const = 0;

  virtual const PeerRecord& Own() const = 0;

  /// \return number of nodes seen up within the last half minute, at least 1. It does not shrink at once when
  ///   this node loses contact, so that what the nodes divide among each other is not given out twice.
  virtual std::size_t FleetSize() const = 0;
};

/// \param aOwn this node; started and sequence are raised when others know a later run
std::unique_ptr<IGossipNode>
MakeGossipNode(PeerRecord aOwn,
               const GossipOptions& aOptions,
               IDatagramSender& aDatagrams,
               ITimers& aTimers,
               const IClock& aClock,
               IRandom& aRandom);

/// UDP on one io_context that is run by a single thread.
class IUdpTransport : public IDatagramSender
{
public:
  /// Sets the receiver; datagrams before it are dropped.
  virtual void OnReceive(std::function<void(const Endpoint&, const std::string&)> aHandler) = 0;
};

/// \return the transport; kBadInput for an address that is not numeric, kUnavailable when it cannot be bound
Result<std::unique_ptr<IUdpTransport>>
OpenUdp(boost::asio::io_context& aContext, const Endpoint& aLocal);

/// What the choice of entries depends on besides the peers.
struct EntryPolicy
{
  std::map<std::string, double> coverage; ///< by failure domain: share of the shards that have a leaf there
};

/// The nodes that callers are sent to now. Every node computes it from what it knows; nobody is elected.
struct EntryPlan
{
  std::vector<PeerRecord> entries;
  std::uint64_t capacity = 0; ///< of all entries
  bool includesOwn = false;   ///< whether the first of the peers is among them
};

/// Chooses the entries: ready nodes, the largest first, until they hold a good part of the fleet's capacity.
/// Smaller nodes are the reserve. Nodes far from the leafs are left out as long as the others suffice. When
/// no other node answers, this one is likely to be cut off itself, and nodes that do not answer are taken
/// too. \param aPeers this node first
EntryPlan
PlanEntries(const std::vector<PeerRecord>& aPeers, const EntryPolicy& aPolicy);

/// Draws the addresses of one answer from a plan, by capacity.
/// \param aRegion of the caller; nodes of other regions are given only when its own has none
std::vector<Endpoint>
DrawEntries(const EntryPlan& aPlan, const std::string& aRegion, IRandom& aRandom);

} // namespace yp

#endif
