#include "gossip/gossip.h"
#include "gossip/internal/gossipmessages.h"
#include "gossip/internal/gossiptable.h"
#include <algorithm>
#include <map>

namespace yp {

namespace {

constexpr std::size_t kRecordsAMessage = 10; // about 1 KB, which fits in a datagram everywhere
constexpr Duration kAskPause = std::chrono::seconds(1);
constexpr std::size_t kBurstProbes = 16; // about 2 KB
constexpr Duration kUnsettledAskPause = std::chrono::milliseconds(200);
constexpr Duration kUnsettledTime = std::chrono::seconds(2);
constexpr Duration kStartInterval = std::chrono::milliseconds(100); // until the first peer answers
// Every so many probes go to a node that is believed down, so that both halves of a healed cut find each
// other.
constexpr std::uint64_t kDownProbeEvery = 5;

class GossipNode final : public IGossipNode
{
public:
  GossipNode(PeerRecord aOwn,
             const GossipOptions& aOptions,
             IDatagramSender& aDatagrams,
             ITimers& aTimers,
             const IClock& aClock,
             IRandom& aRandom)
    : options(aOptions)
    , datagrams(aDatagrams)
    , timers(aTimers)
    , clock(aClock)
    , random(aRandom)
    , table(std::move(aOwn), aClock)
  {
  }

  ~GossipNode() override
  {
    this->timers.Cancel(this->roundTimer);
    for (const auto& [number, probe] : this->probes) {
      this->timers.Cancel(probe.timer);
    }
  }

  void Start() override { this->Round(); }

  void SetSeeds(std::vector<Endpoint> aSeeds) override
  {
    this->options.seeds = std::move(aSeeds);
    this->AskSeeds();
  }

  void SetOwnState(PeerState aState) override
  {
    if (this->table.Own().state == aState) {
      return;
    }
    this->table.SetOwnState(aState);
    this->TellSome({});
  }

  void SetSourceUnreachable(bool aAway) override { this->table.SetSourceUnreachable(aAway); }
  void SetFeedPosition(const FeedPosition& aPosition) override { this->feed = aPosition; }

  void OnFeedPosition(std::function<void(const PeerRecord&, const FeedPosition&)> aHandler) override
  {
    this->onFeed = std::move(aHandler);
  }

  void Notify(const PeerRecord& aPeer) override
  {
    this->Send(aPeer.peerEndpoint, GossipKind::kRecords, 0, {});
  }

  void OnDatagram(const Endpoint& aFrom, const std::string& aBytes) override
  {
    Recover(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(message, DecodeGossip(aBytes));
        this->OnMessage(aFrom, message);
        return {};
      },
      [&aFrom](const Error& aError) {
        LogEvent(LogLevel::kWarning,
                 "gossip_malformed",
                 { { "peer", ToString(aFrom) }, { "detail", aError.detail } });
      });
  }

  const std::vector<PeerRecord>& Peers() const override { return this->table.Records(); }
  const PeerRecord& Own() const override { return this->table.Own(); }
  std::size_t FleetSize() const override { return this->table.FleetSize(); }

private:
  struct Probe
  {
    std::string host;
    std::uint32_t attempt = 0;
    TimerId timer = 0;
  };

  void OnMessage(const Endpoint& aFrom, const GossipMessage& aMessage)
  {
    if (aMessage.sender.host == this->table.Own().host) {
      return;
    }
    this->heard = true;
    this->table.Merge(aMessage.sender);
    this->table.MarkHeard(aMessage.sender.host);
    if (this->onFeed && aMessage.feedRevision != 0) {
      this->onFeed(aMessage.sender, { aMessage.feedRevision, this->clock.Now() - aMessage.feedAge });
    }
    for (const PeerRecord& record : aMessage.records) {
      this->table.Merge(record);
    }
    switch (aMessage.kind) {
      case GossipKind::kProbe:
        this->Send(aFrom, GossipKind::kAck, aMessage.number, this->NewsFor(aMessage.sender.host));
        return;
      case GossipKind::kAck:
        this->OnAck(aFrom, aMessage);
        return;
      case GossipKind::kAsk:
        this->SendDifference(aFrom, aMessage.bucketHashes);
        return;
      case GossipKind::kRecords:
        return;
    }
  }

