#include "query/query.h"
#include <array>
#include <charconv>
#include <cstdio>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace yp {

namespace {

constexpr std::size_t kTableShardCount = 16;
constexpr std::uint32_t kMaxIssuedIds = 1000;
constexpr std::chrono::milliseconds kIdLifetime = std::chrono::minutes(10);

struct ParsedId
{
  Incarnation owner;
  std::chrono::milliseconds issued{ 0 };
};

std::optional<Incarnation>
ReadIncarnation(std::string_view aText)
{
  return Recover(
    [&]() -> Result<std::optional<Incarnation>> {
      BOOST_LEAF_AUTO(incarnation, ParseIncarnation(aText));
      return std::optional<Incarnation>(incarnation);
    },
    [](const Error&) { return std::optional<Incarnation>(); });
}

std::optional<ParsedId>
ParseId(std::string_view aId)
{
  const std::size_t first = aId.find('.');
  const std::size_t second = first == std::string_view::npos ? first : aId.find('.', first + 1);
  if (second == std::string_view::npos || aId.size() - second - 1 != 16) {
    return std::nullopt;
  }
  const std::string_view random = aId.substr(second + 1);
  if (random.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t issued = 0;
  const char* end = aId.data() + second;
  const auto parsed = std::from_chars(aId.data() + first + 1, end, issued);
  const std::optional<Incarnation> owner = ReadIncarnation(aId.substr(0, first));
  if (parsed.ec != std::errc() || parsed.ptr != end || issued < 0 || !owner) {
    return std::nullopt;
  }
  return ParsedId{ *owner, std::chrono::milliseconds(issued) };
}

class RequestTable final : public IRequestTable
{
public:
  RequestTable(const IClock& aClock, IRandom& aRandom, const Incarnation& aIncarnation, std::size_t aCapacity)
    : clock(aClock)
    , random(aRandom)
    , incarnation(aIncarnation)
    , prefix(ToString(aIncarnation) + ".")
    , shardCapacity(std::max<std::size_t>(1, aCapacity / kTableShardCount))
  {
  }

  Result<std::vector<std::string>> Issue(std::uint32_t aCount) override
  {
    if (aCount == 0 || aCount > kMaxIssuedIds) {
      return Fail(ErrorCode::kBadInput, "requests.issue", "", "count must be 1 to 1000");
    }
    const std::string start = this->prefix + std::to_string(this->NowMs().count()) + ".";
    std::vector<std::string> ids;
    ids.reserve(aCount);
    const std::lock_guard<std::mutex> guard(this->randomMutex);
    for (std::uint32_t i = 0; i < aCount; ++i) {
      char text[17];
      std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(this->random.Next()));
      ids.push_back(start + text);
    }
    return ids;
  }

  ClaimResult Claim(const std::string& aId) override
  {
    ClaimResult result;
    const std::optional<ParsedId> parsed = this->Check(aId, result);
    if (!parsed) {
      return result;
    }
    TableShard& shard = this->ShardOf(aId);
    const std::lock_guard<std::mutex> guard(shard.mutex);
    this->RemoveExpired(shard);
    const auto found = shard.entries.find(aId);
    if (found != shard.entries.end()) {
      return this->Known(found->second);
    }
    if (shard.entries.size() >= this->shardCapacity) {
      result.kind = ClaimResult::Kind::kFull;
      return result;
    }
    shard.entries.emplace(aId, Entry{ parsed->issued, RequestIdState::kRunning, std::nullopt });
    shard.order.push_back(aId);
    result.kind = ClaimResult::Kind::kClaimed;
    result.state = RequestIdState::kRunning;
    return result;
  }

  bool MayWrite(const std::string& aId) const override
  {
    ClaimResult ignored;
    if (!this->Check(aId, ignored)) {
      return false;
    }
    TableShard& shard = this->ShardOf(aId);
    const std::lock_guard<std::mutex> guard(shard.mutex);
    const auto found = shard.entries.find(aId);
    return found != shard.entries.end() && found->second.state == RequestIdState::kRunning;
  }

  void Finish(const std::string& aId, const RequestAnswer& aAnswer) override
  {
    TableShard& shard = this->ShardOf(aId);
    const std::lock_guard<std::mutex> guard(shard.mutex);
    const auto found = shard.entries.find(aId);
    if (found == shard.entries.end() || found->second.state != RequestIdState::kRunning) {
      return;
    }
    found->second.state = StateOf(aAnswer.outcome);
    found->second.answer = aAnswer;
  }

  ClaimResult Find(const std::string& aId) const override
  {
    ClaimResult result;
    if (!this->Check(aId, result)) {
      return result;
    }
    TableShard& shard = this->ShardOf(aId);
    const std::lock_guard<std::mutex> guard(shard.mutex);
    const auto found = shard.entries.find(aId);
    if (found != shard.entries.end()) {
      return this->Known(found->second);
    }
    result.kind = ClaimResult::Kind::kKnown;
    result.state = RequestIdState::kIssued;
    return result;
  }

private:
  struct Entry
  {
    std::chrono::milliseconds issued{ 0 };
    RequestIdState state = RequestIdState::kRunning;
    std::optional<RequestAnswer> answer;
  };

  struct TableShard
  {
    std::mutex mutex;
    std::unordered_map<std::string, Entry> entries;
    std::deque<std::string> order; ///< in the order of the claims
  };

  static RequestIdState StateOf(RequestOutcome aOutcome)
  {
    if (aOutcome == RequestOutcome::kAnswered) {
      return RequestIdState::kDone;
    }
    return aOutcome == RequestOutcome::kNotRun ? RequestIdState::kNotRun : RequestIdState::kUnknown;
  }

  std::chrono::milliseconds NowMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.Now().time_since_epoch());
  }

  bool Expired(std::chrono::milliseconds aIssued) const { return this->NowMs() - aIssued >= kIdLifetime; }

  /// \return the parsed id when it belongs to this incarnation and has not expired; otherwise the reason is
  /// in aResult
  std::optional<ParsedId> Check(const std::string& aId, ClaimResult& aResult) const
  {
    const std::optional<ParsedId> parsed = ParseId(aId);
    if (!parsed) {
      aResult.kind = ClaimResult::Kind::kInvalid;
      return std::nullopt;
    }
    aResult.owner = parsed->owner;
    if (parsed->owner != this->incarnation) {
      aResult.kind = ClaimResult::Kind::kForeign;
      return std::nullopt;
    }
    // This process cannot have issued an id with an issue time in the future.
    if (parsed->issued > this->NowMs()) {
      aResult.kind = ClaimResult::Kind::kInvalid;
      return std::nullopt;
    }
    if (this->Expired(parsed->issued)) {
      aResult.kind = ClaimResult::Kind::kExpired;
      return std::nullopt;
    }
    return parsed;
  }

  ClaimResult Known(const Entry& aEntry) const
  {
    ClaimResult result;
    result.kind = ClaimResult::Kind::kKnown;
    result.state = aEntry.state;
    result.answer = aEntry.answer;
    result.owner = this->incarnation;
    return result;
  }

  /// Removes entries with expired ids. Later claims of these ids are refused by age, without an entry.
  void RemoveExpired(TableShard& aShard)
  {
    // Ids may be claimed in another order than issued, so an expired entry may stay behind a younger one, but
    // for at most one lifetime after its claim.
    while (!aShard.order.empty()) {
      const auto found = aShard.entries.find(aShard.order.front());
      if (found != aShard.entries.end() && !this->Expired(found->second.issued)) {
        return;
      }
      if (found != aShard.entries.end()) {
        aShard.entries.erase(found);
      }
      aShard.order.pop_front();
    }
  }

  TableShard& ShardOf(const std::string& aId) const { return this->shards[Hash64(aId) % kTableShardCount]; }

  const IClock& clock;
  IRandom& random;
  std::mutex randomMutex;
  const Incarnation incarnation;
  const std::string prefix;
  const std::size_t shardCapacity;
  mutable std::array<TableShard, kTableShardCount> shards;
};

} // namespace

std::unique_ptr<IRequestTable>
MakeRequestTable(const IClock& aClock,
                 IRandom& aRandom,
                 const Incarnation& aIncarnation,
                 std::size_t aCapacity)
{
  return std::make_unique<RequestTable>(aClock, aRandom, aIncarnation, aCapacity);
}

} // namespace yp
