#include "query/internal/concurrencylimit.h"
#include "query/internal/extraloadbudget.h"
#include "query/internal/latencytracker.h"
#include "query/internal/leafhealth.h"
#include "query/internal/loadshedder.h"
#include "query/internal/partmerger.h"
#include "query/internal/replicachooser.h"
#include "query/internal/snapshotchooser.h"
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

ShardVersions
Shard(std::vector<std::vector<IndexVersion>> aReplicas)
{
  ShardVersions shard{ 10, {} };
  for (std::vector<IndexVersion>& versions : aReplicas) {
    shard.replicas.push_back(ReplicaVersions{ true, std::move(versions) });
  }
  return shard;
}

LeafReply
Reply(AttemptStatus aStatus, NotRunReason aReason = NotRunReason::kNone, Duration aElapsed = 5ms)
{
  LeafReply reply;
  reply.status = aStatus;
  reply.reason = aReason;
  reply.fromLeaf = aStatus == AttemptStatus::kAnswered;
  reply.elapsed = aElapsed;
  return reply;
}

} // namespace

// Guards against a newer version that only some shards serve, and against an old layout on a tie.
TEST_CASE("the newest version with full coverage is chosen")
{
  const LayoutVersions one{ 1, { Shard({ { 2, 3 }, { 2 } }), Shard({ { 2 }, { 2 } }) } };
  REQUIRE(ChooseSnapshot({ one }));
  CHECK(ChooseSnapshot({ one })->version == 2);
  const LayoutVersions two{ 2, { Shard({ { 2 } }) } };
  CHECK(ChooseSnapshot({ one, two })->layout == 2);
  const LayoutVersions partial{ 3, { Shard({ { 9 } }), Shard({}) } };
  CHECK(ChooseSnapshot({ one, partial })->version == 2);
  CHECK(ChooseSnapshot({ partial })->version == 9);
  CHECK_FALSE(ChooseSnapshot({ LayoutVersions{ 1, { ShardVersions{ 10, { ReplicaVersions{} } } } } }));
}

// Guards against coverage over 100 %, against a part that counts twice, and against parts of other snapshots.
TEST_CASE("the merge counts a shard once and refuses parts of another snapshot")
{
  PartMerger merger(4, 7, { ShardSpec{ 0, 10 }, ShardSpec{ 1, 30 } });
  const std::uint64_t broken = BrokenInvariants();
  CHECK(merger.Merge(0, PartIdentity{ 4, 0, 7 }, { Hit{ "a", 1.0, "" }, Hit{ "b", 3.0, "" } }));
  CHECK_FALSE(merger.Merge(0, PartIdentity{ 4, 0, 7 }, { Hit{ "a", 1.0, "" } }));
  CHECK(BrokenInvariants() == broken);
  CHECK(merger.Covered().covered == 10);
  CHECK_FALSE(merger.Covered().Complete());
#ifndef YP_FATAL_INVARIANTS
  CHECK_FALSE(merger.Merge(1, PartIdentity{ 4, 1, 8 }, {}));
  CHECK_FALSE(merger.Merge(1, PartIdentity{ 3, 1, 7 }, {}));
  CHECK_FALSE(merger.Merge(1, PartIdentity{ 4, 0, 7 }, {}));
  CHECK(BrokenInvariants() == broken + 3);
#endif
  CHECK(merger.Merge(1, PartIdentity{ 4, 1, 7 }, { Hit{ "c", 2.0, "" } }));
  CHECK(merger.Covered().Complete());
  const std::vector<Hit> best = merger.Take(2);
  REQUIRE(best.size() == 2);
  CHECK(best[0].document == "b");
  CHECK(best[1].document == "c");
}

// Guards against extra load over ten percent in any window, whatever the pattern of demand.
TEST_CASE("the budget holds its hard cap over any three seconds")
{
  const double percent = GENERATE(5.0, 10.0, 50.0);
  SeededRandom random(5);
  ExtraLoadBudget budget;
  TimePoint now{ 1h };
  double first = 0;
  double extra = 0;
  for (int i = 0; i < 20000; ++i) {
    now += std::chrono::milliseconds(random.Below(4));
    const auto count = static_cast<std::uint32_t>(random.Below(100));
    budget.AddFirst(count, percent, now);
    first += count;
    for (std::uint64_t wanted = random.Below(100); wanted > 0; --wanted) {
      extra += budget.TrySpend(now) ? 1 : 0;
    }
    CHECK(extra <= first * std::min(percent, 10.0) / 100 + 50);
  }
  CHECK(extra > first * std::min(percent, 10.0) / 100 * 0.9);
  int spent = 0;
  now += 10s;
  for (int i = 0; i < 100; ++i) {
    spent += budget.TrySpend(now) ? 1 : 0;
  }
  CHECK(spent <= 1);
}

