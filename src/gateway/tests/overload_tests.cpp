#include "gateway/tests/fakeexchange.h"
#include "gateway/tests/queueingexchange.h"
#include <catch2/catch.hpp>
#include <cmath>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Numbers of queries of one route by outcome.
struct Outcomes
{
  std::size_t total = 0;
  std::size_t inTime = 0; ///< answered within the objective
  std::size_t late = 0;   ///< answered after the objective
  std::size_t refused = 0;
  std::size_t failed = 0;
};

/// Gateway nodes that share simulated leafs with queues and pauses, and callers that send queries at random
/// times and retry each refused or failed query once.
class LoadedFleet
{
public:
  static constexpr std::size_t kNodes = 7;
  static constexpr std::size_t kSlots = 2;

  LoadedFleet()
  {
    this->backend.pause = milliseconds(150);
    for (std::size_t node = 0; node < kNodes; ++node) {
      this->nodes.push_back(std::make_unique<Node>(*this, node));
    }
  }

  /// Starts sending queries for a path at random times and a given mean rate.
  void StartLoad(const std::string& aPath, double aQueriesPerSecond, Duration aDuration)
  {
    const TimePoint end = this->clock.Now() + aDuration;
    this->ScheduleRequest(aPath, aQueriesPerSecond, end);
  }

  void RunFor(Duration aDuration) { this->timers.RunFor(aDuration); }

  /// \return queries per second that all leafs together can run
  static double Capacity(Duration aServiceTime)
  {
    return 2 * kSlots / std::chrono::duration<double>(aServiceTime).count();
  }

  ManualClock clock;
  FakeTimers timers{ clock };
  SeededRandom random{ 11 };
  QueueingLeafs backend{ clock, timers, random };
  std::map<std::string, Outcomes> outcomes; ///< by path

private:
  static constexpr milliseconds kObjective{ 120 };
  static constexpr milliseconds kTimeBudget{ 1000 };
  static constexpr milliseconds kReconnectDelay{ 6 };

  struct Node
  {
    Node(LoadedFleet& aFleet, std::size_t aIndex)
      : exchange(aFleet.clock, aFleet.timers, aFleet.backend, aIndex + 1)
      , leafs(aFleet.clock)
    {
      GatewayOptions options;
      options.failureDomain = "a";
      this->gateway =
        MakeGateway({ this->exchange, this->leafs, aFleet.timers, aFleet.clock, aFleet.random }, options);
      this->gateway->SetExtraLoadShare(1.0 / kNodes);
      this->gateway->SetRouting(MakeRouting());
      std::uint16_t port = 0;
      for (std::size_t shard = 0; shard < GatewayFixture::kShards; ++shard) {
        for (const char* domain : { "a", "b" }) {
          LeafRegistration leaf;
          leaf.service = GatewayFixture::Shard(shard);
          leaf.id = leaf.service + "-" + domain;
          leaf.failureDomain = domain;
          leaf.slots = kSlots;
          leaf.endpoint = Endpoint{ "127.0.0.1", ++port };
          this->leafs.Apply(leaf);
        }
      }
    }

    QueueingExchange exchange;
    LeafDirectory leafs;
    std::unique_ptr<IGateway> gateway;
  };

  /// \return the routes of GatewayFixture and a scatter route with a lower minimum coverage
  static Ref<RoutingState> MakeRouting()
  {
    const Ref<RoutingState> state = GatewayFixture::MakeRouting(1);
    RouteSpec few = state->routes[0];
    few.name = "few";
    few.pathPrefix = "/few/";
    few.minCoverage = 0.75;
    state->routes.push_back(few);
    state->Index();
    return state;
  }

  /// Schedules the next query of a Poisson process, and all later ones until aEnd.
  void ScheduleRequest(const std::string& aPath, double aQueriesPerSecond, TimePoint aEnd)
  {
    const std::chrono::duration<double> pause(-std::log(1 - this->random.Real()) / aQueriesPerSecond);
    const TimePoint when = this->clock.Now() + std::chrono::duration_cast<Duration>(pause);
    if (when >= aEnd) {
      return;
    }
    this->timers.At(when, [this, aPath, aQueriesPerSecond, aEnd] {
      ++this->outcomes[aPath].total;
      this->SendRequest({ aPath, this->clock.Now() });
      this->ScheduleRequest(aPath, aQueriesPerSecond, aEnd);
    });
  }

  /// One query of a caller; it is retried once.
  struct Query
  {
    std::string path;
    TimePoint firstSentAt;
    bool repeated = false;
  };

