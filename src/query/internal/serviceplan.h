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
  bool local = false; ///< in the failure domain of this node
  std::uint64_t versionsEpoch = 0;
  std::vector<IndexVersion> versions;

  bool VersionsKnown() const { return this->versionsEpoch != 0; }
  bool Serves(IndexVersion aVersion) const;

  /// \return whether it serves the version, or has not reported its versions yet
  bool MayServe(IndexVersion aVersion) const { return !this->VersionsKnown() || this->Serves(aVersion); }

  /// Updates the copy of the versions if they changed.
  void Refresh();
};

/// A part of a lookup that waits until a leaf of its shard has capacity.
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
  bool Complete() const;
};

/// A service's leafs by layout and shard, for one engine. Queries keep the plan that they were started with.
class ServicePlan : public boost::intrusive_ref_counter<ServicePlan, boost::thread_unsafe_counter>
{
public:
  ServicePlan(Ref<const ServiceSpec> aSpec, HealthMap& aHealth, const std::string& aDomain, TimePoint aNow);

  /// Chooses the snapshot for a query that starts now.
  /// \return none until a leaf has reported its versions
  std::optional<SnapshotChoice> Snapshot(TimePoint aNow);

  /// \return the newest layout in which each shard has a leaf; null when there is none
  LayoutPlan* NewestCompleteLayout();

  /// \return the next replica to probe: excluded with its backoff passed, or with unknown versions; null when
  /// there is none
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
