#include "leaf/internal/leafgroup.h"
#include "leaf/internal/leafpool.h"
#include <algorithm>

namespace yp {

namespace {

/// Percent-encodes a path segment, except for ASCII letters, digits, '-', '_' and '.'.
std::string
EncodeSegment(const std::string& aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
                       (byte >= 'a' && byte <= 'z') || byte == '-' || byte == '_' || byte == '.';
    if (plain) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 15];
  }
  return encoded;
}

std::string
MakeRequestStart(const LeafShare& aShare, const char* aOperation)
{
  return "POST /v1/leafs/" + EncodeSegment(aShare.leaf) + "/" + aOperation +
         " HTTP/1.1\r\nHost: " + ToString(aShare.peer) + "\r\nContent-Type: application/json\r\n";
}

} // namespace

LeafGroup::LeafGroup(LeafPool& aPool, const LeafShare& aShare)
  : pool(aPool)
{
  this->SetShare(aShare);
}

void
LeafGroup::SetShare(const LeafShare& aShare)
{
  const bool moved = this->share.peer != aShare.peer;
  this->share = aShare;
  if (moved || this->peerName.empty()) {
    this->peerName = ToString(aShare.peer);
    this->searchStart = MakeRequestStart(aShare, "search");
    this->executeStart = MakeRequestStart(aShare, "execute");
  }
  if (this->share.connections == 0) {
    this->FailQueue(NotRunReason::kNoFreeConnection,
                    "no share of the leaf's connections is assigned to this node");
  }
}

void
LeafGroup::DropShare()
{
  LeafShare none = this->share;
  none.connections = 0;
  this->SetShare(none);
}

std::size_t
LeafGroup::Allowed() const
{
  const std::size_t declared = this->share.connections;
  return this->pool.Now() < this->refusedUntil ? std::min(declared, this->penalisedShare) : declared;
}

void
LeafGroup::Start(Attempt& aAttempt)
{
  if (this->share.connections == 0) {
    this->pool.FinishNotRun(aAttempt,
                            NotRunReason::kNoFreeConnection,
                            "no share of the leaf's connections is assigned to this node");
    return;
  }
  if (!this->idle.empty()) {
    this->WriteToIdle(aAttempt, this->pool.Now());
    return;
  }
  this->queue.push_back(aAttempt);
  this->pool.Timers().Set(aAttempt, std::min(aAttempt.request.queueUntil, aAttempt.request.deadline));
}

void
LeafGroup::ServeQueue()
{
  while (!this->queue.empty() && !this->idle.empty()) {
    Attempt& next = this->queue.front();
    // After a pause of the process, expired timers may not have run yet.
    const TimePoint now = this->pool.Now();
    if (this->pool.FinishIfExpired(next, now)) {
      continue;
    }
    next.QueueHook::unlink();
    this->WriteToIdle(next, now);
  }
}

void
LeafGroup::WriteToIdle(Attempt& aAttempt, TimePoint aNow)
{
  if (this->pool.FinishIfExpired(aAttempt, aNow)) {
    return;
  }
  this->pool.Timers().Set(aAttempt, aAttempt.request.deadline);
  Connection& connection = *this->idle.back();
  this->idle.pop_back();
  connection.Write(aAttempt, aNow);
}

void
LeafGroup::FailQueue(NotRunReason aReason, const char* aDetail)
{
  while (!this->queue.empty()) {
    this->pool.FinishNotRun(this->queue.front(), aReason, aDetail);
  }
}

void
LeafGroup::Adjust()
{
  if (this->stopped) {
    return;
  }
  this->CloseSurplus();
  this->OpenUpToShare();
  this->ScheduleAdjust();
}

bool
LeafGroup::IsSurplus(const Connection& aConnection) const
{
  return aConnection.Peer() != this->share.peer || this->connections.size() > this->Allowed();
}

void
LeafGroup::CloseSurplus()
{
  const std::vector<ConnectionRef> all = this->connections;
  for (const auto& connection : all) {
    if ((connection->Idle() || connection->Connecting()) && this->IsSurplus(*connection)) {
      connection->Close(CloseKind::kOrderly, "share of connections reduced, or the leaf's address changed");
    }
  }
}

