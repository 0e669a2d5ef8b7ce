#include "backend/backend.h"
#include "backend/internal/adminserver.h"
#include "backend/internal/leafserver.h"
#include <algorithm>

namespace yp {

namespace {

constexpr Duration kMaxDrain = std::chrono::seconds(30);
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

AdminReply
BadRequest(const std::string& aDetail)
{
  return { 400, Json{ { "error", aDetail } }.dump() };
}

class BackendServer final : public IBackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext, const BackendSettings& aSettings)
    : context(aContext)
    , settings(aSettings)
    , behaviour(aSettings.behaviour)
    , drainTimer(aContext)
  {
  }

  /// Opens all ports; throws boost::system::system_error when one cannot be opened.
  void Listen();

  /// \return whether the execution log could be opened
  bool OpenLog() { return this->log.Open(this->settings.executionLog); }

  void Drain(std::function<void()> aDrained) override;
  std::vector<std::uint16_t> LeafPorts() const override;
  std::uint16_t AdminPort() const override { return this->admin->Port(); }
  std::string Stats() const override;

private:
  AdminReply Handle(const std::string& aMethod, const std::string& aTarget, const std::string& aBody);
  AdminReply Control(const std::string& aBody);
  bool Apply(const std::string& aKey, const Json& aValue, const std::string& aLeaf);
  bool ApplyNumber(const std::string& aKey, double aValue);
  bool ApplySwitch(const std::string& aKey, bool aValue);
  bool ApplyToLeafs(const std::string& aKey, const Json& aValue, const std::string& aLeaf);
  void StartDraining();
  void CheckDrained();

  boost::asio::io_context& context;
  const BackendSettings settings;
  BackendBehaviour behaviour;
  BackendControl control;
  ExecutionLog log;
  std::vector<std::unique_ptr<LeafServer>> leafs;
  std::unique_ptr<AdminServer> admin;
  boost::asio::steady_timer drainTimer;
  std::function<void()> drained;
};

void
BackendServer::Listen()
{
  for (const auto& leafSettings : this->settings.leafs) {
    this->leafs.push_back(std::make_unique<LeafServer>(
      this->context, this->settings, leafSettings, this->behaviour, this->control, this->log));
    this->leafs.back()->Listen();
  }
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(this->settings.admin.address),
                                                this->settings.admin.port);
  this->admin = std::make_unique<AdminServer>(
    this->context, endpoint, [this](const auto& aMethod, const auto& aTarget, const auto& aBody) {
      return this->Handle(aMethod, aTarget, aBody);
    });
}

std::vector<std::uint16_t>
BackendServer::LeafPorts() const
{
  std::vector<std::uint16_t> ports;
  for (const auto& server : this->leafs) {
    ports.push_back(server->Port());
  }
  return ports;
}

