#ifndef YP_GOSSIP_GOSSIP_H
#define YP_GOSSIP_GOSSIP_H

/// \file
/// Public header of the library yp_gossip: gossip membership over datagrams, bootstrapped from seed nodes,
/// and the selection of the nodes whose addresses are given to callers.

#include "gossip/gossiptypes.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace yp {

/// Sends datagrams without a guarantee of delivery.
class IDatagramSender
{
public:
  virtual ~IDatagramSender() = default;
  virtual void Send(const Endpoint& aPeer, const std::string& aBytes) = 0;
};

/// One node's view of the fleet's membership. Not thread-safe; used on one thread.
class IGossipNode
{
public:
  virtual ~IGossipNode() = default;

  /// Starts probing. Until a message from a peer is received, records are requested from the seeds.
  virtual void Start() = 0;

  /// Replaces the seeds and requests records from the new ones at once.
  virtual void SetSeeds(std::vector<Endpoint> aSeeds) = 0;

  virtual void SetOwnState(PeerState aState) = 0;

  /// Publishes in this node's record whether it can reach the source of changes.
  virtual void SetSourceUnreachable(bool aUnreachable) = 0;

  /// Sets this node's position in the change feed, which is sent with each message.
  virtual void SetFeedPosition(const FeedPosition& aPosition) = 0;

  /// Sets the handler that is called with the feed position of each peer that sends a message.
  virtual void OnFeedPosition(std::function<void(const PeerRecord&, const FeedPosition&)> aHandler) = 0;

  /// Sends this node's record and feed position to a peer.
  virtual void Notify(const PeerRecord& aPeer) = 0;

  /// Processes a datagram from a peer. Malformed datagrams are logged and dropped.
  virtual void OnDatagram(const Endpoint& aFrom, const std::string& aBytes) = 0;

  /// \return the records of all known nodes, this node first; valid until the next call of any method
  virtual const std::vector<PeerRecord>& Peers() const = 0;

  virtual const PeerRecord& Own() const = 0;

  /// \return number of nodes that were up within the last 30 s, at least 1. The delay keeps a node that loses
  ///   contact from claiming a larger part of limits that are divided among the nodes.
  virtual std::size_t FleetSize() const = 0;
};

/// \param aOwn this node's record; started and sequence are raised when peers hold a newer record of this
///   host
std::unique_ptr<IGossipNode>
MakeGossipNode(PeerRecord aOwn,
               const GossipOptions& aOptions,
               IDatagramSender& aDatagrams,
               ITimers& aTimers,
               const IClock& aClock,
               IRandom& aRandom);

/// UDP transport on an io_context that is run by a single thread.
class IUdpTransport : public IDatagramSender
{
public:
  /// Sets the handler of received datagrams. Datagrams that arrive before are dropped.
  virtual void OnReceive(std::function<void(const Endpoint&, const std::string&)> aHandler) = 0;
};

/// Opens a UDP socket.
/// \return the transport; kBadInput for an address that is not numeric, kUnavailable when it cannot be bound
Result<std::unique_ptr<IUdpTransport>>
OpenUdp(boost::asio::io_context& aContext, const Endpoint& aLocal);

/// Inputs of the entry selection besides the peer records.
struct EntryPolicy
{
  std::map<std::string, double> coverage; ///< by failure domain: share of shards with a leaf there, 0 to 1
};

/// The nodes whose addresses are given to callers. Each node computes its own plan from the peer records that
/// it knows; there is no election.
struct EntryPlan
{
  std::vector<PeerRecord> entries;
  std::uint64_t capacity = 0; ///< sum over the entries, in thousandths of a core
  bool includesOwn = false;   ///< whether this node is one of the entries
};

/// Selects the entries from the ready nodes. Only large nodes are selected while they hold a sufficient share
/// of the fleet's capacity; when some of them are lost, as many other nodes are added as make up for it, and
/// when most of them are lost, all nodes are entries. Also, nodes in failure domains with few leafs are left
/// out while the others suffice. When no other node answers, this node is probably disconnected itself, so
/// unresponsive nodes are included. \param aPeers peer records, this node first
EntryPlan
PlanEntries(const std::vector<PeerRecord>& aPeers, const EntryPolicy& aPolicy);

/// Draws the addresses of one answer at random from a plan, weighted by capacity.
/// \param aRegion region of the caller; nodes of other regions are returned only when this region has none
std::vector<Endpoint>
DrawEntries(const EntryPlan& aPlan, const std::string& aRegion, IRandom& aRandom);

} // namespace yp

#endif
