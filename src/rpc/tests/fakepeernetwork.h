#ifndef YP_RPC_TESTS_FAKEPEERNETWORK_H
#define YP_RPC_TESTS_FAKEPEERNETWORK_H

#include "overlay/ipeernetwork.h"
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace yp {

/// Connects the fake networks of the nodes of a test. Links open and frames arrive after a fixed delay.
class FakePeerFabric;

/// Fake peer network of one node.
class FakePeerNetwork final : public IPeerNetwork
{
public:
  FakePeerNetwork(FakePeerFabric& aFabric, Endpoint aSelf);
  ~FakePeerNetwork() override;

  LinkId Open(const Endpoint& aEndpoint, LinkPurpose aPurpose) override;
  void Close(LinkId aLink) override;
  Result<void> Send(LinkId aLink, const PeerFrame& aFrame) override;
  void OnFrame(const std::string& aType, FrameHandler aHandler) override { this->handlers[aType] = aHandler; }
  void OnLink(LinkPurpose, LinkUpHandler aUp, LinkDownHandler aDown) override
  {
    this->linkUpHandlers.push_back(aUp);
    this->linkDownHandlers.push_back(aDown);
  }

  std::vector<std::string> sentTypes; ///< types of the frames sent, in order

private:
  friend class FakePeerFabric;
  FakePeerFabric& fabric;
  Endpoint self;
  std::map<std::string, FrameHandler> handlers;
  std::vector<LinkUpHandler> linkUpHandlers;
  std::vector<LinkDownHandler> linkDownHandlers;
};

class FakePeerFabric
{
public:
  FakePeerFabric(ITimers& aTimers, const IClock& aClock)
    : timers(aTimers)
    , clock(aClock)
  {
  }

  /// Drops the links of a node and lets new links to it fail.
  void MakeUnreachable(const Endpoint& aNode)
  {
    this->unreachable.insert(aNode);
    const auto links = this->openLinks;
    for (const auto& link : links) {
      if (link.second.first == aNode || link.second.second == aNode) {
        this->DropLink(link.first);
      }
    }
  }

private:
  friend class FakePeerNetwork;
  static constexpr std::chrono::milliseconds kNetworkDelay{ 1 };

  void RunAfterDelay(std::function<void()> aFunction)
  {
    this->timers.At(this->clock.Now() + kNetworkDelay, std::move(aFunction));
  }

  /// Opens a link. The node that opens it knows it by an even id, the other node by that id + 1.
  LinkId Connect(const Endpoint& aFrom, const Endpoint& aTo)
  {
    const LinkId link = this->nextLink;
    this->nextLink += 2;
    this->RunAfterDelay([this, link, aFrom, aTo] {
      if (this->unreachable.count(aTo) != 0 || this->nodes.count(aTo) == 0) {
        this->NotifyLinkDown(aFrom, link);
        return;
      }
      this->openLinks[link] = { aFrom, aTo };
      this->NotifyLinkUp(aFrom, link, true);
      this->NotifyLinkUp(aTo, link + 1, false);
    });
    return link;
  }

  void NotifyLinkUp(const Endpoint& aNode, LinkId aLink, bool aOutbound)
  {
    for (const auto& handler : this->nodes.at(aNode)->linkUpHandlers) {
      handler(aLink, aOutbound);
    }
  }

  void NotifyLinkDown(const Endpoint& aNode, LinkId aLink)
  {
    if (this->nodes.count(aNode) == 0) {
      return;
    }
    for (const auto& handler : this->nodes.at(aNode)->linkDownHandlers) {
      handler(aLink, Error{ ErrorCode::kConnection, "fake.link", "", "link lost" });
    }
  }

  void DropLink(LinkId aLink)
  {
    const auto link = this->openLinks.find(aLink);
    const auto linkEnds = link->second;
    this->openLinks.erase(link);
    this->NotifyLinkDown(linkEnds.first, aLink);
    this->NotifyLinkDown(linkEnds.second, aLink + 1);
  }

  bool Deliver(LinkId aFrom, const PeerFrame& aFrame)
  {
    const LinkId link = aFrom & ~LinkId(1);
    if (this->openLinks.count(link) == 0) {
      return false;
    }
    this->RunAfterDelay([this, link, aFrom, aFrame] {
      const auto found = this->openLinks.find(link);
      if (found == this->openLinks.end()) {
        return;
      }
      const Endpoint& target = aFrom == link ? found->second.second : found->second.first;
      FakePeerNetwork* node = this->nodes.at(target);
      const auto handler = node->handlers.find(aFrame.type);
      if (handler != node->handlers.end()) {
        handler->second(aFrom ^ 1, aFrame);
      }
    });
    return true;
  }

  ITimers& timers;
  const IClock& clock;
  LinkId nextLink = 2;
  std::map<Endpoint, FakePeerNetwork*> nodes;
  std::map<LinkId, std::pair<Endpoint, Endpoint>> openLinks;
  std::set<Endpoint> unreachable;
};

inline FakePeerNetwork::FakePeerNetwork(FakePeerFabric& aFabric, Endpoint aSelf)
  : fabric(aFabric)
  , self(std::move(aSelf))
{
  this->fabric.nodes[this->self] = this;
}

inline FakePeerNetwork::~FakePeerNetwork()
{
  this->fabric.nodes.erase(this->self);
}

inline LinkId
FakePeerNetwork::Open(const Endpoint& aEndpoint, LinkPurpose)
{
  return this->fabric.Connect(this->self, aEndpoint);
}

inline void
FakePeerNetwork::Close(LinkId aLink)
{
  this->fabric.openLinks.erase(aLink & ~LinkId(1));
}

inline Result<void>
FakePeerNetwork::Send(LinkId aLink, const PeerFrame& aFrame)
{
  this->sentTypes.push_back(aFrame.type);
  if (!this->fabric.Deliver(aLink, aFrame)) {
    return Fail(ErrorCode::kNotFound, "fake.send", "", "no such link");
  }
  return {};
}

} // namespace yp

#endif