  void OnAck(const Endpoint& aFrom, const GossipMessage& aMessage)
  {
    const auto found = this->probes.find(aMessage.number);
    if (found != this->probes.end()) {
      this->timers.Cancel(found->second.timer);
      this->probes.erase(found);
    }
    const TimePoint now = this->clock.Now();
    if (aMessage.hash != this->table.Hash() &&
        now - this->askedAt >= (this->Unsettled() ? kUnsettledAskPause : kAskPause)) {
      this->askedAt = now;
      this->Send(aFrom, GossipKind::kAsk, 0, {});
    }
  }

  /// A node that is believed down has to hear of it to refute it.
  std::vector<PeerRecord> NewsFor(const std::string& aHost)
  {
    std::vector<PeerRecord> news = this->table.TakeNews(this->options.piggybackedRecords);
    const PeerRecord* record = this->table.Find(aHost);
    if (record != nullptr && record->state == PeerState::kDown) {
      news.push_back(*record);
    }
    return news;
  }

  void SendDifference(const Endpoint& aTo, const std::vector<std::uint64_t>& aHashes)
  {
    const std::vector<PeerRecord> all = this->table.Difference(aHashes);
    for (std::size_t at = 0; at < all.size(); at += kRecordsAMessage) {
      const auto first = all.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
        all.begin() + static_cast<std::ptrdiff_t>(std::min(all.size(), at + kRecordsAMessage));
      this->Send(aTo, GossipKind::kRecords, 0, { first, last });
    }
  }

  void Send(const Endpoint& aTo, GossipKind aKind, std::uint64_t aNumber, std::vector<PeerRecord> aRecords)
  {
    GossipMessage message;
    message.kind = aKind;
    message.number = aNumber;
    message.hash = this->table.Hash();
    message.feedRevision = this->feed.revision;
    message.feedAge =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.Now() - this->feed.confirmed);
    message.sender = this->table.Own();
    message.records = std::move(aRecords);
    if (aKind == GossipKind::kAsk && this->heard) {
      message.bucketHashes = this->table.BucketHashes();
    }
    this->datagrams.Send(aTo, EncodeGossip(message));
  }

