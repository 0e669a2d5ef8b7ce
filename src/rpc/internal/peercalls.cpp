#include "rpc/internal/peercalls.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::chrono::seconds kIdleRoute{ 30 };
constexpr std::chrono::seconds kSweepInterval{ 5 };

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
  this->sweepTimer = this->timers.At(this->clock.Now() + kSweepInterval, [this] { this->CloseIdleRoutes(); });
}

PeerCalls::~PeerCalls()
{
  this->timers.Cancel(this->sweepTimer);
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

  Route& route = this->routes[aPeer];
  route.lastUsed = this->clock.Now();
  if (route.link == 0) {
    route.link = this->network.Open(aPeer, LinkPurpose::kCalls);
    return;
  }
  if (route.up) {
    this->SendCall(id, pending, route);
  }
}

void
PeerCalls::SendCall(std::uint64_t aId, PendingCall& aCall, Route& aRoute)
{
  const bool queued = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->network.Send(aRoute.link, PeerFrame{ kCallFrame, std::move(aCall.frame) }));
      return true;
    },
    [](const Error&) { return false; });
  aCall.sent = queued;
  if (queued) {
    return;
  }
  // The handler must not run from within Call.
  this->timers.Cancel(aCall.timer);
  aCall.timer = this->timers.At(this->clock.Now(), [this, aId] {
    this->Fail(aId, ErrorCode::kUnavailable, "the link does not take the call");
  });
}

void
PeerCalls::Serve(const std::string& aMethod, CallHandler aHandler)
{
  this->methods[aMethod] = std::move(aHandler);
}

std::map<Endpoint, PeerCalls::Route>::iterator
PeerCalls::FindRoute(LinkId aLink)
{
  for (auto route = this->routes.begin(); route != this->routes.end(); ++route) {
    if (route->second.link == aLink) {
      return route;
    }
  }
  return this->routes.end();
}

void
PeerCalls::OnLinkUp(LinkId aLink)
{
  const auto route = this->FindRoute(aLink);
  if (route == this->routes.end()) {
    return;
  }
  route->second.up = true;
  for (auto& call : this->calls) {
    if (call.second.peer == route->first && !call.second.sent) {
      this->SendCall(call.first, call.second, route->second);
    }
  }
}

void
PeerCalls::OnLinkDown(LinkId aLink, const Error& aError)
{
  const auto route = this->FindRoute(aLink);
  if (route == this->routes.end()) {
    return;
  }
  const Endpoint peer = route->first;
  this->routes.erase(route);
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
    const auto method = this->methods.find(call.method);
    if (method == this->methods.end()) {
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
PeerCalls::CloseIdleRoutes()
{
  const TimePoint oldest = this->clock.Now() - kIdleRoute;
  for (auto route = this->routes.begin(); route != this->routes.end();) {
    const Endpoint& peer = route->first;
    const bool used = std::any_of(this->calls.begin(), this->calls.end(), [&peer](const auto& aCall) {
      return aCall.second.peer == peer;
    });
    if (used || route->second.lastUsed > oldest) {
      ++route;
      continue;
    }
    this->network.Close(route->second.link);
    route = this->routes.erase(route);
  }
  this->sweepTimer = this->timers.At(this->clock.Now() + kSweepInterval, [this] { this->CloseIdleRoutes(); });
}

} // namespace yp
