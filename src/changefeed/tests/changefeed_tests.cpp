#include "changefeed/changefeed.h"
#include "gossip/tests/fakefleet.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Change
Value(const std::string& aKey, std::uint64_t aRevision)
{
  return Change{ aKey, "value", aRevision, false, false };
}

Change
Removal(const std::string& aKey, std::uint64_t aRevision)
{
  return Change{ aKey, "", aRevision, true, false };
}

/// Simulated nodes that poll a shared source and fetch changes from each other.
class FeedFleet : public FakeFleet
{
public:
  struct Feed
    : IChangeReader
    , IChangePeer
  {
    Feed(FeedFleet& aFleet, std::size_t aIndex)
      : fleet(aFleet)
      , index(aIndex)
    {
      IGossipNode& gossip = aFleet.Gossip(aIndex);
      this->relay = MakeChangeRelay(
        { *this, *this, gossip, aFleet.timers, aFleet.clock, aFleet.random, [](const ChangeBatch&) {} });
      gossip.OnFeedPosition([this](const PeerRecord& aPeer, const FeedPosition& aPosition) {
        this->relay->OnPeerFeedPosition(aPeer, aPosition);
      });
      this->relay->Start();
    }

    void Begin(std::uint64_t) override
    {
      ++this->fleet.readStarts;
      this->reading = true;
      this->Poll();
    }

    void End() override { this->reading = false; }

    void OnReadElsewhere(TimePoint) override {}

    void Poll()
    {
      if (!this->reading) {
        return;
      }
      ++this->fleet.reads;
      if (this->fleet.stalled.count(this->index) != 0) {
        return;
      }
      if (this->fleet.refused.count(this->index) != 0) {
        this->relay->SetSourceReachable(false);
      } else {
        this->relay->SetSourceReachable(true);
        ChangeBatch batch = this->fleet.source.Since(this->relay->Log().Revision());
        this->relay->OnRead(batch);
      }
      this->fleet.timers.At(this->fleet.clock.Now() + milliseconds(500), [this] { this->Poll(); });
    }

    void Fetch(const PeerRecord& aPeer, std::uint64_t aAfter, Handler aHandler) override
    {
      for (const auto& [other, feed] : this->fleet.feeds) {
        if (FakeFleet::Host(other) == aPeer.host) {
          ++this->fleet.fetches;
          const ChangeBatch batch = feed->relay->Since(aAfter);
          this->fleet.timers.At(this->fleet.clock.Now() + milliseconds(3),
                                [batch, aHandler] { aHandler(batch); });
          return;
        }
      }
      aHandler(std::nullopt);
    }

    FeedFleet& fleet;
    const std::size_t index;
    std::unique_ptr<IChangeRelay> relay;
    bool reading = false;
  };

  void StartFeeds(std::size_t aCount)
  {
    this->StartAll(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      this->feeds[i] = std::make_unique<Feed>(*this, i);
    }
  }

  /// Publishes revision 1, starts nodes and runs them for a time, in which they agree on the readers.
  void StartAndSettle(std::size_t aCount, Duration aTime)
  {
    this->Publish(1);
    this->StartFeeds(aCount);
    this->timers.RunFor(aTime);
  }

  /// \return indices of the nodes that read the source now
  std::set<std::size_t> Readers() const
  {
    std::set<std::size_t> readers;
    for (const auto& [index, feed] : this->feeds) {
      if (feed->reading) {
        readers.insert(index);
      }
    }
    return readers;
  }

  void Publish(std::uint64_t aRevision)
  {
    ChangeBatch batch;
    batch.after = this->source.Revision();
    batch.upTo = aRevision;
    batch.changes.push_back(Value("key", aRevision));
    this->source.Apply(batch);
  }

