#include "configservice/configservice.h"
#include "platformreply.h"
#include <nlohmann/json.hpp>
#include <set>

namespace yp {

namespace {

constexpr const char* kStep = "host_list.read";

leaf::error_id
FailAt(const std::string& aPath, const std::string& aProblem)
{
  return Fail(ErrorCode::kBadInput, kStep, "", aPath + ": " + aProblem);
}

Result<Endpoint>
ReadEndpoint(const Json& aRow, const char* aKey, const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadText(aRow, aKey, kStep, aPath));
  Result<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    return FailAt(aPath + "." + aKey, "expected numeric address:port");
  }
  return endpoint;
}

Result<bool>
ReadLeaving(const Json& aRow, const std::string& aPath)
{
  BOOST_LEAF_AUTO(state, ReadText(aRow, "state", kStep, aPath));
  if (state != "live" && state != "leaving") {
    return FailAt(aPath + ".state", "expected live or leaving");
  }
  return state == "leaving";
}

Result<ListedHost>
ParseHost(const Json& aRow, const std::string& aPath)
{
  ListedHost host;
  BOOST_LEAF_ASSIGN(host.host, ReadText(aRow, "host", kStep, aPath));
  BOOST_LEAF_ASSIGN(host.failureDomain, ReadText(aRow, "failure_domain", kStep, aPath));
  BOOST_LEAF_ASSIGN(host.region, ReadText(aRow, "region", kStep, aPath));
  BOOST_LEAF_ASSIGN(host.peerEndpoint, ReadEndpoint(aRow, "peer", aPath));
  BOOST_LEAF_ASSIGN(host.callerEndpoint, ReadEndpoint(aRow, "caller", aPath));
  BOOST_LEAF_ASSIGN(host.adminEndpoint, ReadEndpoint(aRow, "admin", aPath));
  BOOST_LEAF_ASSIGN(host.leaving, ReadLeaving(aRow, aPath));
  return host;
}

Result<void>
ParseServers(HostListing& aListing, const Json& aRows)
{
  std::size_t index = 0;
  for (const Json& row : aRows) {
    const std::string path = "$.servers[" + std::to_string(index++) + "]";
    BOOST_LEAF_AUTO(server, ReadText(row, "server", kStep, path));
    BOOST_LEAF_AUTO(leaving, ReadLeaving(row, path));
    if (leaving) {
      aListing.leavingServers.push_back(server);
    }
  }
  return {};
}

class HostListClient final : public IHostList
{
public:
  HostListClient(boost::asio::io_context& aContext,
                 const Endpoint& aService,
                 const PlatformSettings& aSettings)
    : service(aService)
    , settings(aSettings)
    , http(MakeHttpClient(aContext, ClientLimits(aSettings)))
  {
  }

  void Read(Handler aHandler) override
  {
    HttpRequest request;
    request.target = "/v1/hosts";
    const TimePoint deadline = std::chrono::steady_clock::now() + this->settings.timeout;
    this->http->Send(
      this->service, std::move(request), deadline, [this, aHandler](IHttpClient::Reply aReply) {
        aHandler(ToVariant<HostListing>([&]() -> Result<HostListing> {
          BOOST_LEAF_AUTO(body, TakeBody(std::move(aReply), kStep, ToString(this->service)));
          return ParseHostListing(body, this->settings);
        }));
      });
  }

private:
  static HttpClientSettings ClientLimits(const PlatformSettings& aSettings)
  {
    HttpClientSettings limits;
    limits.maxBodyBytes = aSettings.maxListBytes;
    limits.maxIdlePerEndpoint = 1;
    return limits;
  }

  Endpoint service;
  PlatformSettings settings;
  std::unique_ptr<IHttpClient> http;
};

} // namespace

Result<HostListing>
ParseHostListing(std::string_view aBody, const PlatformSettings& aSettings)
{
  BOOST_LEAF_AUTO(reply, ParseJson(aBody, CodecLimits{ aSettings.maxListBytes }));
  HostListing listing;
  BOOST_LEAF_ASSIGN(listing.version, ReadUnsigned(reply, "version", kStep, "$"));
  BOOST_LEAF_AUTO(rows, ReadArray(reply, "hosts", kStep, "$"));
  if (rows->size() > aSettings.maxHosts) {
    return FailAt("$.hosts", "more than " + std::to_string(aSettings.maxHosts) + " hosts");
  }
  std::set<std::string> names;
  for (const Json& row : *rows) {
    const std::string path = "$.hosts[" + std::to_string(listing.hosts.size()) + "]";
    BOOST_LEAF_AUTO(host, ParseHost(row, path));
    if (!names.insert(host.host).second) {
      return FailAt(path + ".host", "named twice: " + host.host);
    }
    listing.hosts.push_back(std::move(host));
  }
  BOOST_LEAF_AUTO(servers, ReadArray(reply, "servers", kStep, "$"));
  BOOST_LEAF_CHECK(ParseServers(listing, *servers));
  return listing;
}

std::unique_ptr<IHostList>
MakeHostListClient(boost::asio::io_context& aContext,
                   const Endpoint& aService,
                   const PlatformSettings& aSettings)
{
  return std::make_unique<HostListClient>(aContext, aService, aSettings);
}

} // namespace yp
