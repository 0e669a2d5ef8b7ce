#include "app/internal/historyexchange.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kHistoryMethod = "placement_history";
constexpr std::chrono::milliseconds kReplyWait{ 1000 };
constexpr std::size_t kAttempts = 2; ///< failed calls to a node before it counts as asked
// Older than any growth delay, so that the share among these hosts is taken at once.
constexpr std::chrono::hours kSettledAge{ 1 };
constexpr CodecLimits kLimits{ 1024 * 1024, 6 };

/// \return the placed members of this node's failure domain, itself included
std::vector<const MemberRecord*>
PlacedNeighbours(const MemberView& aView, const std::string& aSelf)
{
  std::vector<const MemberRecord*> neighbours;
  const MemberStatus* own = aView.Find(aSelf);
  for (const MemberStatus& member : aView.members) {
    if (own != nullptr && member.placed && member.record.failureDomain == own->record.failureDomain) {
      neighbours.push_back(&member.record);
    }
  }
  return neighbours;
}

} // namespace

std::string
EncodeHistory(const PlacementHistory& aHistory)
{
  Json sets = Json::array();
  for (const PastHosts& set : aHistory.sets) {
    sets.push_back({ std::max<std::int64_t>(set.age.count(), 0), set.hosts });
  }
  return EncodeCbor({ { "d", aHistory.failureDomain }, { "s", sets } });
}

Result<PlacementHistory>
DecodeHistory(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  try {
    PlacementHistory history;
    history.failureDomain = value.at("d").get<std::string>();
    for (const Json& row : value.at("s")) {
      PastHosts set;
      set.age = std::chrono::milliseconds(std::max<std::int64_t>(row.at(0).get<std::int64_t>(), 0));
      set.hosts = row.at(1).get<std::vector<std::string>>();
      std::sort(set.hosts.begin(), set.hosts.end());
      history.sets.push_back(std::move(set));
    }
    return history;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kBadInput, "placement.decode_history", "", error.what());
  }
}

HistoryExchange::HistoryExchange(IPeerCalls& aCalls,
                                 const IClock& aClock,
                                 IPlacementPlanner& aPlanner,
                                 std::string aSelf)
  : calls(aCalls)
  , clock(aClock)
  , planner(aPlanner)
  , self(std::move(aSelf))
{
  this->calls.Serve(kHistoryMethod, [this](const std::string&, IPeerCalls::Respond aRespond) {
    aRespond(EncodeHistory(this->planner.ExportHistory(this->clock.Now())));
  });
}

bool
HistoryExchange::Settle(const MemberView& aView)
{
  if (this->settled || this->asking) {
    return this->settled;
  }
  for (const MemberRecord* neighbour : PlacedNeighbours(aView, this->self)) {
    if (neighbour->host != this->self && this->attempts[neighbour->host] < kAttempts) {
      this->Ask(*neighbour);
      return false;
    }
  }
  this->ImportCurrentHosts(aView);
  this->settled = true;
  return true;
}

void
HistoryExchange::Ask(const MemberRecord& aPeer)
{
  this->asking = true;
  const std::string host = aPeer.host;
  this->calls.Call(
    aPeer.peerEndpoint, kHistoryMethod, "", this->clock.Now() + kReplyWait, [this, host](const auto& aReply) {
      this->OnReply(host, aReply);
    });
}

void
HistoryExchange::OnReply(const std::string& aHost, const std::variant<std::string, Error>& aReply)
{
  this->asking = false;
  const auto failed = [this, &aHost](const Error& aError) {
    ++this->attempts[aHost];
    LogError("placement_history_not_read", aError);
    return false;
  };
  if (const Error* error = std::get_if<Error>(&aReply)) {
    failed(*error);
    return;
  }
  this->settled = Recover([&] { return this->Import(std::get<std::string>(aReply)); }, failed);
  if (!this->settled) {
    this->attempts[aHost] = kAttempts;
  }
}

Result<bool>
HistoryExchange::Import(const std::string& aBytes)
{
  BOOST_LEAF_AUTO(history, DecodeHistory(aBytes));
  if (history.sets.empty()) {
    return false;
  }
  this->planner.ImportHistory(history, this->clock.Now());
  LogEvent(LogLevel::kInfo, "placement_history_read", { { "sets", history.sets.size() } });
  return true;
}

void
HistoryExchange::ImportCurrentHosts(const MemberView& aView)
{
  PlacementHistory history;
  PastHosts current;
  current.age = kSettledAge;
  for (const MemberRecord* neighbour : PlacedNeighbours(aView, this->self)) {
    history.failureDomain = neighbour->failureDomain;
    current.hosts.push_back(neighbour->host);
  }
  std::sort(current.hosts.begin(), current.hosts.end());
  LogEvent(LogLevel::kInfo, "placement_history_none", { { "hosts", current.hosts.size() } });
  history.sets.push_back(std::move(current));
  this->planner.ImportHistory(history, this->clock.Now());
}

} // namespace yp
