#include "steering/steering.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>
#include <set>
#include <thread>

using namespace yp;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart = TimePoint(1h);

std::string
HostName(std::size_t aHost)
{
  return "h" + std::string(aHost < 10 ? "0" : "") + std::to_string(aHost);
}

/// Inputs of steering: ready hosts in 4 failure domains and 2 regions, all of which hold service "s0".
struct Inputs
{
  explicit Inputs(std::size_t aHosts, const std::string& aSelf = "h00")
    : state(new TicketState)
    , view(new MemberView)
    , placement(new Placement)
  {
    this->state->fleet = new FleetSpec;
    this->view->self = aSelf;
    for (std::size_t host = 0; host < aHosts; ++host) {
      MemberStatus status;
      status.record.host = HostName(host);
      status.record.failureDomain = "d" + std::to_string(host % 4);
      status.record.region = "r" + std::to_string(host % 2);
      status.record.state = MemberState::kReady;
      this->view->members.push_back(status);
      this->placement->services["s0"].holders.push_back(status.record.host);
    }
    this->AddCaller("app", { "s0" });
  }

  void AddCaller(const std::string& aName, const std::vector<std::string>& aServices)
  {
    Ref<CallerSpec> caller(new CallerSpec);
    caller->name = aName;
    caller->services = aServices;
    this->state->callers[aName] = caller;
  }

  void Apply(ISteering& aSteering, TimePoint aNow = kStart)
  {
    aSteering.Update(this->state, this->view, this->placement, this->loads, aNow);
  }

  Ref<TicketState> state;
  Ref<MemberView> view;
  Ref<Placement> placement;
  std::map<std::string, NodeLoad> loads;
};

AddressAnswer
MustAnswer(const ISteering& aSteering, IRandom& aRandom, const std::string& aCaller = "app")
{
  return Recover([&] { return aSteering.Answer(aCaller, aRandom); },
                 [](const Error& aError) {
                   FAIL(Describe(aError));
                   return AddressAnswer{};
                 });
}

ErrorCode
AnswerError(const ISteering& aSteering, IRandom& aRandom, const std::string& aCaller)
{
  return Recover(
    [&]() -> Result<ErrorCode> {
      auto answer = aSteering.Answer(aCaller, aRandom);
      if (!answer) {
        return answer.error();
      }
      return ErrorCode::kInternal;
    },
    [](const Error& aError) { return aError.code; });
}

std::string
Forward(const ISteering& aSteering, IRandom& aRandom)
{
  return Recover([&] { return aSteering.ForwardTarget("s0", aRandom); },
                 [](const Error& aError) { return std::string(ToString(aError.code)); });
}

/// \return weights by host, taken from one answer; complete for at most 8 hosts
std::map<std::string, double>
WeightsOf(const ISteering& aSteering)
{
  SeededRandom random(1);
  std::map<std::string, double> weights;
  for (const CallerAddress& address : MustAnswer(aSteering, random).addresses) {
    weights[address.host] = address.weight;
  }
  return weights;
}

/// Simulates callers that use an answer for its time to live, and nodes whose load is the number of their
/// callers.
class SimulatedFleet
{
public:
  static constexpr std::size_t kHosts = 8;
  static constexpr std::size_t kCallers = 2000;

  explicit SimulatedFleet(std::uint64_t aSeed)
    : inputs(kHosts)
    , random(aSeed)
    , usedHosts(kCallers)
    , answerExpiry(kCallers, kStart)
  {
    SteeringOptions options;
    options.sameDomainPreference = 1;
    options.sameRegionPreference = 1;
    this->steering = MakeSteering(options);
  }

  /// Advances the simulation by 1 s.
  /// \param aCapacity by host: number of callers at utilisation 1
  void AdvanceSecond(const std::map<std::string, double>& aCapacity)
  {
    this->now += 1s;
    this->inputs.Apply(*this->steering, this->now);
    for (std::size_t caller = 0; caller < kCallers; ++caller) {
      if (this->answerExpiry[caller] <= this->now) {
        const AddressAnswer answer = MustAnswer(*this->steering, this->random);
        this->usedHosts[caller] = answer.addresses[0].host;
        this->answerExpiry[caller] = this->now + answer.ttl;
      }
    }
    std::map<std::string, double> callers;
    for (const std::string& host : this->usedHosts) {
      callers[host] += 1;
    }
    for (const auto& entry : aCapacity) {
      this->utilisation[entry.first] = callers[entry.first] / entry.second;
      this->inputs.loads[entry.first] = { this->utilisation[entry.first], this->now };
    }
  }

  Inputs inputs;
  std::map<std::string, double> utilisation;
  std::unique_ptr<ISteering> steering;

private:
  SeededRandom random;
  std::vector<std::string> usedHosts;
  std::vector<TimePoint> answerExpiry;
  TimePoint now = kStart;
};

} // namespace

