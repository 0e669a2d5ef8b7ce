#include "fakeleafs.h"
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

/// Changes one thing about the leafs, the ticket or the clock.
void
Disturb(FakeNode& aNode, IRandom& aRandom)
{
  auto leaf = std::next(aNode.leafs.leafs.begin(),
                        static_cast<std::ptrdiff_t>(aRandom.Below(aNode.leafs.leafs.size())));
  FakeLeaf& state = leaf->second;
  switch (aRandom.Below(10)) {
    case 0:
      state.refuse = !state.refuse;
      break;
    case 1:
      state.lose = !state.lose;
      break;
    case 2:
      state.silent = !state.silent;
      break;
    case 3:
      state.shed = !state.shed;
      break;
    case 4:
      state.draining = !state.draining;
      break;
    case 5:
      state.latency = std::chrono::milliseconds(1 + aRandom.Below(100));
      break;
    case 6:
      state.versions.insert(*state.versions.rbegin() + 1);
      if (state.versions.size() > 2) {
        state.versions.erase(state.versions.begin());
      }
      break;
    case 7: {
      Ref<ServiceSpec> next = MakeService(4);
      if (aRandom.Below(2) == 0) {
        AddLayout(*next, 2, 7, 2);
      }
      aNode.Declare(next);
      break;
    }
    case 8:
      aNode.clock.Advance(std::chrono::milliseconds(aRandom.Below(2) == 0 ? 50 : 3000));
      break;
    default: {
      const std::set<IndexVersion> versions = state.versions;
      state = FakeLeaf();
      state.versions = versions;
      break;
    }
  }
}

void
CheckAnswer(const RequestAnswer& aAnswer)
{
  if (aAnswer.outcome != RequestOutcome::kAnswered || aAnswer.hits.empty()) {
    return;
  }
  const std::string layout = std::to_string(aAnswer.snapshot.layout) + ".";
  const std::string version = "@" + std::to_string(aAnswer.snapshot.indexVersion);
  REQUIRE(aAnswer.coverage.covered == aAnswer.hits.size() * 10);
  REQUIRE(aAnswer.coverage.covered <= aAnswer.coverage.total);
  std::set<std::string> shards;
  for (const Hit& hit : aAnswer.hits) {
    REQUIRE(hit.document.compare(0, layout.size(), layout) == 0);
    REQUIRE(hit.document.substr(hit.document.find('@')) == version);
    shards.insert(hit.document.substr(0, hit.document.rfind('.')));
  }
  REQUIRE(shards.size() == aAnswer.hits.size());
}

void
RunSeed(std::uint64_t aSeed)
{
  QueryOptions options;
  options.limitExtraLoad = aSeed % 3 != 0;
  options.maxInFlight = 20;
  FakeNode node(MakeService(4), options, aSeed);
  SeededRandom random(aSeed);
  std::map<std::string, std::string> ids; ///< id to body
  std::map<std::string, std::uint64_t> runs;
  node.leafs.latencyOf = [&](const LeafAttempt& aAttempt, const FakeLeaf& aLeaf) {
    if (aAttempt.execute) {
      ++runs[aAttempt.body];
    }
    return aLeaf.latency;
  };
  std::size_t started = 0;
  for (int step = 0; step < 400; ++step) {
    if (random.Below(4) == 0) {
      Disturb(node, random);
    }
    if (random.Below(5) == 0) {
      const std::string key = "key" + std::to_string(step);
      ids[node.StartExecute(key)] = R"({"key":")" + key + R"(","body":{}})";
    } else {
      node.Start(random.Below(2) == 0 ? "orders" : "screen");
    }
    ++started;
    node.timers.RunFor(std::chrono::milliseconds(random.Below(40)));
  }
  node.timers.RunFor(20s);
  REQUIRE(node.answers.size() == started);
  REQUIRE(node.engine->InFlight() == 0);
  REQUIRE(node.leafs.OpenCount() == 0);
  REQUIRE(node.leafs.sentLate == 0);
  for (const RequestAnswer& answer : node.answers) {
    CheckAnswer(answer);
  }
  for (const auto& [body, count] : runs) {
    REQUIRE(count == 1);
  }
  for (const auto& [id, body] : ids) {
    const RequestIdState state = node.requests->Find(id).state;
    REQUIRE(state != RequestIdState::kRunning);
    REQUIRE((state != RequestIdState::kNotRun || runs.count(body) == 0));
    REQUIRE((state != RequestIdState::kDone || runs.count(body) == 1));
  }
}

} // namespace

// Guards the promises together: one snapshot, reported coverage, one answer a request, at most one run of a
// non-idempotent request, and nothing sent past its deadline, under random faults.
TEST_CASE("random faults break no promise")
{
  const std::uint64_t broken = BrokenInvariants();
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    RunSeed(seed);
  }
  CHECK(BrokenInvariants() == broken);
}