  void SendRequest(const Query& aQuery)
  {
    auto message = std::make_shared<ForwardedRequest>();
    message->id = "request" + std::to_string(++this->lastRequest);
    message->method = "GET";
    message->target = aQuery.path;
    const Duration timeBudget = kTimeBudget - (this->clock.Now() - aQuery.firstSentAt);
    IGateway& gateway = *this->nodes[this->random.Below(kNodes)]->gateway;
    gateway.Start({ message, "host", timeBudget }, [this, aQuery, timeBudget](const GatewayReply& aReply) {
      this->OnReply(aQuery, timeBudget, aReply);
    });
  }

  void OnReply(Query aQuery, Duration aTimeBudget, const GatewayReply& aReply)
  {
    Outcomes& outcomes = this->outcomes[aQuery.path];
    const Duration elapsed = this->clock.Now() - aQuery.firstSentAt;
    if (aReply.outcome == GatewayOutcome::kMerged) {
      ++(elapsed <= kObjective ? outcomes.inTime : outcomes.late);
      return;
    }
    const bool refused = aReply.outcome == GatewayOutcome::kRefused;
    if (aQuery.repeated) {
      ++(refused ? outcomes.refused : outcomes.failed);
      return;
    }
    aQuery.repeated = true;
    const Duration delay = refused ? std::min(aReply.retryAfter, aTimeBudget / 3) : kReconnectDelay;
    this->timers.At(this->clock.Now() + delay, [this, aQuery] { this->SendRequest(aQuery); });
  }

  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t lastRequest = 0;
};

} // namespace

// Guards against congestion collapse: leafs work at full rate, but on parts of queries that fail because
// other parts are missing.
TEST_CASE("Few queries fail after leafs worked on them in a burst beyond the fleet's capacity",
          "[overload][burst]")
{
  LoadedFleet fleet;
  fleet.backend.serviceTime = [](const std::string&) { return Duration(milliseconds(15)); };
  const double capacity = LoadedFleet::Capacity(milliseconds(15));
  fleet.StartLoad("/all/x", capacity / 4, seconds(2));
  fleet.RunFor(seconds(2));
  fleet.outcomes.clear();
  fleet.StartLoad("/all/x", capacity * 2, seconds(6));
  fleet.RunFor(seconds(7));
  const Outcomes& burst = fleet.outcomes["/all/x"];
  CAPTURE(burst.total, burst.inTime, burst.late, burst.refused, burst.failed);
  REQUIRE(burst.failed < burst.total / 20);
  REQUIRE(static_cast<double>(burst.inTime) >= 0.25 * capacity * 6);
  REQUIRE(static_cast<double>(burst.inTime + burst.late) >= 0.5 * capacity * 6);
}

// Guards against concurrency limits that stay in force after the overload has ended.
TEST_CASE("After a burst queries are served in time again", "[overload][burst]")
{
  LoadedFleet fleet;
  const double capacity = LoadedFleet::Capacity(milliseconds(12));
  fleet.StartLoad("/all/x", capacity * 2, seconds(4));
  fleet.RunFor(seconds(5));
  fleet.outcomes.clear();
  fleet.StartLoad("/all/x", capacity / 4, seconds(4));
  fleet.RunFor(seconds(5));
  const Outcomes& after = fleet.outcomes["/all/x"];
  CAPTURE(after.total, after.inTime, after.late, after.refused, after.failed);
  REQUIRE(after.refused + after.failed <= after.total / 100);
  REQUIRE(after.inTime >= after.total * 95 / 100);
}

// Guards against queues at slow leafs that delay every query that needs one of them.
TEST_CASE("Queries that need few shards are served in time while three shards are overloaded",
          "[overload][slow]")
{
  LoadedFleet fleet;
  fleet.backend.serviceTime = [](const std::string& aLeaf) {
    const bool slow =
      aLeaf.rfind("shard3-", 0) == 0 || aLeaf.rfind("shard4-", 0) == 0 || aLeaf.rfind("shard5-", 0) == 0;
    return Duration(slow ? milliseconds(80) : milliseconds(8));
  };
  fleet.StartLoad("/all/x", 75, seconds(6));
  fleet.StartLoad("/few/x", 25, seconds(6));
  fleet.RunFor(seconds(2));
  fleet.outcomes.clear();
  fleet.RunFor(seconds(5));
  const Outcomes& few = fleet.outcomes["/few/x"];
  const Outcomes& all = fleet.outcomes["/all/x"];
  CAPTURE(few.total, few.inTime, few.late, few.refused, few.failed);
  CAPTURE(all.total, all.inTime, all.late, all.refused, all.failed);
  REQUIRE(few.inTime >= few.total * 9 / 10);
  // Each query of /all/ needs at least one of the three slow shards, which together can run twice as many
  // calls as there are queries.
  REQUIRE(all.inTime >= all.total / 3);
}