// Guards against weights that oscillate because callers use answers that are up to 12.5 s old.
TEST_CASE("weights settle without oscillation while callers use answers for their time to live")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SimulatedFleet fleet(seed);
    std::map<std::string, double> capacity;
    for (std::size_t host = 0; host < SimulatedFleet::kHosts; ++host) {
      capacity[HostName(host)] = host == 3 ? 250 : 500;
    }
    double least = 1e9;
    double most = 0;
    double lowest = 1e9;
    for (int second = 0; second < 900; ++second) {
      fleet.AdvanceSecond(capacity);
      const double weight = WeightsOf(*fleet.steering)["h03"];
      lowest = std::min(lowest, weight);
      if (second >= 500) {
        least = std::min(least, weight);
        most = std::max(most, weight);
      }
    }
    INFO("seed " << seed << " least " << least << " most " << most << " lowest " << lowest);
    // The node with half the capacity settles at about half of the weight 1/8 and never falls far below that.
    CHECK(most / least < 1.2);
    CHECK(lowest > 0.9 * least);
    CHECK(fleet.utilisation["h03"] < 1.3 * fleet.utilisation["h04"]);
    CHECK(fleet.utilisation["h03"] > 0.7 * fleet.utilisation["h04"]);
  }
}

// Guards against one extreme load report that moves most callers away from a node at once.
TEST_CASE("a weight changes by at most 20 % per step and once per step interval")
{
  rc::check("steps are bounded", [] {
    Inputs inputs(8);
    inputs.state->fleet = [] {
      Ref<FleetSpec> fleet(new FleetSpec);
      fleet->addressTtl = 1ms;
      return fleet;
    }();
    const auto steering = MakeSteering();
    inputs.Apply(*steering);
    auto before = WeightsOf(*steering);
    TimePoint now = kStart;
    for (int step = 0; step < 20; ++step) {
      now += 2s;
      for (std::size_t host = 0; host < 8; ++host) {
        inputs.loads[HostName(host)] = { *rc::gen::element(0.0, 0.001, 0.5, 1.0, 1000.0), now };
      }
      inputs.Apply(*steering, now);
      const auto after = WeightsOf(*steering);
      for (const auto& entry : after) {
        RC_ASSERT(entry.second <= before[entry.first] * 1.2001);
        RC_ASSERT(entry.second >= before[entry.first] * 0.7999);
      }
      inputs.Apply(*steering, now + 1s);
      RC_ASSERT(WeightsOf(*steering) == after);
      before = after;
    }
  });
}

// Guards against giving callers a node that is leaving, unreachable or not ready, or nodes of one failure
// domain only.
TEST_CASE("answers hold only usable nodes, with a fallback in another failure domain")
{
  rc::check("usable nodes", [] {
    Inputs inputs(24);
    std::set<std::string> usable;
    std::set<std::string> usableDomains;
    auto& holders = inputs.placement->services["s0"].holders;
    for (MemberStatus& member : inputs.view->members) {
      member.record.state = *rc::gen::element(
        MemberState::kReady, MemberState::kReady, MemberState::kLeaving, MemberState::kJoining);
      member.unreachable = *rc::gen::inRange(0, 4) == 0;
      member.listedLeaving = *rc::gen::inRange(0, 4) == 0;
      const bool good =
        member.record.state == MemberState::kReady && !member.unreachable && !member.listedLeaving;
      if (good) {
        usable.insert(member.record.host);
        usableDomains.insert(member.record.failureDomain);
      }
    }
    const bool oneDomain = *rc::gen::arbitrary<bool>();
    if (oneDomain) {
      holders = { "h00", "h04", "h08", "h12", "h16", "h20" };
    }
    const bool anyHolder = std::any_of(
      holders.begin(), holders.end(), [&](const std::string& aHost) { return usable.count(aHost) > 0; });
    const auto steering = MakeSteering();
    inputs.Apply(*steering);
    SeededRandom random(3);
    if (!anyHolder) {
      RC_ASSERT(AnswerError(*steering, random, "app") == ErrorCode::kUnavailable);
      return;
    }
    for (int round = 0; round < 20; ++round) {
      const AddressAnswer answer = MustAnswer(*steering, random);
      std::set<std::string> domains;
      std::set<std::string> hosts;
      for (const CallerAddress& address : answer.addresses) {
        RC_ASSERT(usable.count(address.host) == 1);
        RC_ASSERT(hosts.insert(address.host).second);
        domains.insert(address.failureDomain);
      }
      RC_ASSERT(domains.size() >= std::min<std::size_t>(2, usableDomains.size()));
      RC_ASSERT(answer.addresses.size() <= 8);
      RC_ASSERT(answer.ttl >= 7500ms);
      RC_ASSERT(answer.ttl <= 12500ms);
    }
  });
}