// Guards against one caller that locks out another with the same share.
TEST_CASE("a caller that was refused gets its share as room appears")
{
  LoadShedder shedder(100, 0.8);
  const TimePoint now{ 1h };
  int first = 0;
  while (shedder.TryAdmit("a", 1, now)) {
    ++first;
  }
  CHECK(first == 100);
  CHECK_FALSE(shedder.TryAdmit("b", 1, now));
  int second = 0;
  for (int i = 0; i < 50; ++i) {
    shedder.Release("a");
    CHECK_FALSE(shedder.TryAdmit("a", 1, now));
    second += shedder.TryAdmit("b", 1, now) ? 1 : 0;
  }
  CHECK(second == 50);
}

// Guards against a limit outside its bounds, and against one that never recovers.
TEST_CASE("a leaf's limit stays between 1 and a multiple of its slots")
{
  ConcurrencyLimit limit(2, 4);
  TimePoint now{ 1h };
  CHECK(limit.Limit() == 2);
  for (int i = 0; i < 100; ++i) {
    limit.OnShed(now += 100ms);
    CHECK(limit.Limit() >= 1);
  }
  CHECK(limit.Limit() == 1);
  for (int i = 0; i < 1000; ++i) {
    limit.OnAnswer(5ms, limit.Limit(), now += 10ms);
    CHECK(limit.Limit() <= 8);
  }
  CHECK(limit.Limit() >= 7);
  for (int i = 0; i < 30; ++i) {
    limit.OnAnswer(100ms, limit.Limit(), now += 100ms);
  }
  CHECK(limit.Limit() < 7);
}

// Guards against a hedge delay that does not follow the latency.
TEST_CASE("the quantile of latency follows a change")
{
  LatencyTracker tracker;
  TimePoint now{ 1h };
  CHECK(tracker.Quantile(0.9, 50ms, now) == Duration(50ms));
  for (const Duration latency : { Duration(10ms), Duration(100ms) }) {
    for (int i = 0; i < 40; ++i) {
      for (int sample = 0; sample < 1000; ++sample) {
        tracker.Record(latency);
      }
      tracker.Quantile(0.9, 50ms, now += 100ms);
    }
    const Duration quantile = tracker.Quantile(0.9, 50ms, now);
    CHECK(quantile >= latency);
    CHECK(quantile <= latency * 107 / 100);
  }
}

// Guards against an excluded leaf that is never tried again, or tried too often.
TEST_CASE("a failing leaf is excluded with growing backoff and ramps up when it is back")
{
  LeafHealth health("s1", 2, 4, TimePoint{ 1h });
  TimePoint now{ 2h };
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(health.Excluded());
    health.OnSend();
    health.OnReply(Reply(AttemptStatus::kNotRun, NotRunReason::kConnectFailed), false, 1ms, now);
  }
  CHECK(health.Excluded());
  CHECK_FALSE(health.ProbeDue(now + 900ms));
  CHECK(health.ProbeDue(now += 1s));
  health.OnSend();
  CHECK_FALSE(health.ProbeDue(now));
  health.OnReply(Reply(AttemptStatus::kUnknown), false, 1ms, now);
  CHECK_FALSE(health.ProbeDue(now + 1500ms));
  CHECK(health.ProbeDue(now += 2s));
  health.OnSend();
  health.OnReply(Reply(AttemptStatus::kAnswered), false, 5ms, now);
  CHECK_FALSE(health.Excluded());
  CHECK(health.RampWeight(now, 10s) < 0.1);
  CHECK(health.RampWeight(now + 10s, 10s) == 1.0);
}

// Guards against a node that accepts more than its leafs can serve, so that all requests are late.
TEST_CASE("the node's limit falls while lookups queue for room, and rises again")
{
  LoadShedder shedder(100, 0.8);
  TimePoint now{ 1h };
  for (int i = 0; i < 40; ++i) {
    REQUIRE(shedder.TryAdmit("a", 1, now));
  }
  shedder.OnEnd(true, now);
  CHECK(shedder.Limit() < 40);
  CHECK_FALSE(shedder.TryAdmit("a", 1, now));
  for (int i = 0; i < 100; ++i) {
    shedder.OnEnd(true, now += 100ms);
    CHECK(shedder.Limit() >= 8);
  }
  for (int i = 0; i < 200; ++i) {
    shedder.OnEnd(false, now);
  }
  CHECK(shedder.Limit() == 100);
}
