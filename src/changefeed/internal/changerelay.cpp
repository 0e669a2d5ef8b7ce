#include "changefeed/changefeed.h"
#include <algorithm>

namespace yp {

namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);
// Peers answer the first question for other nodes within this time after the start.
constexpr Duration kFirstDecision = std::chrono::milliseconds(100);
// Without a confirmation for this long a node reads by itself. A reader confirms at least each second, and it
// takes two steps of half a second to reach every node.
constexpr Duration kStale = std::chrono::milliseconds(2200);
// Readers by need do not all begin at the same moment.
constexpr Duration kStaleSpread = std::chrono::milliseconds(400);

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
    , patience(kStale + std::chrono::duration_cast<Duration>(kStaleSpread * aParts.random.Real()))
  {
  }

  ~ChangeRelay() override { this->timers.Cancel(this->timer); }

  void Start() override
  {
    this->confirmed = this->clock.Now();
    this->timer = this->timers.At(this->clock.Now() + kFirstDecision, [this] { this->Tick(); });
  }

  void OnRead(const ChangeBatch& aBatch) override
  {
    const bool news = this->Take(aBatch);
    this->Confirm(this->clock.Now());
    if (news) {
      this->Tell();
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
      this->Confirm(aPosition.confirmed);
    }
  }

  ChangeBatch Since(std::uint64_t aRevision) const override { return this->log.Since(aRevision); }
  const ChangeLog& Log() const override { return this->log; }
  bool Reading() const override { return this->reading; }

private:
  bool Take(const ChangeBatch& aBatch)
  {
    const std::uint64_t before = this->log.Revision();
    const ChangeBatch fresh = this->log.Apply(aBatch);
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

  void Tell()
  {
    for (const PeerRecord* told : ChoosePeersToNotify(this->gossip.Peers(), this->reading)) {
      this->gossip.Notify(*told);
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
                       const bool news = this->Take(*aBatch);
                       if (this->log.Revision() >= aBatch->upTo) {
                         this->Confirm(confirmed);
                       }
                       if (news) {
                         this->Tell();
                       }
                     });
  }

  void Tick()
  {
    const TimePoint now = this->clock.Now();
    const std::vector<std::string> readers = ChooseReaders(this->gossip.Peers());
    const std::string& own = this->gossip.Own().host;
    const bool chosen = std::find(readers.begin(), readers.end(), own) != readers.end();
    const bool stale = now - this->confirmed > this->patience;
    // A reader by need goes on for a while, so that it does not begin and end with each late confirmation.
    this->needUntil = stale ? now + kNeedTime : this->needUntil;
    this->SetReading(chosen || now < this->needUntil);
    this->Tell();
    this->timer = this->timers.At(now + kInterval, [this] { this->Tick(); });
  }

  void SetReading(bool aReading)
  {
    if (this->reading == aReading) {
      return;
    }
    this->reading = aReading;
    LogEvent(LogLevel::kInfo,
             aReading ? "source_reading_begins" : "source_reading_ends",
             { { "revision", this->log.Revision() } });
    if (aReading) {
      this->reader.Begin(this->log.Revision());
    } else {
      this->reader.End();
    }
  }

  static constexpr Duration kNeedTime = std::chrono::seconds(3);

  IChangeReader& reader;
  IChangePeer& peer;
  IGossipNode& gossip;
  ITimers& timers;
  const IClock& clock;
  const ChangeSink sink;
  const Duration patience;
  ChangeLog log;
  TimePoint confirmed;
  TimePoint needUntil;
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