AdminReply
BackendServer::Handle(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
{
  if (aMethod == "GET" && aTarget == "/admin/stats") {
    return { 200, this->Stats() };
  }
  if (aMethod == "POST" && aTarget == "/admin/control") {
    return this->Control(aBody);
  }
  return { 404, R"({"error":"no such path"})" };
}

AdminReply
BackendServer::Control(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  const Json target = body.value("leaf", Json(""));
  if (!target.is_string()) {
    return BadRequest("leaf: the id of a leaf is expected");
  }
  const auto name = target.get<std::string>();
  const bool known = std::any_of(this->leafs.begin(), this->leafs.end(), [&](const auto& aServer) {
    return aServer->Settings().leaf == name;
  });
  if (!name.empty() && !known) {
    return BadRequest("leaf: this server has no such leaf");
  }
  for (const auto& entry : body.items()) {
    if (entry.key() != "leaf" && !this->Apply(entry.key(), entry.value(), name)) {
      return BadRequest(entry.key() + ": unknown key or value out of range");
    }
  }
  return { 200, "{}" };
}

bool
BackendServer::Apply(const std::string& aKey, const Json& aValue, const std::string& aLeaf)
{
  if (aKey == "add_version" || aKey == "drop_version" || aKey == "cut_connections") {
    return this->ApplyToLeafs(aKey, aValue, aLeaf);
  }
  if (aValue.is_boolean()) {
    return this->ApplySwitch(aKey, aValue.get<bool>());
  }
  return aValue.is_number() && this->ApplyNumber(aKey, aValue.get<double>());
}

bool
BackendServer::ApplyNumber(const std::string& aKey, double aValue)
{
  constexpr double kMaxFactor = 10'000;
  const bool probability = aValue >= 0 && aValue <= 1;
  const bool factor = aValue >= 0 && aValue <= kMaxFactor;
  if (aKey == "slow_factor" && factor) {
    this->control.slowFactor = aValue;
  } else if (aKey == "straggler_factor" && factor) {
    this->behaviour.stragglerFactor = aValue;
  } else if (aKey == "straggler_probability" && probability) {
    this->behaviour.stragglerProbability = aValue;
  } else if (aKey == "delay_probability" && probability) {
    this->behaviour.delayProbability = aValue;
  } else if (aKey == "delay_ms" && aValue >= 0 && aValue <= 600'000) {
    this->behaviour.delay = std::chrono::microseconds(static_cast<std::int64_t>(aValue * 1000));
  } else {
    return false;
  }
  return true;
}

bool
BackendServer::ApplySwitch(const std::string& aKey, bool aValue)
{
  if (aKey == "refuse") {
    this->control.refuse = aValue;
  } else if (aKey == "lie") {
    this->control.lie = aValue;
  } else if (aKey == "drain" && aValue) {
    this->StartDraining();
  } else if (aKey == "drain") {
    this->control.drainingSince.reset();
  } else {
    return false;
  }
  return true;
}

bool
BackendServer::ApplyToLeafs(const std::string& aKey, const Json& aValue, const std::string& aLeaf)
{
  const bool cut = aKey == "cut_connections";
  if (cut ? !aValue.is_boolean() : !aValue.is_number_unsigned()) {
    return false;
  }
  for (const auto& server : this->leafs) {
    if (!aLeaf.empty() && server->Settings().leaf != aLeaf) {
      continue;
    }
    if (aKey == "add_version") {
      server->AddVersion(aValue.get<IndexVersion>());
    } else if (aKey == "drop_version") {
      server->DropVersion(aValue.get<IndexVersion>());
    } else if (aValue.get<bool>()) {
      server->CutConnections();
    }
  }
  return true;
}

std::string
BackendServer::Stats() const
{
  Json rows = Json::object();
  for (const auto& server : this->leafs) {
    const LeafCounters& counters = server->Counters();
    const auto lastMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(counters.lastAfterDraining).count();
    rows[server->Settings().leaf] = { { "service", server->Settings().service },
                                      { "requests", counters.requests },
                                      { "executions", counters.executions },
                                      { "cancelled", counters.cancelled },
                                      { "shed", counters.shed },
                                      { "refused", counters.refused },
                                      { "late", counters.lateForWork },
                                      { "connections", server->Connections() },
                                      { "peak_connections", counters.peakConnections },
                                      { "after_draining", counters.afterDraining },
                                      { "last_after_draining_ms", lastMs } };
  }
  return Json{ { "server", this->settings.name }, { "leafs", rows } }.dump();
}

void
BackendServer::StartDraining()
{
  if (!this->control.drainingSince) {
    this->control.drainingSince = std::chrono::steady_clock::now();
    for (const auto& leaf : this->leafs) {
      leaf->StartDraining();
    }
    LogEvent(LogLevel::kInfo, "draining", { { "server", this->settings.name } });
  }
}

void
BackendServer::Drain(std::function<void()> aDrained)
{
  this->StartDraining();
  this->drained = std::move(aDrained);
  this->CheckDrained();
}

void
BackendServer::CheckDrained()
{
  const TimePoint now = std::chrono::steady_clock::now();
  const TimePoint since = this->control.drainingSince.value_or(now);
  const bool idle = std::all_of(
    this->leafs.begin(), this->leafs.end(), [](const auto& aServer) { return aServer->InFlight() == 0; });
  if ((idle && now >= since + this->behaviour.drainGrace) || now >= since + kMaxDrain) {
    for (const auto& server : this->leafs) {
      server->StopListening();
      server->CutConnections();
    }
    this->admin->Stop();
    this->drained();
    return;
  }
  this->drainTimer.expires_after(kDrainPoll);
  this->drainTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->CheckDrained();
    }
  });
}

} // namespace

Result<std::unique_ptr<IBackendServer>>
StartBackendServer(boost::asio::io_context& aContext, const BackendSettings& aSettings)
{
  auto server = std::make_unique<BackendServer>(aContext, aSettings);
  if (!server->OpenLog()) {
    return Fail(ErrorCode::kUnavailable,
                "standin_backend.start",
                aSettings.name,
                "the execution log cannot be opened: " + aSettings.executionLog);
  }
  try {
    server->Listen();
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorCode::kUnavailable, "standin_backend.start", aSettings.name, error.what());
  }
  return std::unique_ptr<IBackendServer>(std::move(server));
}

} // namespace yp