  /// Tells some others at once of this node and the given records; the rest hear it from them.
  void TellSome(const std::vector<PeerRecord>& aRecords)
  {
    constexpr std::size_t kTold = 8;
    std::vector<const PeerRecord*> others = this->Others(false);
    for (std::size_t i = 0; i < kTold && !others.empty(); ++i) {
      const std::size_t chosen = this->random.Below(others.size());
      this->Send(others[chosen]->peerEndpoint, GossipKind::kRecords, 0, aRecords);
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
  }

  std::vector<const PeerRecord*> Others(bool aDown) const
  {
    std::vector<const PeerRecord*> others;
    for (const PeerRecord& record : this->table.Records()) {
      if (record.host != this->table.Own().host && (record.state == PeerState::kDown) == aDown) {
        others.push_back(&record);
      }
    }
    return others;
  }

  void Round()
  {
    ++this->round;
    if (!this->heard) {
      this->AskSeeds();
    }
    const std::vector<const PeerRecord*> down = this->Others(true);
    if (this->round % kDownProbeEvery == 0 && !down.empty()) {
      const PeerRecord& target = *down[this->random.Below(down.size())];
      this->Send(target.peerEndpoint, GossipKind::kProbe, 0, this->NewsFor(target.host));
    }
    const std::string next = this->NextTarget();
    if (!next.empty()) {
      this->SendProbe(next, 0);
    }
    const Duration usual = this->Unsettled() ? this->options.interval / 2 : this->options.interval;
    const Duration base = this->heard ? usual : kStartInterval;
    const auto pause = std::chrono::duration_cast<Duration>(base * (0.85 + 0.3 * this->random.Real()));
    this->roundTimer = this->timers.At(this->clock.Now() + pause, [this] { this->Round(); });
  }

  /// \return whether nodes came or went a short while ago, so that others may know more
  bool Unsettled() const { return this->clock.Now() - this->table.ChangedAt() < kUnsettledTime; }

  void AskSeeds()
  {
    for (const Endpoint& seed : this->options.seeds) {
      if (seed != this->table.Own().peerEndpoint) {
        this->Send(seed, GossipKind::kAsk, 0, {});
      }
    }
  }

  /// Probes all nodes in turn, in an order that is drawn anew each time.
  std::string NextTarget()
  {
    for (int draw = 0; draw < 2; ++draw) {
      while (!this->turn.empty()) {
        const std::string host = std::move(this->turn.back());
        this->turn.pop_back();
        const PeerRecord* record = this->table.Find(host);
        if (record != nullptr && record->state != PeerState::kDown) {
          return host;
        }
      }
      for (const PeerRecord* record : this->Others(false)) {
        const auto at = static_cast<std::ptrdiff_t>(this->random.Below(this->turn.size() + 1));
        this->turn.insert(this->turn.begin() + at, record->host);
      }
    }
    return {};
  }

  void SendProbe(const std::string& aHost, std::uint32_t aAttempt)
  {
    const PeerRecord* record = this->table.Find(aHost);
    if (record == nullptr) {
      return;
    }
    const std::uint64_t number = ++this->lastProbe;
    const TimePoint due = this->clock.Now() + this->options.answerTimeout;
    const TimerId timer = this->timers.At(due, [this, number, due] { this->OnNoAnswer(number, due); });
    this->probes.emplace(number, Probe{ aHost, aAttempt + 1, timer });
    this->Send(record->peerEndpoint, GossipKind::kProbe, number, this->NewsFor(aHost));
  }

  void OnNoAnswer(std::uint64_t aNumber, TimePoint aDue)
  {
    const auto found = this->probes.find(aNumber);
    if (found == this->probes.end()) {
      return;
    }
    const Probe probe = found->second;
    this->probes.erase(found);
    // This process was not run for a while; the answer may lie unread.
    const bool delayed = this->clock.Now() - aDue > this->options.answerTimeout;
    if (!delayed) {
      this->table.MarkSuspected(probe.host);
      this->ProbeUnheard();
    }
    if (delayed || probe.attempt < this->options.probesToDown) {
      this->SendProbe(probe.host, delayed ? 0 : probe.attempt);
      return;
    }
    this->table.MarkDown(probe.host);
    const PeerRecord* record = this->table.Find(probe.host);
    if (record != nullptr) {
      this->TellSome({ *record });
    }
  }

  /// Hosts are often lost together, so one that does not answer is a reason to ask the others too.
  void ProbeUnheard()
  {
    const TimePoint now = this->clock.Now();
    if (now - this->burstAt < this->options.interval) {
      return;
    }
    this->burstAt = now;
    std::vector<std::string> unheard;
    for (const PeerRecord* record : this->Others(false)) {
      if (now - this->table.HeardAt(record->host) > this->options.answerTimeout && !record->suspected) {
        unheard.push_back(record->host);
      }
    }
    for (std::size_t i = 0; i < kBurstProbes && !unheard.empty(); ++i) {
      const std::size_t chosen = this->random.Below(unheard.size());
      this->SendProbe(unheard[chosen], 0);
      unheard.erase(unheard.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
  }

  GossipOptions options;
  IDatagramSender& datagrams;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
  GossipTable table;
  FeedPosition feed;
  std::function<void(const PeerRecord&, const FeedPosition&)> onFeed;
  std::map<std::uint64_t, Probe> probes;
  std::vector<std::string> turn;
  std::uint64_t lastProbe = 0;
  std::uint64_t round = 0;
  TimePoint askedAt;
  TimePoint burstAt;
  TimerId roundTimer = 0;
  bool heard = false;
};

} // namespace

std::unique_ptr<IGossipNode>
MakeGossipNode(PeerRecord aOwn,
               const GossipOptions& aOptions,
               IDatagramSender& aDatagrams,
               ITimers& aTimers,
               const IClock& aClock,
               IRandom& aRandom)
{
  return std::make_unique<GossipNode>(std::move(aOwn), aOptions, aDatagrams, aTimers, aClock, aRandom);
}

} // namespace yp
