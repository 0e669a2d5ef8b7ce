#ifndef YP_QUERY_TESTS_QUERYFIXTURE_H
#define YP_QUERY_TESTS_QUERYFIXTURE_H

#include "query/query.h"
#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace yp {

/// Timers in virtual time. Running a timer advances the clock to its time.
class VirtualTimers final : public ITimers
{
public:
  explicit VirtualTimers(ManualClock& aClock)
    : clock(aClock)
  {
  }

  TimerId At(TimePoint aWhen, std::function<void()> aFunction) override
  {
    const TimerId id = ++this->last;
    this->queue.emplace(std::make_pair(std::max(aWhen, this->clock.Now()), id), std::move(aFunction));
    this->times.emplace(id, std::max(aWhen, this->clock.Now()));
    return id;
  }

  void Cancel(TimerId aTimer) override
  {
    const auto found = this->times.find(aTimer);
    if (found != this->times.end()) {
      this->queue.erase({ found->second, aTimer });
      this->times.erase(found);
    }
  }

  /// Runs the next timer. Timers that are overdue because a test advanced the clock run at the current time.
  bool Step(TimePoint aUntil)
  {
    if (this->queue.empty() || this->queue.begin()->first.first > aUntil) {
      return false;
    }
    const auto next = this->queue.begin();
    const TimePoint when = next->first.first;
    const std::function<void()> function = std::move(next->second);
    this->times.erase(next->first.second);
    this->queue.erase(next);
    if (when > this->clock.Now()) {
      this->clock.Advance(when - this->clock.Now());
    }
    function();
    return true;
  }

  void RunFor(Duration aTime)
  {
    const TimePoint until = this->clock.Now() + aTime;
    while (this->Step(until)) {
    }
    if (until > this->clock.Now()) {
      this->clock.Advance(until - this->clock.Now());
    }
  }

private:
  ManualClock& clock;
  TimerId last = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> queue;
  std::map<TimerId, TimePoint> times;
};

/// Behaviour of one fake leaf.
struct FakeLeaf
{
  std::set<IndexVersion> versions{ 1 };
  Duration latency = std::chrono::milliseconds(5);
  bool refuseConnections = false; ///< connections cannot be opened
  bool loseReply = false;         ///< runs the request, but the connection breaks before the reply
  bool silent = false;            ///< never replies
  bool shed = false;              ///< sheds each request
  bool draining = false;          ///< refuses new work
  bool cold = false;
  std::uint32_t slots = 0; ///< requests that run at the same time; 0: no limit
  std::size_t queueLimit = 16;
  std::uint64_t ran = 0;
  std::uint64_t received = 0;
  std::uint32_t busy = 0;
  std::deque<std::function<void()>> queue;
};

/// Transport to fake leafs in virtual time.
class FakeLeafTransport final : public ILeafTransport
{
public:
  FakeLeafTransport(ManualClock& aClock, ITimers& aTimers)
    : clock(aClock)
    , timers(aTimers)
  {
  }

  void Send(LeafAttempt aAttempt, Handler aHandler) override
  {
    ++this->sent;
    this->sentLate += this->clock.Now() >= aAttempt.deadline ? 1 : 0;
    FakeLeaf& leaf = this->leafs[aAttempt.leaf->leaf];
    ++leaf.received;
    const std::uint64_t id = aAttempt.id;
    this->open.emplace(id, Open{ std::move(aAttempt), std::move(aHandler) });
    if (this->onSend) {
      this->onSend(this->open.at(id).attempt);
    }
    this->timers.At(this->clock.Now(), [this, id] { this->Arrive(id); });
  }

  void Cancel(std::uint64_t aAttempt) override
  {
    const auto found = this->open.find(aAttempt);
    if (found == this->open.end()) {
      return;
    }
    ++this->cancelled;
    if (this->ignoreCancel) {
      return;
    }
    LeafReply reply = this->MakeReply(found->second.attempt);
    reply.status = AttemptStatus::kUnknown;
    reply.reason = NotRunReason::kCancelled;
    this->timers.At(this->clock.Now(), [this, aAttempt, reply] { this->Reply(aAttempt, reply); });
  }