  std::size_t CountAt(std::uint64_t aRevision) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->feeds.begin(), this->feeds.end(), [&](const auto& aFeed) {
        return aFeed.second->relay->Log().Revision() == aRevision;
      }));
  }

  ChangeLog source;
  std::map<std::size_t, std::unique_ptr<Feed>> feeds;
  std::set<std::size_t> refused; ///< nodes whose requests the source refuses
  std::set<std::size_t> stalled; ///< nodes whose request to the source never completes or fails
  std::uint64_t readStarts = 0;
  std::uint64_t reads = 0;
  std::uint64_t fetches = 0;
};

} // namespace

TEST_CASE("Values never revert to an earlier revision", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 5) } });
  REQUIRE(log.Apply({ 0, 3, true, false, { Value("a", 2) } }).changes.empty());
  REQUIRE(log.Apply({ 5, 6, false, false, { Value("a", 4) } }).changes.empty());
  REQUIRE(log.Revision() == 6);
}

TEST_CASE("A batch after a gap is ignored", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 5) } });
  REQUIRE(log.Apply({ 8, 9, false, false, { Value("a", 9) } }).changes.empty());
  REQUIRE(log.Revision() == 5);
}

TEST_CASE("Values that a complete state lacks are removed", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 4), Value("b", 5) } });
  const ChangeBatch fresh = log.Apply({ 0, 9, true, true, { Value("a", 4) } });
  REQUIRE(fresh.changes.size() == 1);
  REQUIRE(fresh.changes[0].key == "b");
  REQUIRE(fresh.changes[0].removed);
  REQUIRE(fresh.changes[0].mayReturn);
}

TEST_CASE("A node that is behind the known removals gets the complete state", "[changelog]")
{
  ChangeLog log;
  std::uint64_t revision = 0;
  for (int i = 0; i < 3000; ++i) {
    const std::string key = "a" + std::to_string(i);
    log.Apply({ revision, revision + 1, false, false, { Value(key, revision + 1) } });
    log.Apply({ revision + 1, revision + 2, false, false, { Removal(key, revision + 2) } });
    revision += 2;
  }
  log.Apply({ revision, revision + 1, false, false, { Value("b", revision + 1) } });
  ++revision;
  REQUIRE(log.Since(1).complete);
  REQUIRE(log.Since(1).changes.size() == 1);
  REQUIRE_FALSE(log.Since(revision - 5).complete);
  REQUIRE(log.Since(revision - 5).changes.size() == 3);
}

// Guards against nodes that use a removed leaf for good: a node that starts knows no removal from before its
// first complete state.
TEST_CASE("A peer learns of a removal from before the start of the node that it asks", "[changelog][start]")
{
  ChangeLog started;
  started.Apply({ 0, 100, true, false, { Value("a", 50) } });
  ChangeLog behind;
  behind.Apply({ 0, 95, true, false, { Value("a", 50), Value("removed", 60) } });
  behind.Apply(started.Since(behind.Revision()));
  REQUIRE(behind.Revision() == 100);
  REQUIRE(behind.Since(0).changes.size() == 1);
}

// Guards against the same loss at a node that reads the complete state again because it missed the changes.
TEST_CASE("A peer learns of a removal that the node that it asks has passed over", "[changelog][compact]")
{
  ChangeLog reader;
  reader.Apply({ 0, 90, true, false, { Value("a", 50) } });
  reader.Apply({ 0, 100, true, false, { Value("a", 50) } });
  ChangeLog behind;
  behind.Apply({ 0, 90, true, false, { Value("a", 50) } });
  behind.Apply({ 90, 95, false, false, { Value("removed", 92) } });
  behind.Apply(reader.Since(behind.Revision()));
  REQUIRE(behind.Revision() == 100);
  REQUIRE(behind.Since(0).changes.size() == 1);
}

// Guards against a removal that is not passed on because the key was already missing in a page of a later
// revision than that of the complete state.
TEST_CASE("A peer learns of a removal that the node that it asks had no value for", "[changelog]")
{
  ChangeLog reader;
  reader.Apply({ 0, 100, true, false, { Value("a", 50) } });
  reader.Apply({ 100, 103, false, false, { Removal("removed", 102), Value("a", 103) } });
  ChangeLog behind;
  behind.Apply({ 0, 101, true, false, { Value("a", 50), Value("removed", 60) } });
  behind.Apply(reader.Since(behind.Revision()));
  REQUIRE(behind.Since(0).changes.size() == 1);
}