// Guards against callers that all change nodes at the same time or all use the same node.
TEST_CASE("time to live and order of the addresses are randomised")
{
  Inputs inputs(8);
  const auto steering = MakeSteering();
  inputs.Apply(*steering);
  SeededRandom random(4);
  std::set<std::string> first;
  std::chrono::milliseconds shortest = 1h;
  std::chrono::milliseconds longest = 0ms;
  int local = 0;
  for (int round = 0; round < 1000; ++round) {
    const AddressAnswer answer = MustAnswer(*steering, random);
    first.insert(answer.addresses[0].host);
    local += answer.addresses[0].failureDomain == "d0" ? 1 : 0;
    shortest = std::min(shortest, answer.ttl);
    longest = std::max(longest, answer.ttl);
  }
  CHECK(first.size() == 8);
  CHECK(shortest < 7800ms);
  CHECK(longest > 12200ms);
  // Expected share of the answering node's failure domain: 2 nodes of weight 4, 2 of weight 2 in the same
  // region and 4 of weight 1 give 8 of 16.
  CHECK(local > 440);
  CHECK(local < 560);
}

// Guards against an extra forwarding hop when a node holds all services of the caller.
TEST_CASE("holders of all the caller's services come first")
{
  Inputs inputs(8);
  inputs.placement->services["s1"].holders = { "h02", "h05" };
  inputs.AddCaller("both", { "s0", "s1", "unknown" });
  const auto steering = MakeSteering();
  inputs.Apply(*steering);
  SeededRandom random(5);
  for (int round = 0; round < 100; ++round) {
    const AddressAnswer answer = MustAnswer(*steering, random, "both");
    const std::set<std::string> best{ answer.addresses[0].host, answer.addresses[1].host };
    CHECK(best == std::set<std::string>{ "h02", "h05" });
  }
  CHECK(AnswerError(*steering, random, "nobody") == ErrorCode::kNotFound);
  CHECK(AnswerError(*MakeSteering(), random, "app") == ErrorCode::kUnavailable);
}

// Guards against a node that stopped reporting and attracts callers by its last, low load.
TEST_CASE("a stale load counts as the mean")
{
  Inputs inputs(8);
  const auto steering = MakeSteering();
  TimePoint now = kStart;
  for (std::size_t host = 0; host < 8; ++host) {
    inputs.loads[HostName(host)] = { host == 1 ? 0.0 : 0.8, now };
  }
  inputs.Apply(*steering, now);
  const double before = WeightsOf(*steering)["h01"];
  for (int step = 0; step < 10; ++step) {
    now += 7s;
    for (std::size_t host = 0; host < 8; ++host) {
      inputs.loads[HostName(host)].received = host == 1 ? kStart : now;
    }
    inputs.Apply(*steering, now);
  }
  CHECK(WeightsOf(*steering)["h01"] <= before);
}

// Guards against forwarding a request to this node itself, to the more loaded of two drawn holders or to an
// unusable holder.
TEST_CASE("forwarding chooses the less loaded of two holders and never this node")
{
  Inputs inputs(3);
  for (std::size_t host = 0; host < 3; ++host) {
    inputs.loads[HostName(host)] = { host == 2 ? 0.9 : 0.1, kStart };
  }
  const auto steering = MakeSteering();
  inputs.Apply(*steering);
  SeededRandom random(6);
  for (int round = 0; round < 100; ++round) {
    CHECK(Forward(*steering, random) == "h01");
  }
  inputs.view = new MemberView(*inputs.view);
  inputs.view->members[1].unreachable = true;
  inputs.view->members[2].record.state = MemberState::kLeaving;
  inputs.Apply(*steering);
  CHECK(Forward(*steering, random) == ToString(ErrorCode::kUnavailable));
}

// Guards against a reader that uses a table after its release.
TEST_CASE("answers stay valid while the table is replaced")
{
  Inputs inputs(8);
  const auto steering = MakeSteering();
  inputs.Apply(*steering);
  std::atomic<bool> stop{ false };
  std::atomic<std::uint64_t> bad{ 0 };
  std::vector<std::thread> readers;
  for (std::uint64_t reader = 0; reader < 2; ++reader) {
    readers.emplace_back([&, reader] {
      SeededRandom random(reader);
      while (!stop) {
        bad += MustAnswer(*steering, random).addresses.size() == 8 ? 0 : 1;
      }
    });
  }
  for (int round = 0; round < 300; ++round) {
    inputs.Apply(*steering, kStart + round * 2s);
  }
  stop = true;
  for (std::thread& reader : readers) {
    reader.join();
  }
  CHECK(bad == 0);
}
