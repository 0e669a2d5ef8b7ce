#include "rpc/internal/peercalls.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::chrono::seconds kLinkIdleTimeout{ 30 };
constexpr std::chrono::seconds kIdleCheckInterval{ 5 };

} // namespace

std::unique_ptr<IPeerCalls>
MakePeerCalls(IPeerNetwork& aNetwork, ITimers& aTimers, const IClock& aClock)
{
  return std::make_unique<PeerCalls>(aNetwork, aTimers, aClock);
}

PeerCalls::PeerCalls(IPeerNetwork& aNetwork, ITimers& aTimers, const IClock& aClock)
  : network(aNetwork)
  , timers(aTimers)
  , clock(aClock)
{
  this->network.OnLink(
    LinkPurpose::kCalls,
    [this](LinkId aLink, bool) { this->OnLinkUp(aLink); },
    [this](LinkId aLink, const Error& aError) { this->OnLinkDown(aLink, aError); });
  this->network.OnFrame(kCallFrame,
                        [this](LinkId aLink, const PeerFrame& aFrame) { this->OnCall(aLink, aFrame); });
  this->network.OnFrame(kReplyFrame, [this](LinkId, const PeerFrame& aFrame) { this->OnReply(aFrame); });
  this->idleCheckTimer =
    this->timers.At(this->clock.Now() + kIdleCheckInterval, [this] { this->CloseIdleLinks(); });
}

PeerCalls::~PeerCalls()
{
  this->timers.Cancel(this->idleCheckTimer);
  for (const auto& call : this->calls) {
    this->timers.Cancel(call.second.timer);
  }
}

void
PeerCalls::Call(const Endpoint& aPeer,
                const std::string& aMethod,
                std::string aPayload,
                TimePoint aDeadline,
                ReplyHandler aHandler)
{
  const std::uint64_t id = this->nextId++;
  PendingCall call;
  call.peer = aPeer;
  call.frame = Encode(CallMessage{ id, aMethod, std::move(aPayload) });
  call.handler = std::move(aHandler);
  call.timer = this->timers.At(aDeadline, [this, id] { this->OnDeadline(id); });
  PendingCall& pending = this->calls.emplace(id, std::move(call)).first->second;

  PeerLink& peerLink = this->peerLinks[aPeer];
  peerLink.lastUsed = this->clock.Now();
  if (peerLink.link == 0) {
    peerLink.link = this->network.Open(aPeer, LinkPurpose::kCalls);
    return;
  }
  if (peerLink.up) {
    this->SendCall(id, pending, peerLink);
  }
}

void
PeerCalls::SendCall(std::uint64_t aId, PendingCall& aCall, PeerLink& aPeerLink)
{
  const bool queued = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->network.Send(aPeerLink.link, PeerFrame{ kCallFrame, std::move(aCall.frame) }));
      return true;
    },
    [](const Error&) { return false; });
  aCall.sent = queued;
  if (queued) {
    return;
  }
  // The reply handler must not run before Call returns, so the failure is reported by a timer.
  this->timers.Cancel(aCall.timer);
  aCall.timer = this->timers.At(this->clock.Now(), [this, aId] {
    this->Fail(aId, ErrorCode::kUnavailable, "the link does not take the call");
  });
}

void
PeerCalls::Serve(const std::string& aMethod, CallHandler aHandler)
{
  this->callHandlers[aMethod] = std::move(aHandler);
}

std::map<Endpoint, PeerCalls::PeerLink>::iterator
PeerCalls::FindPeerLink(LinkId aLink)
{
  for (auto peerLink = this->peerLinks.begin(); peerLink != this->peerLinks.end(); ++peerLink) {
    if (peerLink->second.link == aLink) {
      return peerLink;
    }
  }
  return this->peerLinks.end();
}

void
PeerCalls::OnLinkUp(LinkId aLink)
{
  const auto peerLink = this->FindPeerLink(aLink);
  if (peerLink == this->peerLinks.end()) {
    return;
  }
  peerLink->second.up = true;
  for (auto& call : this->calls) {
    if (call.second.peer == peerLink->first && !call.second.sent) {
      this->SendCall(call.first, call.second, peerLink->second);
    }
  }
}

