#ifndef YP_QUERY_INTERNAL_LEAFHEALTH_H
#define YP_QUERY_INTERNAL_LEAFHEALTH_H

#include "query/ileaftransport.h"
#include "query/internal/concurrencylimit.h"
#include "query/internal/latencytracker.h"
#include "query/query.h"
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace yp {

/// Health of one leaf as observed by this node. Thread-safe; attempts update atomics, and only the list of
/// versions needs a lock.
class LeafHealth : public boost::intrusive_ref_counter<LeafHealth, boost::thread_safe_counter>
{
public:
  LeafHealth(std::string aServer, std::uint32_t aSlots, std::uint32_t aFactor, TimePoint aNow);

  void OnSend() { this->inFlight.fetch_add(1, std::memory_order_relaxed); }

  /// Updates the health from a reply; ends the attempt counted by OnSend.
  /// \param aCancelled this node cancelled the attempt, so its end does not count as a failure of the leaf
  /// \param aWaited time since Send
  /// \return whether versions, draining or exclusion changed
  bool OnReply(const LeafReply& aReply, bool aCancelled, Duration aWaited, TimePoint aNow);

  /// \return the load score; lower is better
  double Score(TimePoint aNow) const;

  /// \return the share of its normal load that a cold leaf gets, up to 1
  double RampWeight(TimePoint aNow, Duration aRamp) const;

  bool HasCapacity() const { return this->InFlight() < this->limit.Limit(); }
  std::uint32_t InFlight() const { return this->inFlight.load(std::memory_order_relaxed); }
  std::uint32_t Limit() const { return this->limit.Limit(); }

  /// \return whether the leaf must not get new requests
  bool Draining(TimePoint aNow) const;

  /// \return whether the leaf itself reported that it is draining
  bool ReportedDraining(TimePoint aNow) const;

  /// \return the state for operators, without the leaf's name
  LeafObservation Observe(TimePoint aNow) const;

  bool Excluded() const { return this->excluded.load(std::memory_order_relaxed); }

  /// \return whether the leaf is excluded, its backoff has passed and no other probe is in flight
  bool ProbeDue(TimePoint aNow) const;

  /// Sets whether the server of the leaf is leaving.
  /// \return whether the state changed
  bool SetLeaving(bool aLeaving) { return this->leaving.exchange(aLeaving) != aLeaving; }
  const std::string& Server() const { return this->server; }

  /// \return number of changes of the list of versions; 0 until the leaf has reported one
  std::uint64_t VersionsEpoch() const { return this->versionsEpoch.load(std::memory_order_acquire); }
  std::vector<IndexVersion> Versions() const;

private:
  bool UpdateVersions(const std::vector<IndexVersion>& aVersions);
  bool OnFailure(TimePoint aNow);
  bool OnSuccess(TimePoint aNow);
  void AddSample(Duration aLatency, bool aLowerBound, TimePoint aNow);

  const std::string server;
  ConcurrencyLimit limit;
  std::atomic<std::uint32_t> inFlight{ 0 };
  std::atomic<std::int64_t> latency{ 0 }; ///< EWMA, ns; 0 without samples
  std::atomic<std::int64_t> lastSample{ 0 };
  std::atomic<std::uint32_t> errorRate{ 0 }; ///< EWMA of errors and shed replies, per mille
  std::atomic<std::uint32_t> failures{ 0 };  ///< consecutive
  std::atomic<std::uint32_t> exclusions{ 0 };
  std::atomic<bool> excluded{ false };
  std::atomic<std::int64_t> probeAt{ 0 };
  std::atomic<std::int64_t> rampFrom;
  std::atomic<std::int64_t> drainingUntil{ 0 };
  std::atomic<bool> leaving{ false };
  std::atomic<std::uint64_t> versionsEpoch{ 0 };
  mutable std::mutex versionsMutex;
  std::vector<IndexVersion> versions; ///< descending
};

/// Latency and overload of one service as observed by this node.
class ServiceHealth : public boost::intrusive_ref_counter<ServiceHealth, boost::thread_safe_counter>
{
public:
  LatencyTracker latency;
  std::atomic<std::uint64_t> epoch{ 1 };        ///< counts changes that affect the choice of a snapshot
  std::atomic<std::uint32_t> latePerMille{ 0 }; ///< EWMA of the parts that exceed the hedge delay
  std::atomic<std::uint32_t> shedPerMille{ 0 }; ///< EWMA of shed replies

  /// Updates an EWMA with a sample.
  static void UpdateEwma(std::atomic<std::uint32_t>& aValue, std::uint32_t aPerMille, std::uint32_t aSamples);

  /// \return whether hedges and retries are suppressed, because many leafs are slow or shed
  bool SuppressesExtraLoad() const;
};

/// The health records of all services and leafs that this node has used.
class HealthMap
{
public:
  explicit HealthMap(std::uint32_t aSlotsFactor)
    : slotsFactor(aSlotsFactor)
  {
  }

  Ref<ServiceHealth> Service(const std::string& aService);

  /// \return the record of a leaf; a changed server, address, layout or shard gives a new record
  Ref<LeafHealth> Leaf(const ServiceSpec& aService, const LeafSpec& aLeaf, TimePoint aNow);

  void SetLeavingServers(const std::set<std::string>& aServers);

  /// \return the servers whose leafs reported that they are draining
  std::set<std::string> DrainingServers(TimePoint aNow) const;

  /// \return the records of a service for operators
  std::vector<LeafObservation> Observe(const std::string& aService, TimePoint aNow) const;

private:
  struct Entry
  {
    Ref<ServiceHealth> health;
    std::map<std::string, Ref<LeafHealth>> leafs;
  };

  const std::uint32_t slotsFactor;
  mutable std::mutex mutex;
  std::map<std::string, Entry> services;
  std::set<std::string> leavingServers;
};

} // namespace yp

#endif
