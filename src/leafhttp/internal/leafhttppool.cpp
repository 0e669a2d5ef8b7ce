#include "leafhttp/internal/leafhttppool.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace yp {

LeafHttpPool::LeafHttpPool(LeafHttpCore& aCore, Ref<LeafHandle> aLeaf)
  : core(aCore)
  , leaf(std::move(aLeaf))
{
}

LeafHttpPool::~LeafHttpPool()
{
  for (const Ref<LeafConnection>& connection : this->connections) {
    connection->Abort();
  }
}

void
LeafHttpPool::SetLimit(std::size_t aLimit)
{
  this->limit = std::max<std::size_t>(1, aLimit);
}

void
LeafHttpPool::Send(PendingCall aCall)
{
  const Ref<LeafConnection> idle = this->TakeIdle(aCall.call.freshConnection);
  if (idle) {
    idle->Start(std::move(aCall));
    return;
  }
  this->waiting.push_back(std::move(aCall));
  this->OpenForWaiting();
}

Ref<LeafConnection>
LeafHttpPool::TakeIdle(bool aFresh)
{
  for (std::size_t i = this->connections.size(); i > 0; --i) {
    const Ref<LeafConnection> connection = this->connections[i - 1];
    if (!connection->Idle()) {
      continue;
    }
    if (!connection->Usable()) {
      connection->Abort();
      this->Drop(*connection);
      continue;
    }
    if (aFresh && connection->IdleFor() > this->core.settings.maxFreshIdleTime) {
      continue;
    }
    return connection;
  }
  return nullptr;
}

void
LeafHttpPool::OpenForWaiting()
{
  while (this->Connecting() < this->waiting.size()) {
    if (this->connections.size() >= this->limit) {
      const auto idle =
        std::find_if(this->connections.begin(),
                     this->connections.end(),
                     [](const Ref<LeafConnection>& aConnection) { return aConnection->Idle(); });
      if (idle == this->connections.end()) {
        return;
      }
      const Ref<LeafConnection> oldest = *idle;
      oldest->Abort();
      this->Drop(*oldest);
    }
    const Ref<LeafConnection> connection(
      new LeafConnection(this->core, *this, this->leaf->registration.endpoint));
    this->connections.push_back(connection);
    connection->Open();
  }
}

void
LeafHttpPool::OnIdle(LeafConnection& aConnection)
{
  const Ref<LeafConnection> self(&aConnection);
  const auto found = std::find(this->connections.begin(), this->connections.end(), self);
  if (found == this->connections.end()) {
    return;
  }
  std::rotate(found, found + 1, this->connections.end());
  this->HoldBackWaiting();
  if (this->waiting.empty()) {
    return;
  }
  PendingCall call = std::move(this->waiting.front());
  this->waiting.pop_front();
  self->Start(std::move(call));
}

void
LeafHttpPool::OnConnectFailed(LeafConnection& aConnection, const Error& aError)
{
  this->Drop(aConnection);
  if (this->connections.empty()) {
    this->EndWaiting(LeafOutcome::kNotSent, aError);
  }
}

void
LeafHttpPool::EndWaiting(LeafOutcome aOutcome, const Error& aError)
{
  std::deque<PendingCall> ended;
  ended.swap(this->waiting);
  for (PendingCall& call : ended) {
    LeafResult result;
    result.outcome = aOutcome;
    result.error = aError;
    call.handler(std::move(result));
  }
}

void
LeafHttpPool::HoldBackWaiting()
{
  if (this->waiting.empty() ||
      (this->leaf->AcceptsRequests() && !this->leaf->Paused(this->core.clock.Now()))) {
    return;
  }
  this->EndWaiting(LeafOutcome::kHeldBack,
                   Error{ ErrorCode::kUnavailable,
                          "leaf.queue",
                          ToString(this->leaf->registration.endpoint),
                          "the leaf accepts no requests any more, or pauses" });
}

void
LeafHttpPool::OnClosed(LeafConnection& aConnection)
{
  this->Drop(aConnection);
  this->HoldBackWaiting();
  this->OpenForWaiting();
}

bool
LeafHttpPool::Withdraw(std::uint64_t aCall)
{
  const auto queued = std::find_if(this->waiting.begin(),
                                   this->waiting.end(),
                                   [aCall](const PendingCall& aOther) { return aOther.call.id == aCall; });
  if (queued == this->waiting.end()) {
    return false;
  }
  this->waiting.erase(queued);
  return true;
}

void
LeafHttpPool::Cancel(std::uint64_t aCall, bool aCloseIdle)
{
  this->Withdraw(aCall);
  const auto busy =
    std::find_if(this->connections.begin(),
                 this->connections.end(),
                 [aCall](const Ref<LeafConnection>& aOther) { return aOther->Call() == aCall; });
  if (busy != this->connections.end()) {
    const Ref<LeafConnection> connection = *busy;
    connection->Abort();
    this->Drop(*connection);
  }
  if (aCloseIdle) {
    this->CloseIdle();
  }
  this->OpenForWaiting();
}

void
LeafHttpPool::CloseIdle()
{
  const std::vector<Ref<LeafConnection>> all = this->connections;
  for (const Ref<LeafConnection>& connection : all) {
    if (connection->Idle()) {
      connection->Abort();
      this->Drop(*connection);
    }
  }
}

std::size_t
LeafHttpPool::Connecting() const
{
  return static_cast<std::size_t>(std::count_if(
    this->connections.begin(), this->connections.end(), [](const Ref<LeafConnection>& aConnection) {
      return aConnection->Connecting();
    }));
}

bool
LeafHttpPool::IsRemovable() const
{
  const bool idle = std::all_of(this->connections.begin(),
                                this->connections.end(),
                                [](const Ref<LeafConnection>& aConnection) { return aConnection->Idle(); });
  return idle && this->waiting.empty() && this->leaf->withdrawn;
}

void
LeafHttpPool::Drop(LeafConnection& aConnection)
{
  const Ref<LeafConnection> self(&aConnection);
  this->connections.erase(std::remove(this->connections.begin(), this->connections.end(), self),
                          this->connections.end());
}

} // namespace yp
