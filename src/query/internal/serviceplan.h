#ifndef YP_QUERY_INTERNAL_SERVICEPLAN_H
#define YP_QUERY_INTERNAL_SERVICEPLAN_H

#include "query/internal/leafhealth.h"
#include "query/internal/snapshotchooser.h"
#include <deque>

namespace yp {

/// A leaf in an engine's plan, with a copy of the versions that it serves.
struct Replica
{
  const LeafSpec* leaf = nullptr;
  Ref<LeafHealth> health;
  bool local = false; ///< in this node's failure domain
  std::uint64_t versionsEpoch = 0;
  std::vector<IndexVersion> versions;

  bool Known() const { return this->versionsEpoch != 0; }
  bool Serves(IndexVersion aVersion) const;

  /// \return whether it serves the version, or has never said what it serves
  bool MayServe(IndexVersion aVersion) const { return !this->Known() || this->Serves(aVersion); }

  /// Copies the versions again when they changed.
  void Refresh();
};

/// A part of a lookup that waits until a leaf of its shard has room.
struct Waiter
{
  std::uint64_t lookup = 0;
  std::uint32_t generation = 0;
  std::size_t part = 0;
};

struct ShardPlan
{
  ShardId shard = 0;
  std::uint64_t weight = 0;
  std::vector<Replica> replicas;
  std::uint32_t nextRoundRobin = 0;
  std::deque<Waiter> waiting;
};

struct LayoutPlan
{
  LayoutId layout = 0;
  std::uint64_t totalWeight = 0;
  std::vector<ShardPlan> shards;

  /// \return whether each shard has a leaf
  bool Whole() const;
};

/// A service's leafs by layout and shard, for one engine. Queries keep the plan that they began with.
class ServicePlan : public boost::intrusive_ref_counter<ServicePlan, boost::thread_unsafe_counter>
{
public:
  ServicePlan(Ref<const ServiceSpec> aSpec, HealthMap& aHealth, const std::string& aDomain, TimePoint aNow);

  /// Chooses the snapshot for a query that starts now.
  /// \return none while no leaf has named its versions
  std::optional<SnapshotChoice> Snapshot(TimePoint aNow);

  /// \return the newest layout in which each shard has a leaf; null when there is none
  LayoutPlan* NewestWhole();

  /// \return the next replica that is worth a probe: excluded with its backoff over, or of unknown versions
  /// while others are known; null when there is none
  Replica* NextProbe(TimePoint aNow);

  LayoutPlan* Find(LayoutId aLayout);

  const Ref<const ServiceSpec> spec;
  const Ref<ServiceHealth> health;
  std::vector<LayoutPlan> layouts; ///< newest first

private:
  void FindProbes(TimePoint aNow);

  std::uint64_t chosenEpoch = 0;
  TimePoint chosenAt;
  std::optional<SnapshotChoice> chosen;
  std::vector<Replica*> probes;
};

} // namespace yp

#endif
