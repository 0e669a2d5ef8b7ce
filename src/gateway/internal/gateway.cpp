#include "gateway/gateway.h"
#include "gateway/internal/plainrunner.h"
#include "gateway/internal/requestlog.h"
#include "gateway/internal/scatterrunner.h"
#include <algorithm>

namespace yp {

namespace {

// Round trip between a caller and a node, including the time to open the connection.
constexpr Duration kCallerRoundTrip = std::chrono::milliseconds(9);
constexpr int kObjectiveMarginPart =
  20; // 1/20 of the objective is reserved for a late wake-up of the process
constexpr Duration kRefuseInterval = std::chrono::milliseconds(50);
constexpr Duration kNotReadyRetry = std::chrono::milliseconds(300);

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Divides the requests of a route among services exactly by weight, with smooth weighted round robin.
class WeightedRoundRobin
{
public:
  const std::string& Next(const RouteSpec& aRoute)
  {
    std::map<std::string, double>& credits = this->byRoute[aRoute.name];
    double total = 0;
    const WeightedService* best = nullptr;
    for (const WeightedService& part : aRoute.split) {
      total += part.weight;
      double& credit = credits[part.service];
      credit += part.weight;
      if (part.weight > 0 && (best == nullptr || credit > credits[best->service])) {
        best = &part;
      }
    }
    if (best == nullptr) {
      return aRoute.split.front().service;
    }
    credits[best->service] -= total;
    return best->service;
  }

  void Clear() { this->byRoute.clear(); }

private:
  std::map<std::string, std::map<std::string, double>> byRoute;
};

class Gateway final : public IGateway
{
public:
  Gateway(const GatewayParts& aParts, const GatewayOptions& aOptions)
    : options(aOptions)
    , exchange(aParts.exchange)
    , clock(aParts.clock)
    , random(aParts.random)
    , log(aParts.clock)
    , sender(aParts, this->log, this->stats)
    , budget(aOptions.extraLoadRatio, aOptions.extraLoadSlack)
    , context{ this->sender,  aParts.leafs, aParts.timers, aParts.clock,
               aParts.random, this->budget, this->options, this->stats }
    , plain(this->context, this->Finished())
    , scatter(this->context, this->Finished())
  {
  }

  ~Gateway() override { this->context.timers.Cancel(this->endTimer); }

  bool SetRouting(Ref<const RoutingState> aRouting) override
  {
    if (this->routing && aRouting->version <= this->routing->version) {
      return false;
    }
    LogEvent(LogLevel::kInfo,
             "configuration_in_force",
             { { "version", aRouting->version },
               { "replaces", this->routing ? this->routing->version : 0 },
               { "routes", aRouting->routes.size() } });
    this->routing = std::move(aRouting);
    this->splits.Clear();
    this->exchange.SetConnectionLimits(this->routing->connectionLimits);
    const std::set<std::string> services = this->routing->Services();
    this->context.leafs.SetServices(services);
    this->budget.KeepServices(services);
    this->KeepRoutes();
    return true;
  }

  Ref<const RoutingState> Routing() const override { return this->routing; }

  void SetOptions(const GatewayOptions& aOptions) override
  {
    this->options.extraLoadRatio = aOptions.extraLoadRatio;
    this->options.extraLoadSlack = aOptions.extraLoadSlack;
    this->options.remotePenaltyShare = aOptions.remotePenaltyShare;
    this->budget.SetBounds(aOptions.extraLoadRatio, aOptions.extraLoadSlack);
  }

  void SetExtraLoadShare(double aShare) override { this->budget.SetShare(aShare); }

  void SetEnd(TimePoint aEnd) override
  {
    this->context.end = aEnd;
    this->plain.LimitToEnd();
    this->scatter.LimitToEnd();
    this->RefuseWaiting();
  }

  std::uint64_t Start(GatewayRequest aRequest, Handler aHandler) override
  {
    RunnerRequest request;
    request.message = std::move(aRequest.message);
    request.received = this->clock.Now();
    request.routing = this->routing;
    if (!this->routing) {
      this->Reply(request, aHandler, Refusal("no_configuration", kNotReadyRetry, this->random));
      return 0;
    }
    request.route = this->routing->Match(aRequest.host, PathOf(request.message->target));
    if (request.route == nullptr) {
      GatewayReply reply;
      reply.outcome = GatewayOutcome::kNoRoute;
      reply.reason = "no_route";
      this->Reply(request, aHandler, std::move(reply));
      return 0;
    }
    this->SetTimes(request, aRequest.timeBudget);
    if (!this->context.CanAnswer(*request.times, request.received)) {
      this->Reply(request, aHandler, Refusal("stopping", kStoppingRetry, this->random));
      return 0;
    }
    return this->Run(std::move(request), std::move(aHandler));
  }

  void Abandon(std::uint64_t aHandle) override
  {
    const auto found = this->handlers.find(aHandle);
    if (found == this->handlers.end()) {
      return;
    }
    this->handlers.erase(found);
    ++this->stats.callersDisconnected;
    this->plain.Abandon(aHandle);
    this->scatter.Abandon(aHandle);
  }

  std::size_t KeptEntries() const override
  {
    return this->times.size() + this->scatter.LoadEntries() + this->budget.Entries();
  }