  std::map<std::string, FakeLeaf> leafs;
  std::function<Duration(const LeafAttempt&, const FakeLeaf&)> latencyOf;
  std::function<Duration(const LeafAttempt&)> replyDelayOf; ///< network delay; uses no slot
  std::function<void(const LeafAttempt&)> onSend;
  std::function<void(const LeafAttempt&, LeafReply&)> onReply; ///< may modify a reply
  std::string hits;                                            ///< body of search replies; empty: one hit
  bool ignoreCancel = false;
  std::uint64_t sent = 0;
  std::uint64_t sentLate = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t duplicateReplies = 0; ///< replies to attempts that had already ended

  std::size_t OpenCount() const { return this->open.size(); }

private:
  struct Open
  {
    LeafAttempt attempt;
    Handler handler;
  };

  LeafReply MakeReply(const LeafAttempt& aAttempt) const
  {
    LeafReply reply;
    reply.id = aAttempt.id;
    reply.layout = aAttempt.leaf->layout;
    reply.shard = aAttempt.leaf->shard;
    return reply;
  }

  void NotRun(std::uint64_t aId, NotRunReason aReason, bool aFromLeaf)
  {
    const Open& attempt = this->open.at(aId);
    const FakeLeaf& leaf = this->leafs[attempt.attempt.leaf->leaf];
    LeafReply reply = this->MakeReply(attempt.attempt);
    reply.reason = aReason;
    reply.fromLeaf = aFromLeaf;
    reply.versions.assign(leaf.versions.begin(), leaf.versions.end());
    reply.draining = leaf.draining;
    this->timers.At(this->clock.Now() + std::chrono::microseconds(500),
                    [this, aId, reply] { this->Reply(aId, reply); });
  }

  void Arrive(std::uint64_t aId)
  {
    const auto found = this->open.find(aId);
    if (found == this->open.end()) {
      return;
    }
    const LeafAttempt& attempt = found->second.attempt;
    FakeLeaf& leaf = this->leafs[attempt.leaf->leaf];
    if (leaf.silent) {
      return;
    }
    if (leaf.refuseConnections) {
      return this->NotRun(aId, NotRunReason::kConnectFailed, false);
    }
    if (leaf.draining || leaf.cold) {
      return this->NotRun(aId, leaf.draining ? NotRunReason::kDraining : NotRunReason::kCold, true);
    }
    if (attempt.indexVersion && leaf.versions.count(*attempt.indexVersion) == 0) {
      return this->NotRun(aId, NotRunReason::kVersionNotServed, true);
    }
    if (leaf.shed || (leaf.slots != 0 && leaf.busy >= leaf.slots && leaf.queue.size() >= leaf.queueLimit)) {
      return this->NotRun(aId, NotRunReason::kShed, true);
    }
    if (leaf.slots != 0 && leaf.busy >= leaf.slots) {
      leaf.queue.push_back([this, aId] { this->Run(aId); });
      return;
    }
    this->Run(aId);
  }

  void Run(std::uint64_t aId)
  {
    const auto found = this->open.find(aId);
    if (found == this->open.end()) {
      return;
    }
    const LeafAttempt& attempt = found->second.attempt;
    FakeLeaf& leaf = this->leafs[attempt.leaf->leaf];
    ++leaf.ran;
    ++leaf.busy;
    const IndexVersion version =
      attempt.indexVersion ? *attempt.indexVersion : (leaf.versions.empty() ? 0 : *leaf.versions.rbegin());
    const Duration latency = this->latencyOf ? this->latencyOf(attempt, leaf) : leaf.latency;
    const TimePoint start = this->clock.Now();
    const std::string name = attempt.leaf->leaf;
    this->timers.At(start + latency,
                    [this, aId, name, version, start] { this->End(aId, name, version, start); });
  }

