#include "query/internal/attemptsender.h"

namespace yp {

namespace {

constexpr std::uint32_t kShedSamples = 200;
constexpr std::uint32_t kPerMille = 1000;

} // namespace

AttemptSender::AttemptSender(QueryNode& aNode,
                             ILeafTransport& aTransport,
                             ITimers& aTimers,
                             const IClock& aClock)
  : node(aNode)
  , transport(aTransport)
  , timers(aTimers)
  , clock(aClock)
  , self(std::make_shared<AttemptSender*>(this))
{
}

AttemptSender::~AttemptSender() = default;

std::uint64_t
AttemptSender::Send(AttemptTarget aTarget, LeafAttempt aAttempt, Done aDone)
{
  const std::uint64_t id = this->node.nextAttempt.fetch_add(1, std::memory_order_relaxed);
  const Replica& replica = aTarget.shard->replicas[aTarget.replica];
  replica.health->OnSend();
  aAttempt.id = id;
  aAttempt.service = aTarget.plan->spec;
  aAttempt.leaf = replica.leaf;
  this->attempts.emplace(id, Attempt{ std::move(aTarget), this->clock.Now(), std::move(aDone) });
  this->transport.Send(std::move(aAttempt), [weak = std::weak_ptr(this->self), id](LeafReply aReply) {
    if (const auto sender = weak.lock()) {
      (*sender)->OnReply(id, std::move(aReply));
    }
  });
  return id;
}

void
AttemptSender::Cancel(std::uint64_t aAttempt)
{
  const auto found = this->attempts.find(aAttempt);
  if (found == this->attempts.end() || found->second.cancelled) {
    return;
  }
  found->second.cancelled = true;
  found->second.done = nullptr;
  this->node.stats.cancelledAttempts++;
  this->transport.Cancel(aAttempt);
}

void
AttemptSender::CancelAt(std::uint64_t aAttempt, TimePoint aWhen)
{
  this->timers.At(aWhen, [weak = std::weak_ptr(this->self), aAttempt] {
    const auto sender = weak.lock();
    if (sender && (*sender)->attempts.count(aAttempt) != 0) {
      (*sender)->node.stats.cancelledAttempts++;
      (*sender)->transport.Cancel(aAttempt);
    }
  });
}

void
AttemptSender::OnReply(std::uint64_t aId, LeafReply aReply)
{
  const auto found = this->attempts.find(aId);
  if (found == this->attempts.end()) {
    this->node.stats.droppedReplies++;
    return;
  }
  const Attempt attempt = std::move(found->second);
  this->attempts.erase(found);
  this->Check(attempt, aId, aReply);
  this->Record(attempt, aReply);
  if (attempt.done) {
    attempt.done(attempt.target, aId, aReply);
  } else if (aReply.status == AttemptStatus::kAnswered) {
    this->node.stats.droppedReplies++;
  }
  this->WakeOne(*attempt.target.shard);
}

void
AttemptSender::Check(const Attempt& aAttempt, std::uint64_t aId, LeafReply& aReply)
{
  const bool same = aReply.id == aId &&
                    aReply.layout.value_or(aAttempt.target.layout) == aAttempt.target.layout &&
                    aReply.shard.value_or(aAttempt.target.shard->shard) == aAttempt.target.shard->shard;
  if (same) {
    return;
  }
  this->node.stats.mismatchedReplies++;
  LeafReply unknown;
  unknown.id = aId;
  unknown.status = AttemptStatus::kUnknown;
  unknown.error = Error{ ErrorCode::kConnection, "query.reply", "", "reply to another request" };
  aReply = std::move(unknown);
}

void
AttemptSender::Record(const Attempt& aAttempt, const LeafReply& aReply)
{
  const TimePoint now = this->clock.Now();
  const Replica& replica = aAttempt.target.shard->replicas[aAttempt.target.replica];
  ServiceHealth& service = *aAttempt.target.plan->health;
  if (replica.health->OnReply(aReply, aAttempt.cancelled, now - aAttempt.sent, now)) {
    service.epoch.fetch_add(1, std::memory_order_release);
  }
  if (aReply.status == AttemptStatus::kAnswered) {
    service.latency.Record(now - aAttempt.sent);
  } else if (aAttempt.cancelled) {
    // The wait so far is a lower bound; leaving it out would hide the slow attempts from the quantile.
    service.latency.Record(now - aAttempt.sent);
    return;
  }
  const bool shed = aReply.reason == NotRunReason::kShed;
  this->node.stats.leafSheds += shed ? 1 : 0;
  ServiceHealth::Move(service.shedPerMille, shed ? kPerMille : 0, kShedSamples);
}

void
AttemptSender::WakeOne(ShardPlan& aShard)
{
  bool used = false;
  while (!used && this->onRoom && !aShard.waiting.empty()) {
    const Waiter waiter = aShard.waiting.front();
    aShard.waiting.pop_front();
    used = this->onRoom(waiter);
  }
}

} // namespace yp
