#ifndef YP_RPC_INTERNAL_PEERCALLS_H
#define YP_RPC_INTERNAL_PEERCALLS_H

#include "rpc/internal/callmessages.h"
#include "rpc/rpc.h"
#include <map>
#include <vector>

namespace yp {

/// Uses one link per called node and closes links that have been idle for some time.
class PeerCalls final : public IPeerCalls
{
public:
  PeerCalls(IPeerNetwork& aNetwork, ITimers& aTimers, const IClock& aClock);
  ~PeerCalls() override;

  void Call(const Endpoint& aPeer,
            const std::string& aMethod,
            std::string aPayload,
            TimePoint aDeadline,
            ReplyHandler aHandler) override;
  void Serve(const std::string& aMethod, CallHandler aHandler) override;
  std::size_t Pending() const override { return this->calls.size(); }

private:
  /// An outgoing call without a reply yet.
  struct PendingCall
  {
    Endpoint peer;
    std::string frame; ///< encoded call; empty once handed to the network
    bool sent = false;
    TimerId timer = 0;
    ReplyHandler handler;
  };

  /// The link to one called node.
  struct PeerLink
  {
    LinkId link = 0;
    bool up = false;
    TimePoint lastUsed;
  };

  void OnLinkUp(LinkId aLink);
  void OnLinkDown(LinkId aLink, const Error& aError);
  void OnCall(LinkId aLink, const PeerFrame& aFrame);
  void OnReply(const PeerFrame& aFrame);
  void OnDeadline(std::uint64_t aId);
  void SendCall(std::uint64_t aId, PendingCall& aCall, PeerLink& aPeerLink);
  void Fail(std::uint64_t aId, ErrorCode aCode, const std::string& aDetail);
  void Finish(std::uint64_t aId, std::variant<std::string, Error> aReply);
  void CloseIdleLinks();
  std::map<Endpoint, PeerLink>::iterator FindPeerLink(LinkId aLink);

  IPeerNetwork& network;
  ITimers& timers;
  const IClock& clock;
  std::uint64_t nextId = 1;
  std::map<std::uint64_t, PendingCall> calls;
  std::map<Endpoint, PeerLink> peerLinks;
  std::map<std::string, CallHandler> callHandlers;
  TimerId idleCheckTimer = 0;
};

} // namespace yp

#endif
