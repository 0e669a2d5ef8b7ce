#include "gateway/tests/fakeexchange.h"
#include <catch2/catch.hpp>

namespace yp {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a leaf that gets requests again after it said that it leaves, because a late write of its
// entry, which the store had already removed, makes it look like a new leaf.
TEST_CASE("A leaf that leaves gets no requests when its entry is removed and comes back", "[drain][leaving]")
{
  const bool answerBeforeRemoval = GENERATE(true, false);
  const std::uint64_t startTimeMs = GENERATE(0, 7);
  GatewayFixture fixture;
  LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  entry.startTimeMs = startTimeMs;
  fixture.leafs.Apply(entry);
  const Ref<LeafHandle> leaf = fixture.Leaf(entry.id);
  LeafNotice notice;
  notice.leaving = true;
  if (answerBeforeRemoval) {
    leaf->Apply(notice, "request", fixture.clock.Now());
  }
  fixture.leafs.Remove(entry.id);
  fixture.timers.RunFor(seconds(3));
  if (!answerBeforeRemoval) {
    leaf->Apply(notice, "request", fixture.clock.Now());
  }
  fixture.timers.RunFor(seconds(6));
  fixture.leafs.Apply(entry);
  REQUIRE_FALSE(fixture.Leaf(entry.id)->AcceptsRequests());
  entry.startTimeMs = 9;
  fixture.leafs.Apply(entry);
  REQUIRE(fixture.Leaf(entry.id)->AcceptsRequests());
}

// Guards against requests later than drainMs to a leaf that drains: a write of its entry from before is done
// late, and the store publishes it after the one that says so.
TEST_CASE("A late write of its entry does not take back that a leaf drains", "[drain]")
{
  GatewayFixture fixture;
  LeafRegistration ready = fixture.leafs.Leafs("plain")[0]->registration;
  ready.startTimeMs = 7;
  ready.sequence = 8;
  LeafRegistration draining = ready;
  draining.draining = true;
  draining.sequence = 9;
  const auto accepts = [&fixture, id = ready.id] { return fixture.Leaf(id)->AcceptsRequests(); };
  fixture.leafs.Apply(draining);
  fixture.leafs.Apply(ready);
  REQUIRE_FALSE(accepts());
  fixture.leafs.Remove(ready.id);
  fixture.leafs.Apply(ready);
  REQUIRE_FALSE(accepts());
  ready.sequence = 10;
  fixture.leafs.Apply(ready);
  REQUIRE(accepts());
  fixture.leafs.Apply(draining);
  ready.startTimeMs = 11;
  ready.sequence = 1;
  fixture.leafs.Apply(ready);
  REQUIRE(accepts());
}

// Guards against a restarted leaf that stays out of use because the start before it left: neither gives its
// start time, and id, service and address are the same.
TEST_CASE("A leaf without a start time whose sequence begins anew has restarted", "[drain][reuse]")
{
  const bool removed = GENERATE(true, false);
  GatewayFixture fixture;
  LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  entry.sequence = 9;
  entry.draining = GENERATE(true, false);
  fixture.leafs.Apply(entry);
  LeafNotice notice;
  notice.leaving = true;
  fixture.Leaf(entry.id)->Apply(notice, "request", fixture.clock.Now());
  if (removed) {
    fixture.leafs.Remove(entry.id);
  }
  entry.draining = false;
  entry.sequence = 1;
  fixture.leafs.Apply(entry);
  REQUIRE(fixture.Leaf(entry.id)->AcceptsRequests());
}

// Guards against requests to a leaf that is gone: the source returns from a copy that still has its entry.
TEST_CASE("A removed entry that an earlier copy brings back gets no requests until the leaf writes",
          "[drain][era]")
{
  GatewayFixture fixture;
  LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  entry.startTimeMs = 7;
  entry.sequence = 5;
  entry.revision = 100;
  fixture.leafs.Apply(entry);
  fixture.leafs.Remove(entry.id);
  entry.sequence = 4;
  entry.revision = MakePosition(1, 90);
  fixture.leafs.Apply(entry);
  const auto turnsAway = [&] { return fixture.Leaf(entry.id)->TurnsAway(fixture.clock.Now()); };
  REQUIRE(turnsAway());
  entry.revision = MakePosition(1, 91);
  fixture.leafs.Apply(entry);
  REQUIRE(turnsAway());
  SECTION("a later sequence")
  {
    entry.sequence = 6;
    fixture.leafs.Apply(entry);
    REQUIRE_FALSE(turnsAway());
  }
  SECTION("a later start")
  {
    entry.sequence = 1;
    entry.startTimeMs = 8;
    fixture.leafs.Apply(entry);
    REQUIRE_FALSE(turnsAway());
  }
  SECTION("an entry that does not lapse")
  {
    fixture.timers.RunFor(seconds(6));
    REQUIRE_FALSE(turnsAway());
  }
}

// Guards against leafs that are taken out of use by a return from a copy although they were never gone, and
// against a drained leaf that is used again.
TEST_CASE("A copy changes nothing for a leaf that serves or drains", "[drain][era]")
{
  const std::uint64_t startTimeMs = GENERATE(0, 7);
  GatewayFixture fixture;
  LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  entry.startTimeMs = startTimeMs;
  entry.sequence = 5;
  entry.revision = 100;
  entry.draining = GENERATE(true, false);
  fixture.leafs.Apply(entry);
  const bool draining = entry.draining;
  entry.draining = false;
  entry.sequence = 4;
  entry.revision = MakePosition(1, 90);
  fixture.leafs.Apply(entry);
  REQUIRE(fixture.Leaf(entry.id)->AcceptsRequests() == !draining);
  REQUIRE_FALSE(fixture.Leaf(entry.id)->TurnsAway(fixture.clock.Now()));
}

// Guards against more than two requests to a leaf during its pause: its entry lapses and is written again
// while it pauses.
TEST_CASE("A leaf's pause outlives the removal of its entry", "[pause]")
{
  GatewayFixture fixture;
  const LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  LeafNotice notice;
  notice.pause = std::chrono::minutes(2);
  fixture.Leaf(entry.id)->Apply(notice, "request", fixture.clock.Now());
  fixture.leafs.Remove(entry.id);
  fixture.timers.RunFor(seconds(100));
  fixture.leafs.Remove("plain-b");
  fixture.leafs.Apply(entry);
  REQUIRE(fixture.Leaf(entry.id)->Paused(fixture.clock.Now()));
  fixture.timers.RunFor(seconds(20));
  REQUIRE_FALSE(fixture.Leaf(entry.id)->Paused(fixture.clock.Now()));
}

// Guards against memory that grows with the number of leafs that ever left, and against a leaf without a
// start time that stays out of use for good because an earlier leaf of its id left.
TEST_CASE("Incarnations of removed leafs are forgotten", "[memory]")
{
  GatewayFixture fixture;
  LeafRegistration entry = fixture.leafs.Leafs("plain")[0]->registration;
  LeafNotice notice;
  notice.leaving = true;
  const std::size_t before = fixture.leafs.CountIncarnations();
  for (int i = 0; i < 20000; ++i) {
    entry.id = "replaced-" + std::to_string(i);
    fixture.leafs.Apply(entry);
    fixture.Leaf(entry.id)->Apply(notice, "request", fixture.clock.Now());
    fixture.leafs.Remove(entry.id);
  }
  REQUIRE(fixture.leafs.CountIncarnations() <= before + 4096);
  fixture.timers.RunFor(seconds(61));
  fixture.leafs.Apply(entry);
  REQUIRE(fixture.Leaf(entry.id)->AcceptsRequests());
  REQUIRE(fixture.leafs.CountIncarnations() == before + 1);
}

} // namespace yp