TEST_CASE("A repeatedly late leaf gets no more calls than it answers in time", "[overload][limit]")
{
  ConcurrencyLimit limit;
  const TimePoint start = TimePoint() + seconds(10);
  REQUIRE(limit.Admits(100, start));
  for (int i = 0; i < 10; ++i) {
    const TimePoint sent = start + milliseconds(100 * i);
    limit.OnSend(sent);
    limit.OnCongested({ sent, milliseconds(90), milliseconds(50), 2 }, sent + milliseconds(90));
  }
  REQUIRE(limit.Bounded());
  REQUIRE_FALSE(limit.Admits(1, start + seconds(1)));
}

TEST_CASE("A single pause of a leaf does not limit its calls", "[overload][pauses]")
{
  ConcurrencyLimit limit;
  const TimePoint sent = TimePoint() + seconds(10);
  for (int i = 0; i < 5; ++i) {
    // All calls were sent before the pause became visible.
    limit.OnCongested({ sent, milliseconds(150), milliseconds(50), 5 }, sent + milliseconds(150 + i));
  }
  REQUIRE_FALSE(limit.Bounded());
}

TEST_CASE("A concurrency limit that no further congestion confirms is lifted", "[overload][limit]")
{
  ConcurrencyLimit limit;
  TimePoint now = TimePoint() + seconds(10);
  for (int i = 0; i < 10; ++i) {
    limit.OnCongested({ now, milliseconds(90), milliseconds(50), 2 }, now + milliseconds(90));
    now += milliseconds(100);
  }
  REQUIRE(limit.Admits(2, now + seconds(10)));
}

// Guards against requests to pausing leafs, and against a burst of all that waited when a pause ends.
TEST_CASE("Leafs that pause again and again under twice their load are left alone and return gradually",
          "[overload][pause]")
{
  const bool all = GENERATE(false, true);
  LoadedFleet fleet;
  fleet.backend.serviceTime = [](const std::string&) { return Duration(milliseconds(12)); };
  const double capacity = LoadedFleet::Capacity(milliseconds(12));
  // What a leaf runs in the first 100 ms and holds in its queue.
  constexpr std::size_t kTaken = LoadedFleet::kSlots * 100 / 12 + QueueingLeafs::kQueueLimit;
  TimePoint pauseStart;
  TimePoint pauseEnd;
  std::size_t late = 0;
  std::map<std::string, std::size_t> returning; // by leaf: requests in the first 100 ms after a pause
  fleet.backend.wantsPause = [&](const std::string& aLeaf) -> std::optional<Duration> {
    const TimePoint now = fleet.clock.Now();
    returning[aLeaf] += now >= pauseEnd && now < pauseEnd + milliseconds(100) ? 1 : 0;
    if (now < pauseStart || now >= pauseEnd || (!all && aLeaf.back() != 'a')) {
      return std::nullopt;
    }
    late += now > pauseStart + milliseconds(500) ? 1 : 0;
    return pauseEnd - now;
  };
  fleet.StartLoad("/all/x", capacity * 2 * (all ? 1.0 : 0.5), seconds(25));
  fleet.RunFor(seconds(2));
  for (const milliseconds length :
       { milliseconds(300), milliseconds(1000), milliseconds(2500), milliseconds(5000) }) {
    pauseStart = fleet.clock.Now();
    pauseEnd = pauseStart + length;
    late = 0;
    fleet.RunFor(length - milliseconds(10));
    // A node that had no call to a leaf before learns of its pause by its first call.
    const std::size_t leafs = GatewayFixture::kShards * (all ? 2 : 1);
    REQUIRE(late <= leafs * LoadedFleet::kNodes);
    returning.clear();
    const std::size_t servedBefore = fleet.outcomes["/all/x"].inTime + fleet.outcomes["/all/x"].late;
    fleet.RunFor(milliseconds(510));
    const std::size_t served = fleet.outcomes["/all/x"].inTime + fleet.outcomes["/all/x"].late - servedBefore;
    std::size_t most = 0;
    for (const auto& [leaf, requests] : returning) {
      most = std::max(most, all || leaf.back() == 'a' ? requests : 0);
    }
    CAPTURE(all, length.count(), served, most);
    REQUIRE(served > 0);
    REQUIRE(most <= kTaken);
    fleet.RunFor(milliseconds(1000));
  }
  const Outcomes& outcomes = fleet.outcomes["/all/x"];
  CAPTURE(outcomes.total, outcomes.inTime, outcomes.late, outcomes.refused, outcomes.failed);
  REQUIRE(outcomes.failed <= outcomes.total / 20);
}

} // namespace yp
