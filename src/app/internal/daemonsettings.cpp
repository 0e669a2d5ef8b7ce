#include "app/internal/daemonsettings.h"

namespace yp {

namespace {

constexpr std::int64_t kMaxRequestThreads = 64;
constexpr std::int64_t kMaxInFlight = 1000000;
constexpr std::chrono::minutes kMaxDrain{ 10 };

void
ReadNode(SettingsFile& aFile, DaemonSettings& aSettings)
{
  aSettings.host = aFile.RequiredText("node", "host");
  aSettings.failureDomain = aFile.RequiredText("node", "failure_domain");
  aSettings.region = aFile.RequiredText("node", "region");
  aSettings.caller = { aFile.RequiredAddress("node", "caller_address"),
                       aFile.RequiredPort("node", "caller_port") };
  aSettings.peer = { aFile.RequiredAddress("node", "peer_address"), aFile.RequiredPort("node", "peer_port") };
  aSettings.admin = { aFile.RequiredAddress("node", "admin_address"),
                      aFile.RequiredPort("node", "admin_port") };
}

void
ReadLimits(SettingsFile& aFile, DaemonSettings& aSettings)
{
  using std::chrono::milliseconds;
  aSettings.drainLimit =
    aFile.Milliseconds("limits", "drain_ms", std::chrono::seconds(30), milliseconds(0), kMaxDrain);
  aSettings.leaveTime =
    aFile.Milliseconds("limits", "leave_ms", std::chrono::seconds(14), milliseconds(0), kMaxDrain);
  aSettings.query.maxInFlight =
    static_cast<std::uint32_t>(aFile.Integer("limits", "max_in_flight", 2000, 1, kMaxInFlight));
}

void
ReadPolicies(SettingsFile& aFile, DaemonSettings& aSettings)
{
  QueryOptions& query = aSettings.query;
  const std::string hedge = aFile.Choice("query", "hedge", "adaptive", { "none", "fixed", "adaptive" });
  query.hedgePolicy = hedge == "none"    ? HedgePolicy::kNone
                      : hedge == "fixed" ? HedgePolicy::kFixed
                                         : HedgePolicy::kAdaptive;
  const std::string replica =
    aFile.Choice("query", "replica", "load_aware", { "random", "round_robin", "load_aware" });
  query.replicaPolicy = replica == "random"        ? ReplicaPolicy::kRandom
                        : replica == "round_robin" ? ReplicaPolicy::kRoundRobin
                                                   : ReplicaPolicy::kLoadAware;
  query.limitExtraLoad = aFile.Choice("query", "budget", "on", { "on", "off" }) == "on";
  query.fixedHedgeDelay = aFile.Milliseconds("query",
                                             "fixed_hedge_delay_ms",
                                             std::chrono::milliseconds(50),
                                             std::chrono::milliseconds(1),
                                             std::chrono::seconds(10));
  query.failureDomain = aSettings.failureDomain;
}

} // namespace

Result<DaemonSettings>
LoadDaemonSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(file, SettingsFile::Load(aPath));
  DaemonSettings settings;
  ReadNode(file, settings);
  settings.configService = file.RequiredEndpoint("platform", "config_service");
  settings.hostList = file.RequiredEndpoint("platform", "host_list");
  settings.requestThreads =
    static_cast<std::size_t>(file.Integer("threads", "request_threads", 2, 1, kMaxRequestThreads));
  settings.logLevel = file.Choice("log", "level", "info", { "debug", "info", "warning", "error" });
  ReadLimits(file, settings);
  ReadPolicies(file, settings);
  BOOST_LEAF_CHECK(file.Finish());
  return settings;
}

} // namespace yp
