#include "leaf/internal/leafpool.h"
#include <boost/asio/post.hpp>

namespace yp {

namespace {

class LeafPools final : public ILeafPools
{
public:
  LeafPools(const std::vector<boost::asio::io_context*>& aContexts,
            const IClock& aClock,
            LeafPoolSettings aSettings)
    : settings(std::move(aSettings))
  {
    for (std::size_t i = 0; i < aContexts.size(); ++i) {
      this->pools.push_back(std::make_unique<LeafPool>(i, *aContexts[i], aClock, this->settings));
    }
    for (const auto& pool : this->pools) {
      pool->SetPeers(this->pools);
    }
  }

  ILeafTransport& Transport(std::size_t aThread) override { return *this->pools.at(aThread); }
  void Update(const TicketState& aState, const Placement& aPlacement) override;
  void Stop() override;
  LeafPoolCounters Counters() const override;

private:
  const LeafPoolSettings settings;
  std::vector<std::unique_ptr<LeafPool>> pools;
};

void
LeafPools::Update(const TicketState& aState, const Placement& aPlacement)
{
  std::vector<std::vector<LeafShare>> shares(this->pools.size());
  for (const auto& placed : aPlacement.services) {
    const auto service = aState.FindService(placed.first);
    if (!service) {
      continue;
    }
    for (const auto& spec : service->leafs) {
      const auto own = placed.second.ownConnections.find(spec.leaf);
      if (own == placed.second.ownConnections.end() || own->second == 0) {
        continue;
      }
      const auto hash = LeafPool::HashOf(service->name, spec.leaf);
      shares[LeafPool::OwnerOf(hash, this->pools.size())].push_back(
        LeafShare{ service->name, spec.leaf, spec.endpoint, own->second });
    }
  }
  for (std::size_t i = 0; i < this->pools.size(); ++i) {
    LeafPool* pool = this->pools[i].get();
    boost::asio::post(pool->Context(), [pool, part = std::move(shares[i])] { pool->ApplyShares(part); });
  }
}

void
LeafPools::Stop()
{
  for (const auto& pool : this->pools) {
    boost::asio::post(pool->Context(), [target = pool.get()] { target->Stop(); });
  }
}

LeafPoolCounters
LeafPools::Counters() const
{
  LeafPoolCounters sum;
  for (const auto& pool : this->pools) {
    const AtomicCounters& part = std::as_const(*pool).Counters();
    sum.written += part.written.load(std::memory_order_relaxed);
    sum.answered += part.answered.load(std::memory_order_relaxed);
    sum.notRun += part.notRun.load(std::memory_order_relaxed);
    sum.unknown += part.unknown.load(std::memory_order_relaxed);
    sum.cancelled += part.cancelled.load(std::memory_order_relaxed);
    sum.opened += part.opened.load(std::memory_order_relaxed);
    sum.refused += part.refused.load(std::memory_order_relaxed);
    sum.discarded += part.discarded.load(std::memory_order_relaxed);
    sum.open += part.open.load(std::memory_order_relaxed);
    sum.crossThreadPosts += part.crossThreadPosts.load(std::memory_order_relaxed);
  }
  return sum;
}

} // namespace

std::unique_ptr<ILeafPools>
MakeLeafPools(const std::vector<boost::asio::io_context*>& aContexts,
              const IClock& aClock,
              LeafPoolSettings aSettings)
{
  return std::make_unique<LeafPools>(aContexts, aClock, std::move(aSettings));
}

} // namespace yp
