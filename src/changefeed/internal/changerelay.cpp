#include "changefeed/changefeed.h"
#include <algorithm>

namespace yp {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(500);
// After the start, seeds answer the first request for peer records within this time.
constexpr Duration kFirstDecisionDelay = std::chrono::milliseconds(100);
// A node whose revision was not confirmed for this time reads the source itself. A reader confirms at least
// once a second, and the confirmation reaches all nodes in two steps of 0.5 s.
constexpr Duration kStaleAfter = std::chrono::milliseconds(2200);
// Random addition, so that not all nodes without a confirmation start to read at the same time.
constexpr Duration kStaleJitter = std::chrono::milliseconds(400);

class ChangeRelay final : public IChangeRelay
{
public:
  explicit ChangeRelay(const ChangeRelayParts& aParts)
    : reader(aParts.reader)
    , peer(aParts.peer)
    , gossip(aParts.gossip)
    , timers(aParts.timers)
    , clock(aParts.clock)
    , sink(aParts.sink)
    , staleAfter(kStaleAfter + std::chrono::duration_cast<Duration>(kStaleJitter * aParts.random.Real()))
  {
  }

  ~ChangeRelay() override { this->timers.Cancel(this->timer); }

  void Start() override
  {
    this->confirmed = this->clock.Now();
    this->timer = this->timers.At(this->clock.Now() + kFirstDecisionDelay, [this] { this->Tick(); });
  }

  void OnRead(const ChangeBatch& aBatch) override
  {
    const bool updated = this->Apply(aBatch);
    this->Confirm(this->clock.Now());
    if (updated) {
      this->NotifyPeers();
    }
  }

  void SetSourceReachable(bool aReachable) override { this->gossip.SetSourceUnreachable(!aReachable); }

  void OnPeerFeedPosition(const PeerRecord& aPeer, const FeedPosition& aPosition) override
  {
    if (aPosition.revision > this->log.Revision()) {
      this->Fetch(aPeer, aPosition);
      return;
    }
    if (aPosition.revision == this->log.Revision()) {
      this->ConfirmByPeer(aPosition.confirmed);
    }
  }

  ChangeBatch Since(std::uint64_t aRevision) const override { return this->log.Since(aRevision); }
  const ChangeLog& Log() const override { return this->log; }
  bool Reading() const override { return this->reading; }
  Duration ConfirmedAge() const override { return this->clock.Now() - this->confirmed; }

private:
  bool Apply(const ChangeBatch& aBatch)
  {
    const std::uint64_t before = this->log.Revision();
    const ChangeBatch fresh = this->log.Apply(aBatch);
    if (before != 0 && EraOf(this->log.Revision()) != EraOf(before)) {
      LogEvent(LogLevel::kWarning,
               "source_era_changed",
               { { "era", EraOf(this->log.Revision()) },
                 { "previous", EraOf(before) },
                 { "revision", PositionText(this->log.Revision()) },
                 { "known", PositionText(before) },
                 { "changes", fresh.changes.size() } });
    }
    if (!fresh.changes.empty()) {
      this->sink(fresh);
    }
    return this->log.Revision() > before;
  }

  void Confirm(TimePoint aWhen)
  {
    this->confirmed = std::max(this->confirmed, aWhen);
    this->gossip.SetFeedPosition({ this->log.Revision(), this->confirmed });
  }

  void ConfirmByPeer(TimePoint aWhen)
  {
    this->reader.OnReadElsewhere(aWhen);
    this->Confirm(aWhen);
  }

  void NotifyPeers()
  {
    for (const PeerRecord* peerToNotify : ChoosePeersToNotify(this->gossip.Peers(), this->reading)) {
      this->gossip.Notify(*peerToNotify);
    }
  }

  void Fetch(const PeerRecord& aPeer, const FeedPosition& aPosition)
  {
    if (this->fetching) {
      return;
    }
    this->fetching = true;
    this->peer.Fetch(aPeer,
                     this->log.Revision(),
                     [this, confirmed = aPosition.confirmed](const std::optional<ChangeBatch>& aBatch) {
                       this->fetching = false;
                       if (!aBatch) {
                         return;
                       }
                       const bool updated = this->Apply(*aBatch);
                       if (this->log.Revision() >= aBatch->upTo) {
                         this->ConfirmByPeer(confirmed);
                       }
                       if (updated) {
                         this->NotifyPeers();
                       }
                     });
  }

  void Tick()
  {
    const TimePoint now = this->clock.Now();
    const TimePoint staleAt = this->confirmed + this->staleAfter;
    const TimePoint next = now + kTickInterval;
    this->timer = this->timers.At(staleAt > now ? std::min(staleAt, next) : next, [this] { this->Tick(); });
    const std::vector<std::string> readers = ChooseReaders(this->gossip.Peers());
    const std::string& own = this->gossip.Own().host;
    const bool chosen = std::find(readers.begin(), readers.end(), own) != readers.end();
    const bool stale = now >= staleAt;
    // A node that reads because of a missing confirmation continues for a while, so that late confirmations
    // do not start and stop its reader each time.
    this->fallbackUntil = stale ? now + kFallbackReadTime : this->fallbackUntil;
    // Peers leave out a node that cannot reach the source. Without further attempts it would never read
    // again.
    const bool retries = this->reading && this->gossip.Own().sourceUnreachable;
    this->SetReading(chosen || retries || now < this->fallbackUntil);
    this->NotifyPeers();
  }

  void SetReading(bool aReading)
  {
    if (this->reading == aReading) {
      return;
    }
    this->reading = aReading;
    LogEvent(LogLevel::kInfo,
             aReading ? "source_reading_begins" : "source_reading_ends",
             { { "revision", PositionText(this->log.Revision()) } });
    if (aReading) {
      this->reader.Begin(this->log.Revision());
    } else {
      this->reader.End();
    }
  }

  static constexpr Duration kFallbackReadTime = std::chrono::seconds(3);

  IChangeReader& reader;
  IChangePeer& peer;
  IGossipNode& gossip;
  ITimers& timers;
  const IClock& clock;
  const ChangeSink sink;
  const Duration staleAfter;
  ChangeLog log;
  TimePoint confirmed;
  TimePoint fallbackUntil;
  TimerId timer = 0;
  bool reading = false;
  bool fetching = false;
};

} // namespace

std::unique_ptr<IChangeRelay>
MakeChangeRelay(const ChangeRelayParts& aParts)
{
  return std::make_unique<ChangeRelay>(aParts);
}

} // namespace yp