  void End(std::uint64_t aId, const std::string& aLeaf, IndexVersion aVersion, TimePoint aStart)
  {
    FakeLeaf& leaf = this->leafs[aLeaf];
    --leaf.busy;
    const auto found = this->open.find(aId);
    if (found != this->open.end()) {
      const LeafAttempt& attempt = found->second.attempt;
      LeafReply reply = this->MakeReply(attempt);
      reply.status = leaf.loseReply ? AttemptStatus::kUnknown : AttemptStatus::kAnswered;
      reply.fromLeaf = !leaf.loseReply;
      reply.indexVersion = aVersion;
      reply.versions.assign(leaf.versions.begin(), leaf.versions.end());
      reply.elapsed = this->clock.Now() - aStart;
      reply.body = attempt.execute ? R"({"result":{"ok":true}})" : this->Hits(aLeaf, aVersion);
      if (this->onReply) {
        this->onReply(attempt, reply);
      }
      this->Return(aId, reply);
    }
    while (leaf.slots != 0 && leaf.busy < leaf.slots && !leaf.queue.empty()) {
      const std::function<void()> next = std::move(leaf.queue.front());
      leaf.queue.pop_front();
      next();
    }
  }

  void Return(std::uint64_t aId, const LeafReply& aReply)
  {
    const Duration delay = this->replyDelayOf ? this->replyDelayOf(this->open.at(aId).attempt) : Duration(0);
    if (delay == Duration(0)) {
      return this->Reply(aId, aReply);
    }
    this->timers.At(this->clock.Now() + delay, [this, aId, aReply] { this->Reply(aId, aReply); });
  }

  std::string Hits(const std::string& aLeaf, IndexVersion aVersion) const
  {
    if (!this->hits.empty()) {
      return this->hits;
    }
    return R"({"hits":[{"document":")" + aLeaf + "@" + std::to_string(aVersion) +
           R"(","score":1.5,"fields":{}}]})";
  }

  void Reply(std::uint64_t aId, const LeafReply& aReply)
  {
    const auto found = this->open.find(aId);
    if (found == this->open.end()) {
      ++this->duplicateReplies;
      return;
    }
    const Handler handler = std::move(found->second.handler);
    this->open.erase(found);
    handler(aReply);
  }

  ManualClock& clock;
  ITimers& timers;
  std::map<std::uint64_t, Open> open;
};

/// Adds a layout with its leafs, named "<layout>.<shard>.<replica>", to a service.
inline void
AddLayout(ServiceSpec& aService, LayoutId aLayout, std::uint32_t aShards, std::uint32_t aReplicas)
{
  LayoutSpec layout{ aLayout, {} };
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    layout.shards.push_back(ShardSpec{ shard, 10 });
    for (std::uint32_t replica = 0; replica < aReplicas; ++replica) {
      LeafSpec leaf;
      leaf.leaf = std::to_string(aLayout) + "." + std::to_string(shard) + "." + std::to_string(replica);
      leaf.server = "server" + std::to_string(replica);
      leaf.failureDomain = replica % 2 == 0 ? "centrs" : "imanta";
      leaf.layout = aLayout;
      leaf.shard = shard;
      aService.leafs.push_back(leaf);
    }
  }
  aService.layouts.push_back(layout);
}

/// \return a service with one layout
inline Ref<ServiceSpec>
MakeService(std::uint32_t aShards, std::uint32_t aReplicas = 2, std::uint32_t aSlots = 2)
{
  Ref<ServiceSpec> service(new ServiceSpec());
  service->name = "kiosk";
  service->slots = aSlots;
  service->connections = 25;
  AddLayout(*service, 1, aShards, aReplicas);
  return service;
}