  std::size_t InProgress() const override { return this->handlers.size(); }

  const GatewayStats& Stats() const override { return this->stats; }

private:
  RunnerFinished Finished()
  {
    return [this](const RunnerRequest& aRequest, GatewayReply aReply) {
      const auto found = this->handlers.find(aRequest.handle);
      const Handler handler = std::move(found->second);
      this->handlers.erase(found);
      this->Reply(aRequest, handler, std::move(aReply));
    };
  }

  void SetTimes(RunnerRequest& aRequest, Duration aTimeBudget)
  {
    const RouteSpec& route = *aRequest.route;
    Ref<RouteTimes>& times = this->times[route.name];
    if (!times) {
      times.reset(new RouteTimes(route.objective));
    }
    aRequest.times = times;
    const TimePoint now = aRequest.received;
    const Duration waited = times->RecordTimeBudget(aTimeBudget, now);
    const Duration objective = route.objective;
    aRequest.deadline = now + aTimeBudget;
    aRequest.answerBy =
      std::min(this->context.end, now + std::min<Duration>(aTimeBudget - kReturnMargin, route.timeout));
    aRequest.objective = now + objective - objective / kObjectiveMarginPart - kCallerRoundTrip - waited;
  }

  std::uint64_t Run(RunnerRequest aRequest, Handler aHandler)
  {
    const std::uint64_t handle = ++this->lastHandle;
    aRequest.handle = handle;
    this->handlers.emplace(handle, std::move(aHandler));
    const RunnerRequest kept = aRequest;
    std::optional<GatewayReply> refusal;
    if (kept.route->Scatter()) {
      refusal = this->scatter.Start(std::move(aRequest));
    } else {
      refusal = this->plain.Start(std::move(aRequest), this->ServiceOf(*kept.route));
    }
    if (refusal) {
      const Handler handler = std::move(this->handlers.at(handle));
      this->handlers.erase(handle);
      this->Reply(kept, handler, std::move(*refusal));
      return 0;
    }
    return handle;
  }

  /// Drops what is kept for routes that the configuration no longer names.
  void KeepRoutes()
  {
    std::set<std::string> names;
    for (const RouteSpec& route : this->routing->routes) {
      names.insert(route.name);
    }
    for (auto times = this->times.begin(); times != this->times.end();) {
      times = names.count(times->first) != 0 ? std::next(times) : this->times.erase(times);
    }
    this->scatter.KeepRoutes(names);
  }

  /// Refuses requests in time for their callers to go elsewhere, again and again until this node ends.
  void RefuseWaiting()
  {
    const TimePoint now = this->clock.Now();
    if (now < this->context.end) {
      this->endTimer = this->context.timers.At(now + kRefuseInterval, [this] { this->RefuseWaiting(); });
    }
    this->plain.RefuseWaiting();
  }

  const std::string& ServiceOf(const RouteSpec& aRoute)
  {
    return aRoute.split.empty() ? aRoute.service : this->splits.Next(aRoute);
  }

  void Reply(const RunnerRequest& aRequest, const Handler& aHandler, GatewayReply aReply)
  {
    const Duration elapsed = this->clock.Now() - aRequest.received;
    ++this->stats.outcomes[static_cast<std::size_t>(aReply.outcome)];
    this->stats.latency.Add(elapsed);
    LogRequest(this->log, aRequest, aReply, elapsed);
    aHandler(std::move(aReply));
  }

  GatewayOptions options;
  ILeafExchange& exchange;
  const IClock& clock;
  IRandom& random;
  GatewayStats stats;
  LogBudget log;
  CallSender sender;
  ExtraLoadShare budget;
  RunnerContext context;
  PlainRunner plain;
  ScatterRunner scatter;
  WeightedRoundRobin splits;
  Ref<const RoutingState> routing;
  std::unordered_map<std::string, Ref<RouteTimes>> times;
  std::unordered_map<std::uint64_t, Handler> handlers;
  std::uint64_t lastHandle = 0;
  TimerId endTimer = 0;
};

} // namespace

const char*
ToString(GatewayOutcome aOutcome)
{
  switch (aOutcome) {
    case GatewayOutcome::kPassed:
      return "passed";
    case GatewayOutcome::kMerged:
      return "merged";
    case GatewayOutcome::kRefused:
      return "refused";
    case GatewayOutcome::kNoRoute:
      return "no_route";
    case GatewayOutcome::kFailed:
      return "failed";
    case GatewayOutcome::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

const char*
ToString(LeafOutcome aOutcome)
{
  switch (aOutcome) {
    case LeafOutcome::kAnswered:
      return "answered";
    case LeafOutcome::kFailed:
      return "failed";
    case LeafOutcome::kNotRun:
      return "not_run";
    case LeafOutcome::kMisdirected:
      return "misdirected";
    case LeafOutcome::kNotSent:
      return "not_sent";
    case LeafOutcome::kHeldBack:
      return "held_back";
    case LeafOutcome::kLost:
      return "lost";
  }
  return "unknown";
}

std::unique_ptr<IGateway>
MakeGateway(const GatewayParts& aParts, const GatewayOptions& aOptions)
{
  return std::make_unique<Gateway>(aParts, aOptions);
}

} // namespace yp
