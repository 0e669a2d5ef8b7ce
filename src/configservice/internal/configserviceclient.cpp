#include "configservice/configservice.h"
#include "platformreply.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kWatchStep = "config_service.watch";
constexpr const char* kReadStep = "config_service.read";
/// Bodies of 1 MB together; JSON escapes can make each byte six.
constexpr std::size_t kMaxReplyBytes = 7 * 1024 * 1024;
constexpr std::size_t kMaxTicketBytes = 1024 * 1024;

Result<TicketNumber>
ParseHead(const std::string& aBody)
{
  BOOST_LEAF_AUTO(reply, ParseJson(aBody));
  return ReadUnsigned(reply, "head", kWatchStep, "$");
}

/// Numbers must ascend without a gap from the first one asked for, so that none can be skipped unnoticed.
Result<IConfigService::Bodies>
ParseBodies(const std::string& aBody, TicketNumber aFirst, TicketNumber aLast)
{
  BOOST_LEAF_AUTO(reply, ParseJson(aBody, CodecLimits{ kMaxReplyBytes }));
  BOOST_LEAF_AUTO(rows, ReadArray(reply, "tickets", kReadStep, "$"));
  if (rows->empty()) {
    return Fail(ErrorCode::kBadInput, kReadStep, "", "$.tickets: expected at least one ticket");
  }
  IConfigService::Bodies bodies;
  for (const Json& row : *rows) {
    const std::string path = "$.tickets[" + std::to_string(bodies.size()) + "]";
    BOOST_LEAF_AUTO(number, ReadUnsigned(row, "number", kReadStep, path));
    if (number != aFirst + bodies.size() || number > aLast) {
      return Fail(ErrorCode::kBadInput, kReadStep, "", path + ".number: not the next one asked for");
    }
    const auto body = row.find("body");
    // An empty body is a ticket too, although an invalid one.
    if (body == row.end() || !body->is_string() ||
        body->get_ref<const std::string&>().size() > kMaxTicketBytes) {
      return Fail(ErrorCode::kBadInput, kReadStep, "", path + ".body: expected text of at most 1 MB");
    }
    bodies.emplace_back(number, body->get<std::string>());
  }
  return bodies;
}

class ConfigServiceClient final : public IConfigService
{
public:
  ConfigServiceClient(boost::asio::io_context& aContext,
                      const Endpoint& aService,
                      const PlatformSettings& aSettings)
    : service(aService)
    , settings(aSettings)
    , http(MakeHttpClient(aContext, ClientLimits()))
  {
  }

  void Watch(TicketNumber aAfter, std::chrono::milliseconds aWait, HeadHandler aHandler) override
  {
    const std::chrono::milliseconds wait = std::max(aWait, std::chrono::milliseconds(0));
    HttpRequest request;
    request.target =
      "/v1/tickets/head?after=" + std::to_string(aAfter) + "&wait_ms=" + std::to_string(wait.count());
    this->Ask(std::move(request), wait, [this, aHandler](IHttpClient::Reply aReply) {
      aHandler(ToVariant<TicketNumber>([&]() -> Result<TicketNumber> {
        BOOST_LEAF_AUTO(body, TakeBody(std::move(aReply), kWatchStep, ToString(this->service)));
        return ParseHead(body);
      }));
    });
  }

  void Read(TicketNumber aFirst, TicketNumber aLast, BodiesHandler aHandler) override
  {
    HttpRequest request;
    request.target = "/v1/tickets?from=" + std::to_string(aFirst) + "&to=" + std::to_string(aLast);
    this->Ask(std::move(request), {}, [this, aFirst, aLast, aHandler](IHttpClient::Reply aReply) {
      aHandler(ToVariant<Bodies>([&]() -> Result<Bodies> {
        BOOST_LEAF_AUTO(body, TakeBody(std::move(aReply), kReadStep, ToString(this->service)));
        return ParseBodies(body, aFirst, aLast);
      }));
    });
  }

private:
  static HttpClientSettings ClientLimits()
  {
    HttpClientSettings limits;
    limits.maxBodyBytes = kMaxReplyBytes;
    limits.maxIdlePerEndpoint = 2;
    return limits;
  }

  void Ask(HttpRequest aRequest, std::chrono::milliseconds aWait, IHttpClient::Handler aHandler)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + this->settings.timeout + aWait;
    this->http->Send(this->service, std::move(aRequest), deadline, std::move(aHandler));
  }

  Endpoint service;
  PlatformSettings settings;
  std::unique_ptr<IHttpClient> http;
};

} // namespace

std::unique_ptr<IConfigService>
MakeConfigServiceClient(boost::asio::io_context& aContext,
                        const Endpoint& aService,
                        const PlatformSettings& aSettings)
{
  return std::make_unique<ConfigServiceClient>(aContext, aService, aSettings);
}

} // namespace yp