// Guards against a leaf that is dropped although the log keeps its value: a complete state of an earlier
// revision lacks values that a page of a later one contained.
TEST_CASE("A value later than a complete state is not reported as removed", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 100, true, false, { Value("a", 50), Value("later", 103) } });
  const ChangeBatch fresh = log.Apply({ 0, 101, true, false, { Value("a", 50) } });
  REQUIRE(fresh.changes.empty());
  REQUIRE(log.Since(0).changes.size() == 2);
}

// Guards against a removed leaf that returns with a value from before its removal.
TEST_CASE("A removed value does not return with an earlier revision", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 100, true, false, { Value("a", 50) } });
  log.Apply({ 100, 101, false, false, { Removal("a", 101) } });
  REQUIRE(log.Apply({ 99, 101, false, false, { Value("a", 100) } }).changes.empty());
  REQUIRE(log.Since(0).changes.empty());
}

// Guards against nodes that ignore what is written after the source returned from an earlier copy, because
// its revisions are lower than the known ones.
TEST_CASE("Changes of a later era replace those of higher revisions", "[changelog][era]")
{
  ChangeLog log;
  log.Apply({ 0, 499, true, false, { Value("a", 480), Value("b", 490), Value("kept", 10) } });
  const ChangeBatch copy{ 0,
                          MakePosition(1, 402),
                          true,
                          false,
                          { Value("a", MakePosition(1, 400)), Value("kept", MakePosition(1, 10)) } };
  const ChangeBatch fresh = log.Apply(copy);
  REQUIRE(log.Revision() == MakePosition(1, 402));
  const auto removal = std::find_if(
    fresh.changes.begin(), fresh.changes.end(), [](const Change& aChange) { return aChange.removed; });
  REQUIRE(removal != fresh.changes.end());
  REQUIRE(removal->key == "b");
  REQUIRE(removal->mayReturn);
  const std::uint64_t next = MakePosition(1, 403);
  REQUIRE(log.Apply({ MakePosition(1, 402), next, false, false, { Value("b", next) } }).changes.size() == 1);
  REQUIRE(log.Since(0).changes.size() == 3);
}

// Guards against answers of the era before that arrive late, and against parts of two eras that are joined.
TEST_CASE("Changes of an earlier era, or that follow one, are ignored", "[changelog][era]")
{
  ChangeLog log;
  log.Apply({ 0, 499, true, false, { Value("a", 480) } });
  REQUIRE(log.Apply({ 499, MakePosition(1, 500), false, false, { Value("a", MakePosition(1, 500)) } })
            .changes.empty());
  REQUIRE(log.Revision() == 499);
  log.Apply({ 0, MakePosition(1, 402), true, false, { Value("a", MakePosition(1, 400)) } });
  REQUIRE(log.Apply({ 499, 510, false, false, { Value("a", 510) } }).changes.empty());
  REQUIRE(log.Apply({ 0, 600, true, false, { Value("a", 600) } }).changes.empty());
  REQUIRE(log.Revision() == MakePosition(1, 402));
}

// Guards against peers of the era before that miss what the copy lacks.
TEST_CASE("A peer of an earlier era gets the complete state", "[changelog][era]")
{
  ChangeLog log;
  log.Apply({ 0, 499, true, false, { Value("a", 480) } });
  ChangeLog behind;
  behind.Apply({ 0, 499, true, false, { Value("a", 480), Value("lost", 499) } });
  log.Apply({ 0, MakePosition(1, 402), true, false, { Value("a", MakePosition(1, 400)) } });
  REQUIRE(log.Since(499).complete);
  const ChangeBatch fresh = behind.Apply(log.Since(behind.Revision()));
  REQUIRE(behind.Since(0).changes.size() == 1);
  REQUIRE(fresh.changes.back().mayReturn);
}

