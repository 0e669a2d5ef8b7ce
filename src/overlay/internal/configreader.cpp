#include "overlay/internal/configreader.h"
#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <deque>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxCallsPerSecond = 5;
// Digests carry freshness with a delay of some seconds, so watches must end well before rank 2 takes over
// at 6 s.
constexpr milliseconds kWatchTime{ 1000 };
constexpr seconds kCautiousInterval{ 5 };
constexpr std::uint64_t kCautiousDelayMs = 10000;
constexpr milliseconds kFirstBackoff{ 250 };
// Five ranks in 13 domains retry a service that is down with about 65 calls a second, far below its limit.
constexpr milliseconds kLongestBackoff{ 2000 };
// The client has its own timeouts; this one covers an answer that never comes.
constexpr seconds kCallTimeout{ 10 };

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct Activated
{};
struct Deactivated
{};
struct Behind
{};
struct CaughtUp
{};
struct Failed
{};
struct RetryDue
{};

struct ReaderMachineDef : public msm::front::state_machine_def<ReaderMachineDef>
{
  struct Idle : public msm::front::state<>
  {};
  struct Watching : public msm::front::state<>
  {};
  struct Reading : public msm::front::state<>
  {};
  struct Backoff : public msm::front::state<>
  {};

  using initial_state = Idle; // NOLINT(readability-identifier-naming)

  template<class Source, class Event, class Target>
  using Row = msm::front::Row<Source, Event, Target>;

  // clang-format off
  struct transition_table : mpl::vector< // NOLINT(readability-identifier-naming)
    Row<Idle,     Activated,   Watching>,
    Row<Watching, Behind,      Reading>,
    Row<Watching, Failed,      Backoff>,
    Row<Watching, Deactivated, Idle>,
    Row<Reading,  CaughtUp,    Watching>,
    Row<Reading,  Failed,      Backoff>,
    Row<Reading,  Deactivated, Idle>,
    Row<Backoff,  RetryDue,    Watching>,
    Row<Backoff,  Deactivated, Idle>> {};
  // clang-format on

  template<class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int)
  {
  }
};

using ReaderMachine = msm::back::state_machine<ReaderMachineDef>;

class ConfigReader final : public IConfigReader
{
public:
  explicit ConfigReader(ConfigReaderOptions aOptions)
    : options(std::move(aOptions))
    , alive(std::make_shared<int>(0))
  {
    this->machine.start();
  }

  void Tick(ReadMode aMode, bool aDeferRead) override
  {
    this->SetMode(aMode);
    this->deferRead = aDeferRead;
    if (this->inFlight && this->options.clock.Now() >= this->callDeadline) {
      ++this->generation;
      this->inFlight = false;
      this->OnFailure();
    }
    this->Continue();
  }

  ConfigReaderStatus Status() const override
  {
    ConfigReaderStatus result = this->status;
    result.state = this->State();
    return result;
  }

private:
  ConfigReaderState State() const { return static_cast<ConfigReaderState>(this->machine.current_state()[0]); }

  void SetMode(ReadMode aMode)
  {
    if (aMode == ReadMode::kCautious && this->mode != ReadMode::kCautious) {
      this->cautiousFrom =
        this->options.clock.Now() + milliseconds(this->options.random.Below(kCautiousDelayMs));
    }
    this->mode = aMode;
    if (aMode == ReadMode::kOff) {
      this->machine.process_event(Deactivated{});
    } else {
      this->machine.process_event(Activated{});
    }
  }

  void Continue()
  {
    if (this->State() == ConfigReaderState::kBackoff && this->options.clock.Now() >= this->retryAt) {
      this->machine.process_event(RetryDue{});
    }
    if (this->inFlight) {
      return;
    }
    if (this->State() == ConfigReaderState::kWatching) {
      this->Watch();
    } else if (this->State() == ConfigReaderState::kReading) {
      this->ReadNext();
    }
  }

  /// Takes one call from the limits.
  bool Allow()
  {
    const TimePoint now = this->options.clock.Now();
    while (!this->recentCalls.empty() && now - this->recentCalls.front() >= seconds(1)) {
      this->recentCalls.pop_front();
    }
    if (this->recentCalls.size() >= kMaxCallsPerSecond) {
      return false;
    }
    if (this->mode == ReadMode::kCautious) {
      if (now < this->cautiousFrom) {
        return false;
      }
      this->cautiousFrom = now + kCautiousInterval;
    }
    this->recentCalls.push_back(now);
    YP_INVARIANT(this->recentCalls.size() <= kMaxCallsPerSecond, "service_calls_bounded", "");
    ++this->status.calls;
    this->inFlight = true;
    this->callStarted = now;
    this->callDeadline = now + kCallTimeout;
    return true;
  }

