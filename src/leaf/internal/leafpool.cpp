#include "leaf/internal/leafpool.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>

namespace yp {

namespace {

// Covers the attempts of several concurrent queries; attempts beyond this number are freed.
constexpr std::size_t kMaxSpareAttempts = 1024;

} // namespace

void
Attempt::OnTimer()
{
  this->pool->OnAttemptTimer(*this);
}

void
LeafPool::Batch::Clear()
{
  this->starts.clear();
  this->cancels.clear();
  this->replies.clear();
}

void
LeafPool::Batch::Append(Batch& aOther)
{
  std::move(aOther.starts.begin(), aOther.starts.end(), std::back_inserter(this->starts));
  std::move(aOther.cancels.begin(), aOther.cancels.end(), std::back_inserter(this->cancels));
  std::move(aOther.replies.begin(), aOther.replies.end(), std::back_inserter(this->replies));
  aOther.Clear();
}

LeafPool::LeafPool(std::size_t aIndex,
                   boost::asio::io_context& aContext,
                   const IClock& aClock,
                   const LeafPoolSettings& aSettings)
  : index(aIndex)
  , context(aContext)
  , clock(aClock)
  , settings(aSettings)
  , random(aSettings.seed + aIndex)
  , timers(aContext, aClock)
{
}

void
LeafPool::SetPeers(const std::vector<std::unique_ptr<LeafPool>>& aPools)
{
  for (const auto& pool : aPools) {
    this->pools.push_back(pool.get());
  }
  this->outboxes.resize(aPools.size());
}

void
LeafPool::Send(LeafAttempt aAttempt, Handler aHandler)
{
  auto attempt = this->NewAttempt();
  attempt->origin = this->index;
  attempt->request = std::move(aAttempt);
  const LeafAttempt& request = attempt->request;
  const std::size_t owner = OwnerOf(HashOf(request.service->name, request.leaf->leaf), this->pools.size());
  const bool fresh = this->outstanding.emplace(request.id, Outstanding{ owner, std::move(aHandler) }).second;
  YP_INVARIANT(fresh, "leaf.attempt_id_reused", std::to_string(request.id));
  if (!fresh) {
    return;
  }
  if (owner == this->index) {
    this->StartLocally(std::move(attempt));
    return;
  }
  this->outboxes[owner].starts.push_back(std::move(attempt));
  this->ScheduleFlush();
}

void
LeafPool::Cancel(std::uint64_t aAttempt)
{
  const auto found = this->outstanding.find(aAttempt);
  if (found == this->outstanding.end()) {
    return;
  }
  const std::size_t owner = found->second.owner;
  if (owner == this->index) {
    this->CancelLocally(aAttempt);
    return;
  }
  this->outboxes[owner].cancels.push_back(aAttempt);
  this->ScheduleFlush();
}

std::unique_ptr<Attempt>
LeafPool::NewAttempt()
{
  if (this->spareAttempts.empty()) {
    return std::make_unique<Attempt>();
  }
  auto attempt = std::move(this->spareAttempts.back());
  this->spareAttempts.pop_back();
  return attempt;
}

void
LeafPool::Recycle(std::unique_ptr<Attempt> aAttempt)
{
  if (this->spareAttempts.size() >= kMaxSpareAttempts) {
    return;
  }
  aAttempt->ClearTimer();
  if (aAttempt->QueueHook::is_linked()) {
    aAttempt->QueueHook::unlink();
  }
  aAttempt->request = LeafAttempt();
  aAttempt->group = nullptr;
  aAttempt->connection = nullptr;
  aAttempt->cancelled = false;
  this->spareAttempts.push_back(std::move(aAttempt));
}

void
LeafPool::ScheduleFlush()
{
  if (this->flushScheduled) {
    return;
  }
  this->flushScheduled = true;
  boost::asio::post(this->context, [this] { this->Flush(); });
}

void
LeafPool::Flush()
{
  this->flushScheduled = false;
  for (std::size_t target = 0; target < this->pools.size(); ++target) {
    if (!this->outboxes[target].Empty() && target != this->index) {
      this->counters.crossThreadPosts.fetch_add(1, std::memory_order_relaxed);
      this->pools[target]->Receive(this->outboxes[target]);
    }
  }
  Batch& own = this->outboxes[this->index];
  if (!own.Empty()) {
    std::swap(own, this->scratch);
    this->Process(this->scratch);
  }
}

void
LeafPool::Receive(Batch& aBatch)
{
  const std::lock_guard<std::mutex> lock(this->inboxMutex);
  this->inbox.Append(aBatch);
  if (this->drainScheduled) {
    return;
  }
  this->drainScheduled = true;
  boost::asio::post(this->context, [this] { this->Drain(); });
}

void
LeafPool::Drain()
{
  {
    const std::lock_guard<std::mutex> lock(this->inboxMutex);
    this->drainScheduled = false;
    std::swap(this->inbox, this->scratch);
  }
  this->Process(this->scratch);
}

void
LeafPool::Process(Batch& aBatch)
{
  for (auto& attempt : aBatch.starts) {
    this->StartLocally(std::move(attempt));
  }
  for (const std::uint64_t attempt : aBatch.cancels) {
    this->CancelLocally(attempt);
  }
  for (auto& reply : aBatch.replies) {
    this->Deliver(std::move(reply));
  }
  aBatch.Clear();
}

void
LeafPool::Deliver(LeafReply aReply)
{
  const auto found = this->outstanding.find(aReply.id);
  YP_INVARIANT(found != this->outstanding.end(), "leaf.one_reply_an_attempt", std::to_string(aReply.id));
  if (found == this->outstanding.end()) {
    return;
  }
  const Handler handler = std::move(found->second.handler);
  this->outstanding.erase(found);
  handler(std::move(aReply));
}

void
LeafPool::StartLocally(std::unique_ptr<Attempt> aAttempt)
{
  Attempt& attempt = *aAttempt;
  attempt.pool = this;
  this->attempts.emplace(attempt.request.id, std::move(aAttempt));
  const std::string& service = attempt.request.service->name;
  const std::string& leafId = attempt.request.leaf->leaf;
  attempt.group = this->FindGroup(HashOf(service, leafId), service, leafId);
  if (this->FinishIfExpired(attempt, this->Now())) {
    return;
  }
  if (attempt.group == nullptr || this->stopped) {
    this->FinishNotRun(attempt,
                       NotRunReason::kNoFreeConnection,
                       "no share of the leaf's connections is assigned to this node");
    return;
  }
  attempt.group->Start(attempt);
}

bool
LeafPool::FinishIfExpired(Attempt& aAttempt, TimePoint aNow)
{
  // The leaf receives the remaining time in whole milliseconds; less than 1 ms would be sent as 0 and
  // leave the leaf no time to run the request.
  if (aNow + std::chrono::milliseconds(1) > aAttempt.request.deadline) {
    this->FinishNotRun(aAttempt, NotRunReason::kDeadline, "deadline passed before the request was written");
    return true;
  }
  if (aNow >= aAttempt.request.queueUntil && aAttempt.QueueHook::is_linked()) {
    this->FinishNotRun(aAttempt,
                       NotRunReason::kNoFreeConnection,
                       "no connection became free before the end of the queue time");
    return true;
  }
  return false;
}

void
LeafPool::Requeue(Attempt& aAttempt)
{
  if (aAttempt.cancelled) {
    this->FinishNotRun(aAttempt, NotRunReason::kCancelled, "cancelled before the request was written");
    return;
  }
  if (this->FinishIfExpired(aAttempt, this->Now())) {
    return;
  }
  if (this->stopped) {
    this->FinishNotRun(aAttempt, NotRunReason::kNoFreeConnection, "this node is stopping");
    return;
  }
  aAttempt.group->Start(aAttempt);
}

void
LeafPool::OnAttemptTimer(Attempt& aAttempt)
{
  if (aAttempt.connection != nullptr) {
    this->CancelOnWire(aAttempt, "deadline passed while waiting for the reply", ErrorCode::kTimeout);
    return;
  }
  const bool ended = this->FinishIfExpired(aAttempt, this->Now());
  YP_INVARIANT(ended, "leaf.timer_ends_waiting_attempt", std::to_string(aAttempt.request.id));
}

void
LeafPool::CancelLocally(std::uint64_t aAttempt)
{
  const auto found = this->attempts.find(aAttempt);
  if (found == this->attempts.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  if (attempt.connection == nullptr) {
    this->FinishNotRun(attempt, NotRunReason::kCancelled, "cancelled before the request was written");
    return;
  }
  attempt.cancelled = true;
  this->CancelOnWire(attempt, "cancelled", ErrorCode::kConnection);
}

void
LeafPool::CancelOnWire(Attempt& aAttempt, const char* aDetail, ErrorCode aCode)
{
  aAttempt.ClearTimer();
  Connection& connection = *aAttempt.connection;
  // An execute request stays attached until the leaf reports its outcome; the connection limits this wait to
  // cancelTimeout. An attempt that is still being written ends in the handler of the write.
  const bool detach = !aAttempt.request.execute && !connection.Writing();
  connection.CancelRequest(detach);
  if (!detach) {
    return;
  }
  LeafReply reply;
  reply.id = aAttempt.request.id;
  reply.status = AttemptStatus::kUnknown;
  reply.elapsed = this->Now() - aAttempt.writtenAt;
  reply.error = Error{ aCode, "leaf.request", aAttempt.group->PeerName(), aDetail };
  this->Finish(aAttempt, std::move(reply));
}

void
LeafPool::FinishNotRun(Attempt& aAttempt, NotRunReason aReason, const char* aDetail)
{
  LeafReply reply;
  reply.id = aAttempt.request.id;
  reply.status = AttemptStatus::kNotRun;
  reply.reason = aReason;
  reply.error = Error{ aReason == NotRunReason::kDeadline ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                       "leaf.request",
                       ToString(aAttempt.request.leaf->endpoint),
                       aDetail };
  this->Finish(aAttempt, std::move(reply));
}

void
LeafPool::Finish(Attempt& aAttempt, LeafReply aReply)
{
  auto& counter = aReply.status == AttemptStatus::kAnswered ? this->counters.answered
                  : aReply.status == AttemptStatus::kNotRun ? this->counters.notRun
                                                            : this->counters.unknown;
  counter.fetch_add(1, std::memory_order_relaxed);
  this->outboxes[aAttempt.origin].replies.push_back(std::move(aReply));
  this->ScheduleFlush();
  const auto found = this->attempts.find(aAttempt.request.id);
  auto finished = std::move(found->second);
  this->attempts.erase(found);
  this->Recycle(std::move(finished));
}

LeafGroup*
LeafPool::FindGroup(std::uint64_t aHash, const std::string& aService, const std::string& aLeaf)
{
  const auto range = this->groups.equal_range(aHash);
  for (auto group = range.first; group != range.second; ++group) {
    if (group->second->IsFor(aService, aLeaf)) {
      return group->second.get();
    }
  }
  return nullptr;
}

void
LeafPool::ApplyShares(const std::vector<LeafShare>& aShares)
{
  if (this->stopped) {
    return;
  }
  std::vector<LeafGroup*> listed;
  for (const auto& share : aShares) {
    const std::uint64_t hash = HashOf(share.service, share.leaf);
    LeafGroup* group = this->FindGroup(hash, share.service, share.leaf);
    if (group == nullptr) {
      group = this->groups.emplace(hash, std::make_unique<LeafGroup>(*this, share))->second.get();
    } else {
      group->SetShare(share);
    }
    listed.push_back(group);
  }
  std::sort(listed.begin(), listed.end());
  for (const auto& group : this->groups) {
    if (!std::binary_search(listed.begin(), listed.end(), group.second.get())) {
      group.second->DropShare();
    }
  }
  for (const auto& group : this->groups) {
    group.second->Adjust();
  }
  this->RemoveUnusedGroups();
}

void
LeafPool::RemoveUnusedGroups()
{
  boost::unordered_flat_set<const LeafGroup*> referred;
  for (const auto& attempt : this->attempts) {
    referred.insert(attempt.second->group);
  }
  for (auto group = this->groups.begin(); group != this->groups.end();) {
    const LeafGroup& candidate = *group->second;
    const bool remove = candidate.IsUnused() && !candidate.adjustPending && !candidate.openPending &&
                        referred.count(&candidate) == 0;
    group = remove ? this->groups.erase(group) : std::next(group);
  }
}

bool
LeafPool::TryReserveConnect(LeafGroup& aGroup)
{
  if (this->connecting < this->settings.maxConnectingPerThread) {
    ++this->connecting;
    return true;
  }
  if (!aGroup.openPending) {
    aGroup.openPending = true;
    this->waitingToConnect.push_back(&aGroup);
  }
  return false;
}

void
LeafPool::OnConnectFinished()
{
  --this->connecting;
  if (!this->waitingToConnect.empty()) {
    LeafGroup* next = this->waitingToConnect.front();
    this->waitingToConnect.pop_front();
    next->openPending = false;
    this->AdjustLater(*next);
  }
}

void
LeafPool::AdjustLater(LeafGroup& aGroup)
{
  if (!aGroup.adjustPending) {
    aGroup.adjustPending = true;
    this->toAdjust.push_back(&aGroup);
  }
  if (this->adjustScheduled) {
    return;
  }
  this->adjustScheduled = true;
  boost::asio::post(this->context, [this] {
    this->adjustScheduled = false;
    std::vector<LeafGroup*> groupsToAdjust;
    groupsToAdjust.swap(this->toAdjust);
    for (LeafGroup* group : groupsToAdjust) {
      group->adjustPending = false;
      group->Adjust();
    }
  });
}

Duration
LeafPool::Jitter(Duration aDelay)
{
  const double factor = 0.5 + this->random.Real();
  return std::chrono::duration_cast<Duration>(aDelay * factor);
}

void
LeafPool::Stop()
{
  this->stopped = true;
  this->timers.Stop();
  for (const auto& group : this->groups) {
    group.second->CloseAll();
  }
}

} // namespace yp
