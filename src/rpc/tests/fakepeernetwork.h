#ifndef YP_RPC_TESTS_FAKEPEERNETWORK_H
#define YP_RPC_TESTS_FAKEPEERNETWORK_H

#include "overlay/ipeernetwork.h"
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace yp {

/// Joins several fake networks in one test; frames arrive after a fixed delay.
class FakePeerFabric;

/// The peer network of one node in a test.
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
    this->ups.push_back(aUp);
    this->downs.push_back(aDown);
  }

  std::vector<std::string> sentTypes; ///< types of the frames sent, in order

private:
  friend class FakePeerFabric;
  FakePeerFabric& fabric;
  Endpoint self;
  std::map<std::string, FrameHandler> handlers;
  std::vector<LinkUpHandler> ups;
  std::vector<LinkDownHandler> downs;
};

class FakePeerFabric
{
public:
  FakePeerFabric(ITimers& aTimers, const IClock& aClock)
    : timers(aTimers)
    , clock(aClock)
  {
  }

  /// Makes a node unreachable: opens fail and its links go down.
  void Cut(const Endpoint& aNode)
  {
    this->cut.insert(aNode);
    const auto links = this->ends;
    for (const auto& link : links) {
      if (link.second.first == aNode || link.second.second == aNode) {
        this->Drop(link.first);
      }
    }
  }

private:
  friend class FakePeerNetwork;
  static constexpr std::chrono::milliseconds kDelay{ 1 };

  void Later(std::function<void()> aFunction)
  {
    this->timers.At(this->clock.Now() + kDelay, std::move(aFunction));
  }

  /// Link ids come in pairs: 2n at the opener, 2n + 1 at the other end.
  LinkId Connect(const Endpoint& aFrom, const Endpoint& aTo)
  {
    const LinkId link = this->nextLink;
    this->nextLink += 2;
    this->Later([this, link, aFrom, aTo] {
      if (this->cut.count(aTo) != 0 || this->nodes.count(aTo) == 0) {
        this->Down(aFrom, link);
        return;
      }
      this->ends[link] = { aFrom, aTo };
      this->Up(aFrom, link, true);
      this->Up(aTo, link + 1, false);
    });
    return link;
  }

  void Up(const Endpoint& aNode, LinkId aLink, bool aOutbound)
  {
    for (const auto& handler : this->nodes.at(aNode)->ups) {
      handler(aLink, aOutbound);
    }
  }

  void Down(const Endpoint& aNode, LinkId aLink)
  {
    if (this->nodes.count(aNode) == 0) {
      return;
    }
    for (const auto& handler : this->nodes.at(aNode)->downs) {
      handler(aLink, Error{ ErrorCode::kConnection, "fake.link", "", "link lost" });
    }
  }

  void Drop(LinkId aLink)
  {
    const auto link = this->ends.find(aLink);
    const auto both = link->second;
    this->ends.erase(link);
    this->Down(both.first, aLink);
    this->Down(both.second, aLink + 1);
  }

  bool Deliver(LinkId aFrom, const PeerFrame& aFrame)
  {
    const LinkId link = aFrom & ~LinkId(1);
    if (this->ends.count(link) == 0) {
      return false;
    }
    this->Later([this, link, aFrom, aFrame] {
      const auto found = this->ends.find(link);
      if (found == this->ends.end()) {
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
  std::map<LinkId, std::pair<Endpoint, Endpoint>> ends;
  std::set<Endpoint> cut;
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
  this->fabric.ends.erase(aLink & ~LinkId(1));
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
