#ifndef YP_GATEWAY_TESTS_FAKEEXCHANGE_H
#define YP_GATEWAY_TESTS_FAKEEXCHANGE_H

#include "framework/global/tests/faketimers.h"
#include "gateway/gateway.h"
#include <functional>
#include <set>

namespace yp {

/// Answer of a fake leaf to one call.
struct FakeAnswer
{
  LeafOutcome outcome = LeafOutcome::kAnswered;
  Duration delay = std::chrono::milliseconds(10); ///< time until the answer; negative: no answer
  std::string body = "body";
  unsigned status = 200;
  std::string signature; ///< empty: a unique signature is generated
  LeafNotice notice;     ///< what the leaf says of itself in the answer
  bool waits = false;    ///< the call waits for a connection, so that nothing of it is written
};

/// \return script in which every leaf gives the same outcome after the same time
inline std::function<FakeAnswer(const std::string&)>
Always(LeafOutcome aOutcome, Duration aDelay = FakeAnswer().delay)
{
  FakeAnswer answer;
  answer.outcome = aOutcome;
  answer.delay = aDelay;
  return [answer](const std::string&) { return answer; };
}

constexpr Duration kNever{ -1 };

/// \return script in which leafs whose id starts with the prefix never answer and the others give the default
/// answer
inline std::function<FakeAnswer(const std::string&)>
NoAnswerFrom(const std::string& aPrefix)
{
  return [aPrefix](const std::string& aLeaf) {
    FakeAnswer answer;
    answer.delay = aLeaf.rfind(aPrefix, 0) == 0 ? kNever : answer.delay;
    return answer;
  };
}

/// Simulates leafs in virtual time. The script returns the answer to each call.
class FakeExchange final : public ILeafExchange
{
public:
  FakeExchange(ManualClock& aClock, FakeTimers& aTimers)
    : clock(aClock)
    , timers(aTimers)
  {
  }

  void Send(LeafCall aCall, Handler aHandler) override
  {
    const std::string leaf = aCall.leaf->registration.id;
    this->sent.push_back(leaf);
    this->deadlines.push_back(aCall.deadline);
    const FakeAnswer answer = this->script ? this->script(leaf) : FakeAnswer();
    if (answer.waits) {
      this->unwritten.insert(aCall.id);
    }
    if (answer.delay < Duration::zero()) {
      this->pendingCalls[aCall.id] = 0;
      return;
    }
    const std::uint64_t id = aCall.id;
    const Ref<LeafHandle> handle = aCall.leaf;
    this->pendingCalls[id] =
      this->timers.At(this->clock.Now() + answer.delay, [this, id, leaf, handle, answer, aHandler] {
        this->pendingCalls.erase(id);
        handle->Apply(answer.notice, std::to_string(id), this->clock.Now());
        LeafResult result;
        result.outcome = answer.outcome;
        result.elapsed = answer.delay;
        result.notice = answer.notice;
        result.response.status = answer.status;
        result.response.body = answer.body;
        result.signature = answer.signature.empty() ? leaf + "." + std::to_string(id) : answer.signature;
        aHandler(std::move(result));
      });
  }

  void Cancel(std::uint64_t aCall) override { this->End(aCall); }
  void Expire(std::uint64_t aCall) override { this->End(aCall); }
  bool Withdraw(std::uint64_t aCall) override
  {
    const auto found = this->pendingCalls.find(aCall);
    if (found == this->pendingCalls.end() || this->unwritten.count(aCall) == 0) {
      return false;
    }
    this->End(aCall);
    return true;
  }
  void SetConnectionShare(double) override {}
  void SetConnectionLimits(const std::map<std::string, std::uint32_t>&) override {}

  std::size_t CountSent(const std::string& aLeaf) const
  {
    return static_cast<std::size_t>(std::count(this->sent.begin(), this->sent.end(), aLeaf));
  }

  std::function<FakeAnswer(const std::string& aLeaf)> script;
  std::vector<std::string> sent;    ///< ids of the called leafs, in the order of the calls
  std::vector<TimePoint> deadlines; ///< in the order of the calls
  std::map<std::uint64_t, TimerId>
    pendingCalls;                    ///< calls without an answer and their answer timers; 0: never answered
  std::set<std::uint64_t> unwritten; ///< calls that wait for a connection
  std::size_t ended = 0;             ///< calls cancelled or expired before their answer

private:
  void End(std::uint64_t aCall)
  {
    const auto found = this->pendingCalls.find(aCall);
    if (found == this->pendingCalls.end()) {
      return;
    }
    this->timers.Cancel(found->second);
    this->pendingCalls.erase(found);
    ++this->ended;
  }

