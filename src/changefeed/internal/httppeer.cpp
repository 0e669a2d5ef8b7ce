#include "changefeed/changefeed.h"
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace yp {

namespace {

constexpr char kPath[] = "/v1/changes";
constexpr Duration kTimeout = std::chrono::milliseconds(600); // nodes of a region are a few ms apart

std::optional<ChangeBatch>
DecodeReply(const IHttpClient::Reply& aReply, const std::string& aHost)
{
  if (const Error* error = std::get_if<Error>(&aReply)) {
    LogError("changes_not_fetched", *error);
    return std::nullopt;
  }
  const HttpResponse& response = std::get<HttpResponse>(aReply);
  return Recover(
    [&]() -> Result<std::optional<ChangeBatch>> {
      if (response.status != 200) {
        return Fail(
          ErrorCode::kUnavailable, "changefeed.fetch", aHost, "status " + std::to_string(response.status));
      }
      BOOST_LEAF_AUTO(batch, DecodeBatch(response.body));
      return std::optional<ChangeBatch>(std::move(batch));
    },
    [](const Error& aError) -> std::optional<ChangeBatch> {
      LogError("changes_not_fetched", aError);
      return std::nullopt;
    });
}

class HttpChangePeer final : public IChangePeer
{
public:
  HttpChangePeer(boost::asio::io_context& aContext, const IClock& aClock)
    : clock(aClock)
    , client(MakeHttpClient(aContext))
  {
  }

  void Fetch(const PeerRecord& aPeer, std::uint64_t aAfter, Handler aHandler) override
  {
    HttpRequest request;
    request.target = std::string(kPath) + "?after=" + std::to_string(aAfter);
    this->client->Send(aPeer.peerEndpoint,
                       std::move(request),
                       this->clock.Now() + kTimeout,
                       [host = aPeer.host, handler = std::move(aHandler)](const IHttpClient::Reply& aReply) {
                         handler(DecodeReply(aReply, host));
                       });
  }

private:
  const IClock& clock;
  std::unique_ptr<IHttpClient> client;
};

} // namespace

std::unique_ptr<IChangePeer>
MakeHttpChangePeer(boost::asio::io_context& aContext, const IClock& aClock)
{
  return std::make_unique<HttpChangePeer>(aContext, aClock);
}

HttpResponse
ServeChanges(const IChangeRelay& aRelay, const HttpRequest& aRequest)
{
  HttpResponse response;
  return Recover(
    [&]() -> Result<HttpResponse> {
      BOOST_LEAF_AUTO(target, ParseTarget(aRequest.target));
      std::uint64_t after = 0;
      if (target.path != kPath ||
          !boost::conversion::try_lexical_convert(target.parameters["after"], after)) {
        return Fail(
          ErrorCode::kBadInput, "changefeed.serve", ToString(aRequest.peer), "no such path or number");
      }
      response.headers.push_back({ "Content-Type", "application/cbor" });
      response.body = EncodeBatch(aRelay.Since(after));
      return response;
    },
    [](const Error& aError) {
      LogError("changes_refused", aError);
      HttpResponse refused;
      refused.status = 400;
      return refused;
    });
}

} // namespace yp