// Guards against configurations in quick succession that fill the memory of all nodes: each superseded
// version was kept with its whole value.
TEST_CASE("Superseded values are not kept", "[changelog][memory]")
{
  constexpr std::size_t kValueBytes = 100000;
  ChangeLog log;
  for (std::uint64_t revision = 1; revision <= 500; ++revision) {
    Change change = Value("a", revision);
    change.value.assign(kValueBytes, 'v');
    log.Apply({ revision - 1, revision, false, false, { std::move(change) } });
  }
  REQUIRE(log.Since(1).changes.size() == 1);
  REQUIRE(log.Since(499).changes.size() == 1);
  REQUIRE(log.KeptBytes() < 2 * kValueBytes);
}

// Guards against removed keys that are kept without a bound; 10,000 of them are 2 MB.
TEST_CASE("The number of kept removals is bounded", "[changelog][memory]")
{
  ChangeLog log;
  constexpr std::size_t kKeyBytes = 200;
  for (std::uint64_t revision = 1; revision <= 20000; revision += 2) {
    const std::string key = std::to_string(revision) + std::string(kKeyBytes - 5, 'k');
    log.Apply({ revision - 1, revision, false, false, { Value(key, revision) } });
    log.Apply({ revision, revision + 1, false, false, { Removal(key, revision + 1) } });
  }
  REQUIRE(log.KeptBytes() < 1024 * 1024);
}

TEST_CASE("A batch is decoded to what was encoded", "[changelog]")
{
  ChangeBatch batch{
    3, 9, false, false, { Value("a", 4), Change{ "b", std::string("\0\xff", 2), 9, true, true } }
  };
  const bool equal = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(decoded, DecodeBatch(EncodeBatch(batch)));
      return decoded.after == 3 && decoded.upTo == 9 && decoded.changes.size() == 2 &&
             decoded.changes[1].value == batch.changes[1].value && decoded.changes[1].mayReturn;
    },
    [](const Error&) { return false; });
  REQUIRE(equal);
}

// Guards against a reshard of a large deployment that saturates the nodes' network links.
TEST_CASE("A batch of 405 registrations is compressed to a fifth of their size and decoded completely",
          "[changelog][scale]")
{
  ChangeBatch batch{ 3, 500, false, false, {} };
  std::size_t size = 0;
  for (std::uint64_t i = 0; i < 405; ++i) {
    const std::string value =
      R"({"service":"shard)" + std::to_string(i / 3) + R"(","address":"10.1.64.)" + std::to_string(i % 250) +
      R"(:8204","zone":"z","version":"v1","concurrency":2,"state":"ready","sequence":1})";
    size += value.size();
    batch.changes.push_back(Change{ "servers/i-" + std::to_string(i * 7919), value, 4 + i, false, false });
  }
  const std::string bytes = EncodeBatch(batch);
  REQUIRE(bytes.size() < size / 5);
  const std::size_t decoded = Recover(
    [&]() -> Result<std::size_t> {
      BOOST_LEAF_AUTO(restored, DecodeBatch(bytes));
      return restored.changes.back().value == batch.changes.back().value ? restored.changes.size() : 0;
    },
    [](const Error&) { return std::size_t(0); });
  REQUIRE(decoded == 405);
}

// Guards against malformed bytes of a peer that make a node allocate unbounded memory or terminate.
TEST_CASE("Malformed compressed batches are refused", "[changelog]")
{
  const auto refused = [](const Json& aMessage) {
    return Recover(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeBatch(EncodeCbor(aMessage)));
        return false;
      },
      [](const Error& aError) { return aError.code == ErrorCode::kBadInput; });
  };
  const Json noise = Json::binary(Json::binary_t(std::vector<std::uint8_t>{ 1, 2, 3 }));
  REQUIRE(refused(Json::array({ 100, noise })));
  REQUIRE(refused(Json::array({ std::uint64_t(1) << 40, noise })));
  REQUIRE(refused(Json::array({ -1, noise })));
}

