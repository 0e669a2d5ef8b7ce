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

/// A source that readers see at once, and nodes that fetch from each other.
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
      ++this->fleet.begun;
      this->reading = true;
      this->Poll();
    }

    void End() override { this->reading = false; }

    void Poll()
    {
      if (!this->reading) {
        return;
      }
      ++this->fleet.reads;
      if (this->fleet.stuck.count(this->index) != 0) {
        return;
      }
      if (this->fleet.away.count(this->index) != 0) {
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

  /// Starts nodes that know a first change and have agreed on who reads.
  void StartSettled(std::size_t aCount, Duration aTime)
  {
    this->Publish(1);
    this->StartFeeds(aCount);
    this->timers.RunFor(aTime);
  }

  /// \return the nodes that read the source now
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
  std::set<std::size_t> away;  ///< nodes that the source turns away
  std::set<std::size_t> stuck; ///< nodes that wait for the source for ever and do not notice
  std::uint64_t begun = 0;
  std::uint64_t reads = 0;
  std::uint64_t fetches = 0;
};

} // namespace

TEST_CASE("Values never go back to an earlier revision", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 5) } });
  REQUIRE(log.Apply({ 0, 3, true, false, { Value("a", 2) } }).changes.empty());
  REQUIRE(log.Apply({ 5, 6, false, false, { Value("a", 4) } }).changes.empty());
  REQUIRE(log.Revision() == 6);
}

TEST_CASE("Changes after a gap are not taken", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 5) } });
  REQUIRE(log.Apply({ 8, 9, false, false, { Value("a", 9) } }).changes.empty());
  REQUIRE(log.Revision() == 5);
}

TEST_CASE("What a whole state does not hold is removed", "[changelog]")
{
  ChangeLog log;
  log.Apply({ 0, 5, true, false, { Value("a", 4), Value("b", 5) } });
  const ChangeBatch fresh = log.Apply({ 0, 9, true, true, { Value("a", 4) } });
  REQUIRE(fresh.changes.size() == 1);
  REQUIRE(fresh.changes[0].key == "b");
  REQUIRE(fresh.changes[0].removed);
  REQUIRE(fresh.changes[0].mayReturn);
}

TEST_CASE("A node that is far behind gets the whole state", "[changelog]")
{
  ChangeLog log;
  std::uint64_t revision = 0;
  for (int i = 0; i < 3000; ++i) {
    ++revision;
    log.Apply({ revision - 1, revision, false, false, { Value("a", revision) } });
  }
  REQUIRE(log.Since(1).complete);
  REQUIRE(log.Since(1).changes.size() == 1);
  REQUIRE_FALSE(log.Since(revision - 5).complete);
  REQUIRE(log.Since(revision - 5).changes.size() == 5);
}

TEST_CASE("A batch survives its encoding", "[changelog]")
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

// Guards against a reshard of a large deployment that costs each node its links' bandwidth.
TEST_CASE("A batch of 405 registrations is sent in a fifth of their size, and is whole again",
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
      BOOST_LEAF_AUTO(whole, DecodeBatch(bytes));
      return whole.changes.back().value == batch.changes.back().value ? whole.changes.size() : 0;
    },
    [](const Error&) { return std::size_t(0); });
  REQUIRE(decoded == 405);
}

// Guards against a peer whose bytes make a node take unbounded memory or end.
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

TEST_CASE("Three of eighty nodes read, and a change reaches all within a second and a half", "[relay][scale]")
{
  FeedFleet fleet;
  fleet.StartSettled(80, seconds(8));
  REQUIRE(fleet.Readers().size() == 3);
  REQUIRE(fleet.CountAt(1) == 80);
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(1500));
  REQUIRE(fleet.CountAt(2) == 80);
}

TEST_CASE("A change reaches all when a reader is killed at the same moment", "[relay]")
{
  FeedFleet fleet;
  fleet.StartSettled(8, seconds(5));
  const std::size_t killed = *fleet.Readers().begin();
  fleet.feeds.at(killed)->reading = false;
  fleet.cut.insert(FakeFleet::Address(killed));
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(2500));
  REQUIRE(fleet.CountAt(2) >= 7);
}

TEST_CASE("Nodes that the store turns away learn from the others", "[relay][store]")
{
  FeedFleet fleet;
  fleet.StartSettled(8, seconds(5));
  fleet.away = fleet.Readers();
  fleet.timers.RunFor(seconds(1));
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(2500));
  REQUIRE(fleet.CountAt(2) == 8);
}

TEST_CASE("A node that hears nobody reads by itself", "[relay][partition]")
{
  FeedFleet fleet;
  fleet.StartSettled(8, seconds(5));
  const auto follower = std::find_if(
    fleet.feeds.begin(), fleet.feeds.end(), [](const auto& aFeed) { return !aFeed.second->reading; });
  fleet.cut.insert(FakeFleet::Address(follower->first));
  fleet.timers.RunFor(seconds(3));
  fleet.Publish(2);
  fleet.timers.RunFor(seconds(1));
  REQUIRE(follower->second->relay->Log().Revision() == 2);
}

TEST_CASE("When the readers are stuck without a sign, others read in time for a configuration",
          "[relay][store]")
{
  FeedFleet fleet;
  fleet.StartSettled(8, seconds(5));
  fleet.stuck = fleet.Readers();
  fleet.Publish(2);
  fleet.timers.RunFor(milliseconds(4000));
  REQUIRE(fleet.CountAt(2) == 8);
}

} // namespace yp