void
PeerCalls::OnLinkDown(LinkId aLink, const Error& aError)
{
  const auto peerLink = this->FindPeerLink(aLink);
  if (peerLink == this->peerLinks.end()) {
    return;
  }
  const Endpoint peer = peerLink->first;
  this->peerLinks.erase(peerLink);
  std::vector<std::pair<std::uint64_t, bool>> affected;
  for (const auto& call : this->calls) {
    if (call.second.peer == peer) {
      affected.emplace_back(call.first, call.second.sent);
    }
  }
  for (const auto& call : affected) {
    this->Fail(call.first, call.second ? ErrorCode::kConnection : ErrorCode::kUnavailable, aError.detail);
  }
}

void
PeerCalls::OnCall(LinkId aLink, const PeerFrame& aFrame)
{
  const auto handle = [&]() -> Result<void> {
    BOOST_LEAF_AUTO(call, DecodeCall(aFrame.payload));
    const std::uint64_t id = call.id;
    const auto reply = [this, aLink, id](bool aServed, std::string aPayload) {
      const PeerFrame frame{ kReplyFrame, Encode(ReplyMessage{ id, aServed, std::move(aPayload) }) };
      Recover([&] { return this->network.Send(aLink, frame); },
              [](const Error& aError) { LogError("reply_not_sent", aError); });
    };
    const auto method = this->callHandlers.find(call.method);
    if (method == this->callHandlers.end()) {
      reply(false, "");
      return {};
    }
    method->second(call.payload, [reply](std::string aPayload) { reply(true, std::move(aPayload)); });
    return {};
  };
  Recover(handle, [](const Error& aError) { LogError("call_dropped", aError); });
}

void
PeerCalls::OnReply(const PeerFrame& aFrame)
{
  const auto handle = [&]() -> Result<void> {
    BOOST_LEAF_AUTO(reply, DecodeReply(aFrame.payload));
    if (!reply.served) {
      this->Fail(reply.id, ErrorCode::kUnavailable, "the node does not serve the method");
      return {};
    }
    this->Finish(reply.id, std::move(reply.payload));
    return {};
  };
  Recover(handle, [](const Error& aError) { LogError("reply_dropped", aError); });
}

void
PeerCalls::OnDeadline(std::uint64_t aId)
{
  const auto call = this->calls.find(aId);
  if (call == this->calls.end()) {
    return;
  }
  this->Fail(
    aId, call->second.sent ? ErrorCode::kTimeout : ErrorCode::kUnavailable, "no reply before the deadline");
}

void
PeerCalls::Fail(std::uint64_t aId, ErrorCode aCode, const std::string& aDetail)
{
  const auto call = this->calls.find(aId);
  if (call == this->calls.end()) {
    return;
  }
  this->Finish(aId, Error{ aCode, "rpc.call", ToString(call->second.peer), aDetail });
}

void
PeerCalls::Finish(std::uint64_t aId, std::variant<std::string, Error> aReply)
{
  const auto call = this->calls.find(aId);
  if (call == this->calls.end()) {
    return;
  }
  const ReplyHandler handler = std::move(call->second.handler);
  this->timers.Cancel(call->second.timer);
  this->calls.erase(call);
  handler(std::move(aReply));
}

void
PeerCalls::CloseIdleLinks()
{
  const TimePoint idleCutoff = this->clock.Now() - kLinkIdleTimeout;
  for (auto peerLink = this->peerLinks.begin(); peerLink != this->peerLinks.end();) {
    const Endpoint& peer = peerLink->first;
    const bool hasPendingCalls =
      std::any_of(this->calls.begin(), this->calls.end(), [&peer](const auto& aCall) {
        return aCall.second.peer == peer;
      });
    if (hasPendingCalls || peerLink->second.lastUsed > idleCutoff) {
      ++peerLink;
      continue;
    }
    this->network.Close(peerLink->second.link);
    peerLink = this->peerLinks.erase(peerLink);
  }
  this->idleCheckTimer =
    this->timers.At(this->clock.Now() + kIdleCheckInterval, [this] { this->CloseIdleLinks(); });
}

} // namespace yp