  /// Wraps a handler so that answers to abandoned calls are dropped.
  template<class Answer, class Handler>
  auto Guard(Handler aHandler)
  {
    const std::weak_ptr<int> weak = this->alive;
    const std::uint64_t expected = ++this->generation;
    return [this, weak, expected, aHandler](Answer aAnswer) {
      if (weak.expired() || expected != this->generation) {
        return;
      }
      this->inFlight = false;
      aHandler(aAnswer);
      this->Continue();
    };
  }

  void Watch()
  {
    if (!this->Allow()) {
      return;
    }
    const TicketNumber known = this->options.store.Highest();
    const bool complete = this->options.store.InForce() == known;
    // With a gap the head is needed at once, to fetch what is missing.
    const milliseconds wait = complete && this->mode == ReadMode::kFull ? kWatchTime : milliseconds(0);
    using Answer = std::variant<TicketNumber, Error>;
    this->options.service.Watch(known, wait, this->Guard<Answer>([this, known](const Answer& aAnswer) {
      const auto* head = std::get_if<TicketNumber>(&aAnswer);
      if (head == nullptr) {
        this->OnFailure();
        return;
      }
      this->OnHead(*head, known);
    }));
  }

  void OnHead(TicketNumber aHead, TicketNumber aKnownBefore)
  {
    // Tickets that arrived during the call do not make the service stale; those known before it do.
    this->status.stale = aHead < aKnownBefore;
    if (this->status.stale) {
      this->OnFailure();
      return;
    }
    this->backoff = kFirstBackoff;
    this->head = aHead;
    this->options.store.NoteHighest(aHead);
    this->options.onContact(aHead, this->callStarted);
    if (this->options.store.InForce() < aHead) {
      this->machine.process_event(Behind{});
    }
  }

  void ReadNext()
  {
    const std::vector<TicketRange> missing = this->options.store.Missing(1);
    if (missing.empty() || missing.front().first > this->head) {
      this->machine.process_event(CaughtUp{});
      return;
    }
    if (this->deferRead || !this->Allow()) {
      return;
    }
    const TicketRange range{ missing.front().first, std::min(missing.front().last, this->head) };
    using Answer = std::variant<IConfigService::Bodies, Error>;
    this->options.service.Read(range.first, range.last, this->Guard<Answer>([this](const Answer& aAnswer) {
      const auto* bodies = std::get_if<IConfigService::Bodies>(&aAnswer);
      if (bodies == nullptr || bodies->empty()) {
        this->OnFailure();
        return;
      }
      this->options.onBodies(*bodies);
    }));
  }

  void OnFailure()
  {
    ++this->status.failures;
    const double jitter = 0.5 + this->options.random.Real() / 2;
    const auto delay = std::chrono::duration_cast<milliseconds>(this->backoff * jitter);
    this->retryAt = this->options.clock.Now() + delay;
    this->backoff = std::min(this->backoff * 2, kLongestBackoff);
    this->machine.process_event(Failed{});
  }

  ConfigReaderOptions options;
  ReaderMachine machine;
  std::shared_ptr<int> alive; ///< expires with this object, for answers that come later
  ConfigReaderStatus status;
  ReadMode mode = ReadMode::kOff;
  bool deferRead = false;
  bool inFlight = false;
  std::uint64_t generation = 0;
  TimePoint callStarted;
  TimePoint callDeadline;
  TimePoint retryAt;
  TimePoint cautiousFrom;
  milliseconds backoff = kFirstBackoff;
  std::deque<TimePoint> recentCalls;
  TicketNumber head = 0;
};

} // namespace

const char*
ToString(ConfigReaderState aState)
{
  switch (aState) {
    case ConfigReaderState::kIdle:
      return "idle";
    case ConfigReaderState::kWatching:
      return "watching";
    case ConfigReaderState::kReading:
      return "reading";
    case ConfigReaderState::kBackoff:
      return "backoff";
  }
  return "unknown";
}

std::unique_ptr<IConfigReader>
MakeConfigReader(ConfigReaderOptions aOptions)
{
  return std::make_unique<ConfigReader>(std::move(aOptions));
}

} // namespace yp
