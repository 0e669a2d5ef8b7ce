#include "app/internal/historyexchange.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kHistoryMethod = "placement_history";
constexpr std::chrono::milliseconds kReplyWait{ 1000 };
// After this many failures the node goes on without a history and waits for the growth delay instead.
constexpr std::size_t kMaxFailures = 4;
constexpr CodecLimits kLimits{ 1024 * 1024, 6 };

std::vector<const MemberRecord*>
ReadyNeighbours(const MemberView& aView, const std::string& aSelf)
{
  std::vector<const MemberRecord*> neighbours;
  const MemberStatus* own = aView.Find(aSelf);
  for (const MemberStatus& member : aView.members) {
    const bool candidate = own != nullptr && member.record.failureDomain == own->record.failureDomain &&
                           member.record.host != aSelf && member.record.state == MemberState::kReady &&
                           !member.unreachable;
    if (candidate) {
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
  const std::vector<const MemberRecord*> neighbours = ReadyNeighbours(aView, this->self);
  this->settled = neighbours.empty() || this->failures >= kMaxFailures;
  if (!this->settled) {
    this->Ask(*neighbours[this->nextPeer++ % neighbours.size()]);
  }
  return this->settled;
}

void
HistoryExchange::Ask(const MemberRecord& aPeer)
{
  this->asking = true;
  this->calls.Call(
    aPeer.peerEndpoint, kHistoryMethod, "", this->clock.Now() + kReplyWait, [this](const auto& aReply) {
      this->OnReply(aReply);
    });
}

void
HistoryExchange::OnReply(const std::variant<std::string, Error>& aReply)
{
  this->asking = false;
  if (const Error* error = std::get_if<Error>(&aReply)) {
    ++this->failures;
    LogError("placement_history_not_read", *error);
    return;
  }
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(history, DecodeHistory(std::get<std::string>(aReply)));
      this->planner.ImportHistory(history, this->clock.Now());
      this->settled = true;
      LogEvent(LogLevel::kInfo, "placement_history_read", { { "sets", history.sets.size() } });
      return {};
    },
    [this](const Error& aError) {
      ++this->failures;
      LogError("placement_history_not_read", aError);
    });
}

} // namespace yp
