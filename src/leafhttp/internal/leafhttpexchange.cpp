#include "leafhttp/internal/leafhttppool.h"
#include <algorithm>
#include <unordered_map>

namespace yp {

namespace {

// Interval between removals of the pools of withdrawn leafs.
constexpr Duration kPurgeInterval = std::chrono::seconds(2);
constexpr std::uint32_t kDefaultConnectionLimit = 16; // for services that the configuration does not list yet

class LeafHttpExchange final : public ILeafExchange
{
public:
  explicit LeafHttpExchange(const LeafHttpCore& aCore)
    : core(aCore)
  {
    this->SchedulePurge();
  }

  ~LeafHttpExchange() override { this->core.timers.Cancel(this->purgeTimer); }

  void Send(LeafCall aCall, Handler aHandler) override
  {
    LeafHttpPool& pool = this->Pool(aCall.leaf);
    const std::uint64_t id = aCall.id;
    this->calls.emplace(id, &pool);
    pool.Send({ std::move(aCall), [this, id, handler = std::move(aHandler)](LeafResult aResult) {
                 this->calls.erase(id);
                 handler(std::move(aResult));
               } });
  }

  void Cancel(std::uint64_t aCall) override { this->End(aCall, false); }
  bool Withdraw(std::uint64_t aCall) override
  {
    const auto found = this->calls.find(aCall);
    if (found == this->calls.end() || !found->second->Withdraw(aCall)) {
      return false;
    }
    this->calls.erase(found);
    return true;
  }

  void Expire(std::uint64_t aCall) override { this->End(aCall, true); }

  void SetConnectionShare(double aShare) override
  {
    this->share = aShare;
    this->UpdateLimits();
  }

  void SetConnectionLimits(const std::map<std::string, std::uint32_t>& aLimits) override
  {
    this->limits = aLimits;
    this->UpdateLimits();
  }

private:
  void End(std::uint64_t aCall, bool aCloseIdle)
  {
    const auto found = this->calls.find(aCall);
    if (found == this->calls.end()) {
      return;
    }
    LeafHttpPool* pool = found->second;
    this->calls.erase(found);
    pool->Cancel(aCall, aCloseIdle);
  }

  LeafHttpPool& Pool(const Ref<LeafHandle>& aLeaf)
  {
    std::unique_ptr<LeafHttpPool>& pool = this->pools[aLeaf.get()];
    if (!pool) {
      pool = std::make_unique<LeafHttpPool>(this->core, aLeaf);
      pool->SetLimit(this->Limit(aLeaf->registration.service));
    }
    return *pool;
  }

  std::size_t Limit(const std::string& aService) const
  {
    const auto found = this->limits.find(aService);
    const std::uint32_t serviceLimit = found == this->limits.end() ? kDefaultConnectionLimit : found->second;
    return static_cast<std::size_t>(serviceLimit * this->share);
  }

  void UpdateLimits()
  {
    for (const auto& [leaf, pool] : this->pools) {
      pool->SetLimit(this->Limit(pool->Service()));
    }
  }

  void SchedulePurge()
  {
    this->purgeTimer = this->core.timers.At(this->core.clock.Now() + kPurgeInterval, [this] {
      for (auto it = this->pools.begin(); it != this->pools.end();) {
        it = it->second->IsRemovable() ? this->pools.erase(it) : std::next(it);
      }
      this->SchedulePurge();
    });
  }

  LeafHttpCore core;
  double share = 1;
  std::map<std::string, std::uint32_t> limits;
  std::unordered_map<const LeafHandle*, std::unique_ptr<LeafHttpPool>> pools;
  std::unordered_map<std::uint64_t, LeafHttpPool*> calls;
  TimerId purgeTimer = 0;
};

} // namespace

std::unique_ptr<ILeafExchange>
MakeLeafHttpExchange(boost::asio::io_context& aContext,
                     const IClock& aClock,
                     ITimers& aTimers,
                     const ILeafDialect& aDialect,
                     LeafHttpStats& aStats,
                     const LeafHttpSettings& aSettings)
{
  return std::make_unique<LeafHttpExchange>(
    LeafHttpCore{ aContext, aClock, aTimers, aDialect, aStats, aSettings });
}

} // namespace yp
