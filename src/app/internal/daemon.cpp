#include "app/internal/daemon.h"
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <pthread.h>
#include <sys/resource.h>

namespace yp {

namespace {

// A caller may have sent a request on a kept connection just before the drain began.
constexpr std::chrono::milliseconds kIdleGrace{ 500 };
constexpr std::chrono::milliseconds kDrainCheck{ 50 };
// Time for the last announcement to be written to the peers.
constexpr std::chrono::milliseconds kFarewell{ 200 };

Duration
ProcessorTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/// Blocks the stop signals in the calling thread until the process exits. When a signal set is destroyed, the
/// default action returns, and a repeated stop request would end the process by a signal.
void
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

Daemon::Daemon(DaemonSettings aSettings)
  : node(std::move(aSettings))
  , control(std::make_unique<ControlPlane>(this->node))
{
}

Daemon::~Daemon()
{
  this->StopThreads();
  // Closing a caller's connection abandons its lookup, which needs the engine and the pools.
  for (const auto& thread : this->threads) {
    thread->CloseCallers();
  }
  // Calls to peers and functions queued for the control thread hold responses to callers and administrators.
  // A response that is released posts to the event loop of its connection, so these loops end later.
  this->control.reset();
}

void
Daemon::StopThreads()
{
  // The control thread uses the pools and the request threads, and these use the forwarder, so all threads
  // end before any of these is destroyed.
  if (this->admin) {
    this->admin->Stop();
  }
  this->control->Stop();
  for (const auto& thread : this->threads) {
    thread->Stop();
  }
}

Result<void>
Daemon::Open()
{
  BOOST_LEAF_CHECK(this->control->Open());
  std::vector<boost::asio::io_context*> contexts;
  for (std::size_t i = 0; i < this->node.settings.requestThreads; ++i) {
    this->threads.push_back(std::make_unique<RequestThread>(this->node));
    contexts.push_back(&this->threads.back()->Context());
  }
  LeafPoolSettings poolSettings;
  poolSettings.requestIdPrefix = Hash128Hex(ToString(this->node.incarnation)).substr(0, 12);
  poolSettings.seed = this->node.controlRandom.Next();
  this->pools = MakeLeafPools(contexts, this->node.clock, poolSettings);
  for (std::size_t i = 0; i < this->threads.size(); ++i) {
    BOOST_LEAF_CHECK(this->threads[i]->Open(this->pools->Transport(i), this->control->Forwarder()));
  }
  this->control->Attach(
    *this->pools, [this] { return this->Utilisation(); }, *this);
  ServeForwarded(
    this->control->Calls(),
    this->node.clock,
    this->node.entryStats,
    [this](std::function<void()> aFunction) { this->control->Post(std::move(aFunction)); },
    [this] {
      RequestThread& thread = *this->threads[this->nextThread++ % this->threads.size()];
      return std::make_pair(&thread.Service(), thread.Post());
    });
  this->metrics = std::make_unique<MetricsCollector>(this->node, *this->control, *this->pools);
  this->admin = std::make_unique<AdminApi>(this->node, *this->control, *this->metrics);
  return this->admin->Open();
}

Result<void>
Daemon::Run()
{
  BOOST_LEAF_CHECK(this->Open());
  boost::asio::signal_set signals(this->control->Context(), SIGTERM, SIGINT);
  signals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (!aError) {
      LogEvent(LogLevel::kInfo, "stop_requested", { { "signal", aSignal } });
      this->control->Life().StopRequested();
    }
  });
  LogEvent(LogLevel::kInfo,
           "started",
           { { "host", this->node.settings.host },
             { "failure_domain", this->node.settings.failureDomain },
             { "incarnation", ToString(this->node.incarnation) },
             { "caller", ToString(this->node.settings.caller) },
             { "peer", ToString(this->node.settings.peer) },
             { "admin", ToString(this->node.settings.admin) } });
  for (const auto& thread : this->threads) {
    thread->Start();
  }
  this->admin->Start();
  this->control->Start();
  this->control->Wait();
  LogEvent(LogLevel::kInfo, "stopped", { { "in_flight", this->InFlight() } });
  this->StopThreads();
  BlockStopSignals();
  return {};
}

void
Daemon::AnnounceLeaving()
{
  this->control->Overlay().AnnounceState(MemberState::kLeaving);
  this->control->Timers().At(this->node.clock.Now() + this->node.settings.leaveTime,
                             [this] { this->control->Life().LeaveTimeOver(); });
}

void
Daemon::StartDraining()
{
  this->drainEnd = this->node.clock.Now() + this->node.settings.drainLimit;
  for (const auto& thread : this->threads) {
    thread->Drain(kIdleGrace, [this] { this->control->Post([this] { ++this->idleThreads; }); });
  }
  this->control->Timers().At(this->node.clock.Now() + kDrainCheck, [this] { this->CheckDrained(); });
}

void
Daemon::CheckDrained()
{
  const bool idle = this->idleThreads == this->threads.size() && this->InFlight() == 0;
  if (!idle && this->node.clock.Now() < this->drainEnd) {
    this->control->Timers().At(this->node.clock.Now() + kDrainCheck, [this] { this->CheckDrained(); });
    return;
  }
  if (!idle) {
    LogEvent(LogLevel::kWarning, "drain_limit_passed", { { "in_flight", this->InFlight() } });
  }
  // The machine must not be re-entered from its own action, so the event gets a turn of its own.
  this->control->Post([this] { this->control->Life().Drained(); });
}

void
Daemon::Stop()
{
  this->control->Overlay().AnnounceState(MemberState::kGone);
  this->control->Timers().At(this->node.clock.Now() + kFarewell, [this] { this->control->Finish(); });
}

std::size_t
Daemon::InFlight() const
{
  std::size_t sum = 0;
  for (const auto& thread : this->threads) {
    sum += thread->InFlight();
  }
  return sum;
}

double
Daemon::Utilisation()
{
  const TimePoint now = this->node.clock.Now();
  const Duration usage = ProcessorTime();
  const Duration elapsed = now - this->lastUsageSample;
  double processor = 0;
  if (this->lastUsageSample != TimePoint() && elapsed > Duration::zero()) {
    processor = static_cast<double>((usage - this->lastUsage).count()) /
                (static_cast<double>(elapsed.count()) * static_cast<double>(this->threads.size()));
  }
  this->lastUsageSample = now;
  this->lastUsage = usage;
  const double queue = static_cast<double>(this->InFlight()) / this->node.settings.query.maxInFlight;
  return std::max(processor, queue);
}

} // namespace yp