void
LeafGroup::OpenUpToShare()
{
  while (this->connections.size() < this->Allowed() &&
         this->connecting < this->pool.Settings().maxConnectingPerLeaf &&
         this->pool.Now() >= this->nextConnect) {
    if (!this->pool.TryReserveConnect(*this)) {
      return;
    }
    this->Open();
  }
}

void
LeafGroup::Open()
{
  ConnectionRef connection(new Connection(this->pool, *this));
  this->connections.push_back(connection);
  ++this->connecting;
  this->pool.Counters().open.fetch_add(1, std::memory_order_relaxed);
  connection->Open();
  if (this->reopenDelay > Duration(0)) {
    // A leaf refuses a connection only after accepting it. Until a request has been answered, connects are
    // spaced by the reconnect delay, so that a refusal is noticed before the next connect.
    this->nextConnect = this->pool.Now() + this->pool.Jitter(this->reopenDelay);
  }
}

void
LeafGroup::ScheduleAdjust()
{
  const TimePoint now = this->pool.Now();
  TimePoint next = TimePoint::max();
  if (this->connections.size() < this->Allowed() && now < this->nextConnect) {
    next = this->nextConnect;
  }
  if (now < this->refusedUntil) {
    next = std::min(next, this->refusedUntil);
  }
  if (next != TimePoint::max()) {
    this->pool.Timers().Set(*this, next);
  }
}

void
LeafGroup::OnTimer()
{
  this->Adjust();
}

void
LeafGroup::OnOpened(Connection& aConnection)
{
  --this->connecting;
  this->pool.OnConnectFinished();
  this->OnIdle(aConnection);
  this->Adjust();
}

void
LeafGroup::OnIdle(Connection& aConnection)
{
  if (this->IsSurplus(aConnection)) {
    aConnection.Close(CloseKind::kOrderly, "share of connections reduced, or the leaf's address changed");
    return;
  }
  if (aConnection.HasReplied()) {
    this->reopenDelay = Duration(0);
    this->idle.push_back(&aConnection);
  } else {
    // A refusal may still be in transit. A request written before the refusal is read could end as unknown,
    // so connections that have replied are preferred.
    this->idle.insert(this->idle.begin(), &aConnection);
  }
  this->ServeQueue();
}

void
LeafGroup::OnBusy(Connection& aConnection)
{
  this->idle.erase(std::remove(this->idle.begin(), this->idle.end(), &aConnection), this->idle.end());
}

void
LeafGroup::OnClosed(Connection& aConnection, CloseKind aKind, bool aWasConnecting)
{
  this->OnBusy(aConnection);
  const auto found = std::find(this->connections.begin(), this->connections.end(), &aConnection);
  if (found != this->connections.end()) {
    this->connections.erase(found);
    this->pool.Counters().open.fetch_sub(1, std::memory_order_relaxed);
  }
  if (aWasConnecting) {
    --this->connecting;
    this->pool.OnConnectFinished();
  }
  if (aKind == CloseKind::kRefused) {
    this->RecordRefusal();
    if (this->connections.empty()) {
      // Fails queued attempts immediately, so that another replica can be tried without waiting for
      // queueUntil.
      this->FailQueue(NotRunReason::kConnectFailed, "cannot open a connection to the leaf");
    }
  }
  this->pool.AdjustLater(*this);
}

void
LeafGroup::RecordRefusal()
{
  this->pool.Counters().refused.fetch_add(1, std::memory_order_relaxed);
  const TimePoint now = this->pool.Now();
  if (now < this->refusalsCountedUntil) {
    // Refusals of concurrent connects count as one.
    return;
  }
  const auto& settings = this->pool.Settings();
  this->penalisedShare = std::max<std::size_t>(1, this->Allowed() / 2);
  this->refusedUntil = now + settings.refusalPenaltyDuration;
  this->reopenDelay = std::clamp(this->reopenDelay * 2, settings.reopenDelayMin, settings.reopenDelayMax);
  this->nextConnect = now + this->pool.Jitter(this->reopenDelay);
  this->refusalsCountedUntil = this->nextConnect;
}

void
LeafGroup::CloseAll()
{
  this->stopped = true;
  this->ClearTimer();
  this->FailQueue(NotRunReason::kNoFreeConnection, "this node is stopping");
  const std::vector<ConnectionRef> all = this->connections;
  for (const auto& connection : all) {
    connection->Close(CloseKind::kOrderly, "this node is stopping");
  }
}

} // namespace yp
