#ifndef YP_GOSSIP_TESTS_FAKEFLEET_H
#define YP_GOSSIP_TESTS_FAKEFLEET_H

#include "framework/global/tests/faketimers.h"
#include "gossip/gossip.h"
#include <algorithm>
#include <functional>
#include <set>

namespace yp {

/// Simulated nodes that gossip in virtual time over a network from which single nodes can be disconnected.
class FakeFleet
{
public:
  struct Node : IDatagramSender
  {
    Node(FakeFleet& aFleet, const PeerRecord& aRecord)
      : fleet(aFleet)
      , self(aRecord.peerEndpoint)
    {
      GossipOptions options;
      options.seeds = aFleet.seeds;
      this->gossip = MakeGossipNode(aRecord, options, *this, aFleet.timers, aFleet.clock, aFleet.random);
    }

    void Send(const Endpoint& aPeer, const std::string& aBytes) override
    {
      this->fleet.Deliver(this->self, aPeer, aBytes);
    }

    FakeFleet& fleet;
    const Endpoint self;
    std::unique_ptr<IGossipNode> gossip;
  };

  static std::string Host(std::size_t aIndex) { return "host" + std::to_string(aIndex); }
  static Endpoint Address(std::size_t aIndex) { return { "10.0.0." + std::to_string(aIndex), 7000 }; }

  PeerRecord Record(std::size_t aIndex, std::uint64_t aStarted = 1) const
  {
    PeerRecord record;
    record.host = Host(aIndex);
    record.peerEndpoint = Address(aIndex);
    record.callerEndpoint = { record.peerEndpoint.address, 8000 };
    record.failureDomain = std::string(1, static_cast<char>('a' + aIndex % 4));
    record.region = "region";
    record.capacity = aIndex < 8 ? 500 : 120;
    record.started = aStarted;
    return record;
  }

  void StartNode(std::size_t aIndex, std::uint64_t aStarted = 1)
  {
    auto node = std::make_unique<Node>(*this, this->Record(aIndex, aStarted));
    Node& started = *node;
    this->nodes[Address(aIndex)] = std::move(node);
    started.gossip->Start();
    started.gossip->SetOwnState(PeerState::kReady);
  }

  void Kill(std::size_t aIndex) { this->nodes.erase(Address(aIndex)); }

  void StartAll(std::size_t aCount)
  {
    this->seeds = { Address(0), Address(1), Address(2) };
    for (std::size_t i = 0; i < aCount; ++i) {
      this->StartNode(i);
    }
  }

  IGossipNode& Gossip(std::size_t aIndex) { return *this->nodes.at(Address(aIndex))->gossip; }

  PeerState StateAt(std::size_t aViewer, std::size_t aOther)
  {
    for (const PeerRecord& peer : this->Gossip(aViewer).Peers()) {
      if (peer.host == Host(aOther)) {
        return peer.state;
      }
    }
    return PeerState::kJoining;
  }

  /// \return whether all running nodes hold a record of a node with the given state
  bool AllSee(std::size_t aOther, PeerState aState)
  {
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& aNode) {
      const std::vector<PeerRecord>& peers = aNode.second->gossip->Peers();
      return std::any_of(peers.begin(), peers.end(), [&](const PeerRecord& aPeer) {
        return aPeer.host == Host(aOther) && aPeer.state == aState;
      });
    });
  }

  void Deliver(const Endpoint& aFrom, const Endpoint& aTo, const std::string& aBytes)
  {
    ++this->datagrams;
    this->bytes += aBytes.size();
    if (!this->Connected(aFrom, aTo)) {
      return;
    }
    this->timers.At(this->clock.Now() + std::chrono::milliseconds(1), [this, aFrom, aTo, aBytes] {
      const auto found = this->nodes.find(aTo);
      if (found != this->nodes.end()) {
        found->second->gossip->OnDatagram(aFrom, aBytes);
      }
    });
  }

  /// \return whether datagrams from one node reach another
  bool Connected(const Endpoint& aFrom, const Endpoint& aTo) const
  {
    return this->disconnected.count(aFrom) == 0 && this->disconnected.count(aTo) == 0 &&
           this->cutOneWay.count({ aFrom, aTo }) == 0;
  }

  ManualClock clock;
  FakeTimers timers{ clock };
  SeededRandom random{ 11 };
  std::vector<Endpoint> seeds;
  std::set<Endpoint> disconnected;                   ///< nodes whose sent and received datagrams are dropped
  std::set<std::pair<Endpoint, Endpoint>> cutOneWay; ///< from and to; datagrams are dropped
  std::map<Endpoint, std::unique_ptr<Node>> nodes;
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
};

} // namespace yp

#endif
