#include "app/internal/loadexchange.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kLoadMethod = "load";
constexpr std::size_t kPartners = 3;
constexpr std::size_t kMaxLoads = 64; ///< bounds a message to about 2 KB
constexpr std::size_t kMaxDraining = 64;
constexpr std::chrono::seconds kMaxAge{ 6 };
constexpr std::chrono::seconds kReplyWait{ 1 };
constexpr CodecLimits kLimits{ 64 * 1024, 4 };

} // namespace

LoadExchange::LoadExchange(IPeerCalls& aCalls, const IClock& aClock, IRandom& aRandom, std::string aSelf)
  : calls(aCalls)
  , clock(aClock)
  , random(aRandom)
  , self(std::move(aSelf))
{
  this->calls.Serve(kLoadMethod, [this](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    this->Merge(aPayload);
    aRespond(this->EncodeLoads());
  });
}

void
LoadExchange::Exchange(double aUtilisation,
                       std::set<std::string> aDraining,
                       const Placement& aPlacement,
                       const MemberView& aView)
{
  this->loads[this->self] = { aUtilisation, this->clock.Now() };
  this->ownDraining = std::move(aDraining);
  this->DropOld();
  std::set<std::string> partners;
  for (const auto& service : aPlacement.services) {
    if (!service.second.ownConnections.empty()) {
      partners.insert(service.second.holders.begin(), service.second.holders.end());
    }
  }
  partners.erase(this->self);
  for (std::size_t i = 0; i < kPartners && !partners.empty(); ++i) {
    const auto partner =
      std::next(partners.begin(), static_cast<std::ptrdiff_t>(this->random.Below(partners.size())));
    const MemberStatus* member = aView.Find(*partner);
    partners.erase(partner);
    if (member == nullptr || member->unreachable) {
      continue;
    }
    this->calls.Call(member->record.peerEndpoint,
                     kLoadMethod,
                     this->EncodeLoads(),
                     this->clock.Now() + kReplyWait,
                     [this](const auto& aReply) {
                       if (const std::string* payload = std::get_if<std::string>(&aReply)) {
                         this->Merge(*payload);
                       }
                     });
  }
}

std::string
LoadExchange::EncodeLoads() const
{
  const TimePoint now = this->clock.Now();
  Json rows = Json::array();
  for (const auto& load : this->loads) {
    if (rows.size() == kMaxLoads) {
      break;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.second.received);
    rows.push_back({ load.first, load.second.utilisation, std::max<std::int64_t>(age.count(), 0) });
  }
  Json draining = Json::array();
  for (const std::string& server : this->ownDraining) {
    if (draining.size() < kMaxDraining) {
      draining.push_back(server);
    }
  }
  return EncodeCbor({ { "l", rows }, { "d", draining } });
}

void
LoadExchange::Merge(const std::string& aPayload)
{
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(value, ParseCbor(aPayload, kLimits));
      try {
        this->MergeLoads(value.at("l"));
        this->MergeDraining(value.at("d"));
      } catch (const Json::exception& error) {
        return Fail(ErrorCode::kBadInput, "load.merge", "", error.what());
      }
      return {};
    },
    [](const Error& aError) { LogError("loads_dropped", aError); });
}

void
LoadExchange::MergeLoads(const Json& aRows)
{
  for (const Json& row : aRows) {
    const std::string host = row.at(0).get<std::string>();
    const auto age = std::chrono::milliseconds(row.at(2).get<std::int64_t>());
    if (host == this->self || age.count() < 0 || age > kMaxAge) {
      continue;
    }
    const TimePoint measured = this->clock.Now() - age;
    NodeLoad& known = this->loads[host];
    if (measured > known.received) {
      known = { row.at(1).get<double>(), measured };
    }
  }
}

void
LoadExchange::MergeDraining(const Json& aServers)
{
  for (const Json& server : aServers) {
    this->heardDraining[server.get<std::string>()] = this->clock.Now();
  }
}

std::set<std::string>
LoadExchange::DrainingServers() const
{
  std::set<std::string> servers;
  for (const auto& heard : this->heardDraining) {
    servers.insert(heard.first);
  }
  return servers;
}

void
LoadExchange::DropOld()
{
  const TimePoint oldest = this->clock.Now() - kMaxAge;
  for (auto heard = this->heardDraining.begin(); heard != this->heardDraining.end();) {
    heard = heard->second < oldest ? this->heardDraining.erase(heard) : std::next(heard);
  }
  for (auto load = this->loads.begin(); load != this->loads.end();) {
    load = load->second.received < oldest ? this->loads.erase(load) : std::next(load);
  }
}

} // namespace yp