TEST_CASE("Three of eighty nodes read, and a change reaches all nodes within 1.5 s", "[relay][scale]")
{
  FeedFleet fleet;
  fleet.StartAndSettle(80, seconds(8));
  REQUIRE(fleet.Readers().size() == 3);
  REQUIRE(fleet.CountAt(1) == 80);
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(1500));
  REQUIRE(fleet.CountAt(2) == 80);
}

TEST_CASE("A change reaches all other nodes when a reader fails at the same time", "[relay]")
{
  FeedFleet fleet;
  fleet.StartAndSettle(8, seconds(5));
  const std::size_t killed = *fleet.Readers().begin();
  fleet.feeds.at(killed)->reading = false;
  fleet.disconnected.insert(FakeFleet::Address(killed));
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(2500));
  REQUIRE(fleet.CountAt(2) >= 7);
}

TEST_CASE("Readers that the store refuses get changes from the other nodes", "[relay][store]")
{
  FeedFleet fleet;
  fleet.StartAndSettle(8, seconds(5));
  fleet.refused = fleet.Readers();
  fleet.timers.RunFor(seconds(1));
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(2500));
  REQUIRE(fleet.CountAt(2) == 8);
}

// Guards against nodes that the source turned away once and that never read it again, so that nobody reads
// when the last reader is lost.
TEST_CASE("A node that the source turned away reads it again when the source answers it", "[relay][store]")
{
  const std::size_t nodes = GENERATE(2, 8);
  FeedFleet fleet;
  fleet.StartAndSettle(nodes, seconds(5));
  const std::size_t readers = fleet.Readers().size();
  for (std::size_t i = 1; i < nodes; ++i) {
    fleet.refused.insert(i);
  }
  fleet.timers.RunFor(milliseconds(4500));
  REQUIRE(fleet.Gossip(1).Own().sourceUnreachable);
  fleet.refused.clear();
  fleet.timers.RunFor(seconds(4));
  REQUIRE(fleet.Readers().size() == readers);
  for (std::size_t i = 0; i < nodes; ++i) {
    REQUIRE_FALSE(fleet.Gossip(i).Own().sourceUnreachable);
  }
}

// Guards against a removed leaf that gets requests later than drainMs (3,000) because the removal came just
// after the last confirmation of readers that then stall.
TEST_CASE("A change just after all readers stalled is known within 2.7 s", "[relay][store]")
{
  for (std::size_t served = 0; served < 8; ++served) {
    for (int phase = 0; phase < 500; phase += 50) {
      CAPTURE(served, phase);
      FeedFleet fleet;
      fleet.StartAndSettle(8, seconds(5) + milliseconds(phase));
      if (fleet.Readers().count(served) != 0) {
        continue;
      }
      for (std::size_t i = 0; i < 8; ++i) {
        fleet.stalled.insert(i);
      }
      fleet.stalled.erase(served);
      fleet.Publish(2);
      fleet.timers.RunFor(milliseconds(2700));
      REQUIRE(fleet.CountAt(2) == 8);
    }
  }
}

TEST_CASE("A node without contact to peers reads the source itself", "[relay][partition]")
{
  FeedFleet fleet;
  fleet.StartAndSettle(8, seconds(5));
  const auto follower = std::find_if(
    fleet.feeds.begin(), fleet.feeds.end(), [](const auto& aFeed) { return !aFeed.second->reading; });
  fleet.disconnected.insert(FakeFleet::Address(follower->first));
  fleet.timers.RunFor(seconds(3));
  fleet.Publish(2);
  fleet.timers.RunFor(seconds(1));
  REQUIRE(follower->second->relay->Log().Revision() == 2);
}

TEST_CASE("When all readers stall undetected, a change reaches all nodes within 4 s", "[relay][store]")
{
  FeedFleet fleet;
  fleet.StartAndSettle(8, seconds(5));
  fleet.stalled = fleet.Readers();
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(4000));
  REQUIRE(fleet.CountAt(2) == 8);
}

} // namespace yp
