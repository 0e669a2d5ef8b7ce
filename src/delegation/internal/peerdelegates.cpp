#include "delegation/delegation.h"
#include <map>

namespace yp {

namespace {

// A node that did not answer is not asked again for about the time that gossip needs to see it down.
constexpr Duration kAvoidTime = std::chrono::milliseconds(1500);
// Time in which a node that others ask now and then answers something.
constexpr Duration kResponsiveTime = std::chrono::milliseconds(200);
constexpr Duration kReplySlack = std::chrono::milliseconds(200); // the runner gives up earlier
constexpr std::chrono::milliseconds kConnectTimeout{ 100 };      // nodes of a region are a few ms apart

class PeerDelegates final : public IPartDelegates
{
public:
  PeerDelegates(boost::asio::io_context& aContext,
                const IClock& aClock,
                IRandom& aRandom,
                std::function<const EntryPlan&()> aPlan,
                std::string aOwnHost)
    : clock(aClock)
    , random(aRandom)
    , plan(std::move(aPlan))
    , ownHost(std::move(aOwnHost))
    , client(MakeHttpClient(aContext, ClientSettings()))
  {
  }

  std::uint64_t Send(const std::string& aDomain, const PartsRequest& aRequest, Handler aHandler) override
  {
    const PeerRecord* peer = this->Choose(aDomain);
    if (peer == nullptr) {
      return 0;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = kPartsPath;
    request.body = EncodePartsRequest(aRequest);
    const std::uint64_t number = ++this->lastNumber;
    const std::uint64_t http =
      this->client->Send(peer->peers,
                         std::move(request),
                         this->clock.Now() + aRequest.objective + kReplySlack,
                         [this, number, handler = std::move(aHandler)](const IHttpClient::Reply& aReply) {
                           this->OnReply(number, aReply, handler);
                         });
    this->running.emplace(number, Running{ http, peer->host });
    return number;
  }

  bool Responsive(std::uint64_t aNumber) const override
  {
    const auto found = this->running.find(aNumber);
    if (found == this->running.end()) {
      return false;
    }
    const auto heard = this->heardAt.find(found->second.host);
    return heard != this->heardAt.end() && this->clock.Now() - heard->second < kResponsiveTime;
  }

  void Cancel(std::uint64_t aNumber, bool aLate) override
  {
    const auto found = this->running.find(aNumber);
    if (found == this->running.end()) {
      return;
    }
    this->client->Cancel(found->second.http);
    if (aLate) {
      this->Avoid(found->second.host, "late");
    }
    this->running.erase(found);
  }

private:
  struct Running
  {
    std::uint64_t http = 0;
    std::string host;
  };

  static HttpClientSettings ClientSettings()
  {
    HttpClientSettings settings;
    settings.connectTimeout = kConnectTimeout;
    return settings;
  }

  /// Draws a node of the domain by capacity.
  const PeerRecord* Choose(const std::string& aDomain)
  {
    const TimePoint now = this->clock.Now();
    std::uint64_t total = 0;
    const PeerRecord* chosen = nullptr;
    for (const PeerRecord& entry : this->plan().entries) {
      const auto avoided = this->avoidUntil.find(entry.host);
      const bool usable = avoided == this->avoidUntil.end() || avoided->second <= now;
      if (entry.failureDomain != aDomain || entry.host == this->ownHost || !usable) {
        continue;
      }
      total += entry.capacity;
      if (this->random.Below(total) < entry.capacity) {
        chosen = &entry;
      }
    }
    return chosen;
  }

  void OnReply(std::uint64_t aNumber, const IHttpClient::Reply& aReply, const Handler& aHandler)
  {
    const auto found = this->running.find(aNumber);
    if (found == this->running.end()) {
      return;
    }
    const std::string host = found->second.host;
    this->running.erase(found);
    Result result;
    result.sent = true;
    if (const Error* error = std::get_if<Error>(&aReply)) {
      result.sent = error->code != ErrorCode::kUnavailable && error->step != "http.connect";
      this->Avoid(host, error->detail);
    } else {
      this->heardAt[host] = this->clock.Now();
      result.reply = this->Decode(std::get<HttpResponse>(aReply), host);
    }
    aHandler(std::move(result));
  }

  std::optional<PartsReply> Decode(const HttpResponse& aResponse, const std::string& aHost)
  {
    return Recover(
      [&]() -> yp::Result<std::optional<PartsReply>> {
        BOOST_LEAF_AUTO(reply, DecodePartsReply(aResponse.body));
        return std::optional<PartsReply>(std::move(reply));
      },
      [&](const Error& aError) -> std::optional<PartsReply> {
        this->Avoid(aHost, aError.detail);
        return std::nullopt;
      });
  }

  void Avoid(const std::string& aHost, const std::string& aReason)
  {
    LogEvent(LogLevel::kInfo, "delegate_avoided", { { "host", aHost }, { "reason", aReason } });
    this->avoidUntil[aHost] = this->clock.Now() + kAvoidTime;
  }

  const IClock& clock;
  IRandom& random;
  const std::function<const EntryPlan&()> plan;
  const std::string ownHost;
  std::unique_ptr<IHttpClient> client;
  std::uint64_t lastNumber = 0;
  std::map<std::uint64_t, Running> running;
  std::map<std::string, TimePoint> avoidUntil;
  std::map<std::string, TimePoint> heardAt; ///< last reply of each node
};

} // namespace

std::unique_ptr<IPartDelegates>
MakePeerDelegates(boost::asio::io_context& aContext,
                  const IClock& aClock,
                  IRandom& aRandom,
                  std::function<const EntryPlan&()> aPlan,
                  std::string aOwnHost)
{
  return std::make_unique<PeerDelegates>(aContext, aClock, aRandom, std::move(aPlan), std::move(aOwnHost));
}

} // namespace yp
