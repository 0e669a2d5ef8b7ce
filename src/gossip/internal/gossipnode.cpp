#include "gossip/gossip.h"
#include "gossip/internal/gossipmessages.h"
#include "gossip/internal/gossiptable.h"
#include <algorithm>
#include <map>

namespace yp {

namespace {

constexpr std::size_t kRecordsPerMessage = 10; // about 1 KB, which fits into a datagram on any network
constexpr Duration kSyncInterval = std::chrono::seconds(1);
constexpr std::size_t kBurstProbes = 16; // about 2 KB of messages
constexpr Duration kUnsettledSyncInterval = std::chrono::milliseconds(200);
constexpr Duration kUnsettledTime = std::chrono::seconds(2);
constexpr Duration kStartInterval = std::chrono::milliseconds(100); // until the first message is received
// Interval, in rounds, of probes to nodes that are marked down. They let both sides of a network partition
// find each other after it ends.
constexpr std::uint64_t kDownProbeRounds = 5;

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
    this->RequestFromSeeds();
  }

  void SetOwnState(PeerState aState) override
  {
    if (this->table.Own().state == aState) {
      return;
    }
    this->table.SetOwnState(aState);
    this->NotifySome({});
  }

  void SetSourceUnreachable(bool aUnreachable) override { this->table.SetSourceUnreachable(aUnreachable); }
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
    this->received = true;
    this->table.Merge(aMessage.sender);
    this->table.MarkReceived(aMessage.sender.host);
    if (this->onFeed && aMessage.feedRevision != 0) {
      this->onFeed(aMessage.sender, { aMessage.feedRevision, this->clock.Now() - aMessage.feedAge });
    }
    for (const PeerRecord& record : aMessage.records) {
      this->table.Merge(record);
    }
    switch (aMessage.kind) {
      case GossipKind::kProbe:
        this->Send(aFrom, GossipKind::kAck, aMessage.number, this->UpdatesFor(aMessage.sender.host));
        return;
      case GossipKind::kAck:
        this->OnAck(aFrom, aMessage);
        return;
      case GossipKind::kSyncRequest:
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
        now - this->lastSyncRequest >= (this->Unsettled() ? kUnsettledSyncInterval : kSyncInterval)) {
      this->lastSyncRequest = now;
      this->Send(aFrom, GossipKind::kSyncRequest, 0, {});
    }
  }

  /// \return changed records to send to a host, and the host's own record if it is marked down, so that the
  ///   host can refute it
  std::vector<PeerRecord> UpdatesFor(const std::string& aHost)
  {
    std::vector<PeerRecord> updates = this->table.TakeUpdates(this->options.piggybackedRecords);
    const PeerRecord* record = this->table.Find(aHost);
    if (record != nullptr && record->state == PeerState::kDown) {
      updates.push_back(*record);
    }
    return updates;
  }

  void SendDifference(const Endpoint& aTo, const std::vector<std::uint64_t>& aHashes)
  {
    const std::vector<PeerRecord> all = this->table.Difference(aHashes);
    for (std::size_t at = 0; at < all.size(); at += kRecordsPerMessage) {
      const auto first = all.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
        all.begin() + static_cast<std::ptrdiff_t>(std::min(all.size(), at + kRecordsPerMessage));
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
    if (aKind == GossipKind::kSyncRequest && this->received) {
      message.bucketHashes = this->table.BucketHashes();
    }
    this->datagrams.Send(aTo, EncodeGossip(message));
  }

  /// Sends this node's record and the given ones to some random nodes at once, which pass them on to the
  /// others.
  void NotifySome(const std::vector<PeerRecord>& aRecords)
  {
    constexpr std::size_t kNotifiedNodes = 8;
    std::vector<const PeerRecord*> others = this->Others(false);
    for (std::size_t i = 0; i < kNotifiedNodes && !others.empty(); ++i) {
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
    const Duration usual = this->Unsettled() ? this->options.interval / 2 : this->options.interval;
    const Duration base = this->received ? usual : kStartInterval;
    const auto pause = std::chrono::duration_cast<Duration>(base * (0.85 + 0.3 * this->random.Real()));
    this->roundTimer = this->timers.At(this->clock.Now() + pause, [this] { this->Round(); });
    if (!this->received) {
      this->RequestFromSeeds();
    }
    const std::vector<const PeerRecord*> down = this->Others(true);
    if (this->round % kDownProbeRounds == 0 && !down.empty()) {
      const PeerRecord& target = *down[this->random.Below(down.size())];
      this->Send(target.peerEndpoint, GossipKind::kProbe, 0, this->UpdatesFor(target.host));
    }
    const std::string next = this->NextTarget();
    if (!next.empty()) {
      this->SendProbe(next, 0);
    }
  }

  /// \return whether a record changed recently, so that peers may have further changes
  bool Unsettled() const { return this->clock.Now() - this->table.ChangedAt() < kUnsettledTime; }

  void RequestFromSeeds()
  {
    for (const Endpoint& seed : this->options.seeds) {
      if (seed != this->table.Own().peerEndpoint) {
        this->Send(seed, GossipKind::kSyncRequest, 0, {});
      }
    }
  }

  /// \return the next host to probe; all hosts are probed once in random order before the order is drawn
  ///   again
  std::string NextTarget()
  {
    for (int draw = 0; draw < 2; ++draw) {
      while (!this->probeOrder.empty()) {
        const std::string host = std::move(this->probeOrder.back());
        this->probeOrder.pop_back();
        const PeerRecord* record = this->table.Find(host);
        if (record != nullptr && record->state != PeerState::kDown) {
          return host;
        }
      }
      for (const PeerRecord* record : this->Others(false)) {
        const auto at = static_cast<std::ptrdiff_t>(this->random.Below(this->probeOrder.size() + 1));
        this->probeOrder.insert(this->probeOrder.begin() + at, record->host);
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
    const TimerId timer = this->timers.At(due, [this, number, due] { this->OnProbeTimeout(number, due); });
    this->probes.emplace(number, Probe{ aHost, aAttempt + 1, timer });
    this->Send(record->peerEndpoint, GossipKind::kProbe, number, this->UpdatesFor(aHost));
  }

  void OnProbeTimeout(std::uint64_t aNumber, TimePoint aDue)
  {
    const auto found = this->probes.find(aNumber);
    if (found == this->probes.end()) {
      return;
    }
    const Probe probe = found->second;
    this->probes.erase(found);
    // The process was not scheduled for a while, so the acknowledgement may be in the socket buffer, not read
    // yet.
    const bool delayed = this->clock.Now() - aDue > this->options.answerTimeout;
    if (!delayed) {
      this->table.MarkSuspected(probe.host);
      this->ProbeSilentHosts();
    }
    if (delayed || probe.attempt < this->options.probesToDown) {
      this->SendProbe(probe.host, delayed ? 0 : probe.attempt);
      return;
    }
    this->table.MarkDown(probe.host);
    const PeerRecord* record = this->table.Find(probe.host);
    if (record != nullptr) {
      this->NotifySome({ *record });
    }
  }

  /// Probes hosts from which no message was received lately. Hosts often fail together, for example by a
  /// power failure, so one unanswered probe is a reason to probe others at once.
  void ProbeSilentHosts()
  {
    const TimePoint now = this->clock.Now();
    if (now - this->lastBurst < this->options.interval) {
      return;
    }
    this->lastBurst = now;
    std::vector<std::string> silent;
    for (const PeerRecord* record : this->Others(false)) {
      if (now - this->table.LastReceived(record->host) > this->options.answerTimeout && !record->suspected) {
        silent.push_back(record->host);
      }
    }
    for (std::size_t i = 0; i < kBurstProbes && !silent.empty(); ++i) {
      const std::size_t chosen = this->random.Below(silent.size());
      this->SendProbe(silent[chosen], 0);
      silent.erase(silent.begin() + static_cast<std::ptrdiff_t>(chosen));
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
  std::vector<std::string> probeOrder;
  std::uint64_t lastProbe = 0;
  std::uint64_t round = 0;
  TimePoint lastSyncRequest;
  TimePoint lastBurst;
  TimerId roundTimer = 0;
  bool received = false;
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