/// A query node with one engine and fake leafs.
struct QueryFixture
{
  explicit QueryFixture(Ref<const ServiceSpec> aService, QueryOptions aOptions = {}, std::uint64_t aSeed = 1)
    : random(aSeed)
    , idRandom(aSeed + 1)
  {
    aOptions.failureDomain = "centrs";
    this->node = MakeQueryNode(aOptions);
    this->incarnation = MakeIncarnation(this->clock, this->idRandom);
    this->requests = MakeRequestTable(this->clock, this->idRandom, this->incarnation);
    this->SetService(aService);
    this->engine = MakeQueryEngine(QueryEngineParts{
      *this->node, this->leafs, this->timers, this->clock, this->random, *this->requests, [this] {
        return this->state;
      } });
  }

  /// Puts a ticket state with this service in force.
  void SetService(const Ref<const ServiceSpec>& aService)
  {
    for (const LeafSpec& leaf : aService->leafs) {
      this->leafs.leafs[leaf.leaf];
    }
    Ref<TicketState> next(new TicketState());
    next->inForce = this->state ? this->state->inForce + 1 : 1;
    Ref<FleetSpec> fleet(new FleetSpec());
    fleet->extraLoadPercent = this->extraLoadPercent;
    next->fleet = fleet;
    next->services[aService->name] = aService;
    for (const auto& [name, policy] : { std::make_pair("screen", CallerPolicy::kLatency),
                                        std::make_pair("orders", CallerPolicy::kCoverage) }) {
      Ref<CallerSpec> caller(new CallerSpec());
      caller->name = name;
      caller->services = { aService->name };
      caller->policy = policy;
      caller->minCoverage = this->minCoverage;
      next->callers[name] = caller;
    }
    this->state = next;
  }

  IQueryEngine::RequestHandle Start(const std::string& aCaller = "orders",
                                    Duration aDeadline = std::chrono::milliseconds(200))
  {
    LookupRequest request;
    request.caller = aCaller;
    request.service = "kiosk";
    request.query = R"({"terms":["a"]})";
    request.deadline = this->clock.Now() + aDeadline;
    return this->engine->Lookup(
      request, [this](RequestAnswer aAnswer) { this->answers.push_back(std::move(aAnswer)); });
  }

  /// Runs one lookup to its end.
  RequestAnswer Lookup(const std::string& aCaller = "orders",
                       Duration aDeadline = std::chrono::milliseconds(200))
  {
    const std::size_t before = this->answers.size();
    this->Start(aCaller, aDeadline);
    const TimePoint limit = this->clock.Now() + aDeadline + std::chrono::seconds(1);
    while (this->answers.size() == before && this->timers.Step(limit)) {
    }
    return this->answers.size() > before ? this->answers.back() : RequestAnswer{};
  }

  std::string StartExecute(const std::string& aKey = "k", Duration aDeadline = std::chrono::milliseconds(200))
  {
    const std::string id = this->requests->Issue(1).value().front();
    this->requests->Claim(id);
    this->executeHandle = this->engine->Execute(
      ExecuteRequest{ id, "orders", "kiosk", aKey, "{}", this->clock.Now() + aDeadline },
      [this](RequestAnswer aAnswer) { this->answers.push_back(std::move(aAnswer)); });
    return id;
  }

  std::uint64_t Ran() const
  {
    std::uint64_t total = 0;
    for (const auto& [name, leaf] : this->leafs.leafs) {
      total += leaf.ran;
    }
    return total;
  }

  double extraLoadPercent = 5.0;
  double minCoverage = 0.0;
  ManualClock clock;
  VirtualTimers timers{ this->clock };
  FakeLeafTransport leafs{ this->clock, this->timers };
  SeededRandom random;
  SeededRandom idRandom;
  Incarnation incarnation;
  std::unique_ptr<IQueryNode> node;
  std::unique_ptr<IRequestTable> requests;
  Ref<const TicketState> state;
  std::vector<RequestAnswer> answers;
  IQueryEngine::RequestHandle executeHandle = 0;
  std::unique_ptr<IQueryEngine> engine;
};

} // namespace yp

#endif