  ManualClock& clock;
  FakeTimers& timers;
};

/// Gateway with fake leafs and three routes: scatter, idempotent and non-idempotent.
struct GatewayFixture
{
  static constexpr std::size_t kShards = 20;

  GatewayFixture()
  {
    GatewayOptions options;
    options.failureDomain = "a";
    this->gateway =
      MakeGateway({ this->exchange, this->leafs, this->timers, this->clock, this->random }, options);
    this->gateway->SetExtraLoadShare(1);
    this->gateway->SetRouting(this->MakeRouting(1));
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      this->AddLeaf(this->Shard(shard) + "-a", this->Shard(shard), "a");
      this->AddLeaf(this->Shard(shard) + "-b", this->Shard(shard), "b");
    }
    this->AddLeaf("plain-a", "plain", "a");
    this->AddLeaf("plain-b", "plain", "b");
  }

  /// \return the leaf of an id among those of the service "plain"
  Ref<LeafHandle> Leaf(const std::string& aId) const
  {
    for (const Ref<LeafHandle>& leaf : this->leafs.Leafs("plain")) {
      if (leaf->registration.id == aId) {
        return leaf;
      }
    }
    return nullptr;
  }

  static std::string Shard(std::size_t aIndex) { return "shard" + std::to_string(aIndex); }

  static Ref<RoutingState> MakeRouting(std::uint64_t aVersion)
  {
    using std::chrono::milliseconds;
    const Ref<RoutingState> state(new RoutingState);
    state->version = aVersion;
    RouteSpec scatter;
    scatter.name = "scatter";
    scatter.host = "host";
    scatter.pathPrefix = "/all/";
    scatter.timeout = milliseconds(1000);
    scatter.objective = milliseconds(120);
    scatter.attempts = 2;
    scatter.topRecords = 3;
    scatter.minCoverage = 0.89;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      scatter.shards.push_back(Shard(shard));
    }
    RouteSpec plain;
    plain.name = "plain";
    plain.host = "host";
    plain.pathPrefix = "/one/";
    plain.timeout = milliseconds(4000);
    plain.objective = milliseconds(400);
    plain.attempts = 2;
    plain.service = "plain";
    RouteSpec once = plain;
    once.name = "once";
    once.pathPrefix = "/once/";
    once.idempotent = false;
    state->routes = { scatter, plain, once };
    state->Index();
    return state;
  }

  void AddLeaf(const std::string& aId, const std::string& aService, const std::string& aDomain)
  {
    LeafRegistration registration;
    registration.id = aId;
    registration.service = aService;
    registration.failureDomain = aDomain;
    registration.slots = 2;
    registration.endpoint = Endpoint{ "127.0.0.1", ++this->lastPort };
    this->leafs.Apply(registration);
  }

  /// Sends queries at fixed intervals, so that the gateway has latency samples and extra load budget.
  void RunQueries(int aCount, std::chrono::milliseconds aPause = std::chrono::milliseconds(50))
  {
    for (int i = 0; i < aCount; ++i) {
      this->SendRequest("/all/x");
      this->timers.RunFor(aPause);
    }
  }

  /// Starts a request; its reply is appended to replies.
  /// \return handle for IGateway::Abandon
  std::uint64_t SendRequest(const std::string& aPath,
                            std::chrono::milliseconds aTimeBudget = std::chrono::milliseconds(1000),
                            const std::string& aHost = "host")
  {
    auto message = std::make_shared<ForwardedRequest>();
    message->id = "request" + std::to_string(++this->lastRequest);
    message->method = "GET";
    message->target = aPath;
    return this->gateway->Start({ message, aHost, aTimeBudget }, [this](GatewayReply aReply) {
      this->replies.push_back(std::move(aReply));
      this->repliedAt = this->clock.Now();
    });
  }

  ManualClock clock;
  FakeTimers timers{ clock };
  SeededRandom random{ 7 };
  FakeExchange exchange{ clock, timers };
  LeafDirectory leafs{ clock };
  std::unique_ptr<IGateway> gateway;
  std::vector<GatewayReply> replies;
  TimePoint repliedAt;
  std::uint16_t lastPort = 1000;
  std::uint64_t lastRequest = 0;
};

} // namespace yp

#endif
