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

/// What this node has seen of one leaf. Thread-safe; the attempt path uses atomics, and the list of versions
/// a short lock when it changes.
class LeafHealth : public boost::intrusive_ref_counter<LeafHealth, boost::thread_safe_counter>
{
public:
  LeafHealth(std::string aServer, std::uint32_t aSlots, std::uint32_t aFactor, TimePoint aNow);

  void OnSend() { this->inFlight.fetch_add(1, std::memory_order_relaxed); }

  /// Takes a reply into account; ends the attempt that OnSend began.
  /// \param aCancelled this node cancelled the attempt, so that its end says nothing of the leaf's health
  /// \param aWaited time since Send
  /// \return whether versions, draining or exclusion changed
  bool OnReply(const LeafReply& aReply, bool aCancelled, Duration aWaited, TimePoint aNow);

  /// \return the load score; lower is better
  double Score(TimePoint aNow) const;

  /// \return the share of ordinary load that a cold leaf gets, up to 1
  double RampWeight(TimePoint aNow, Duration aRamp) const;

  bool HasRoom() const { return this->InFlight() < this->limit.Limit(); }
  std::uint32_t InFlight() const { return this->inFlight.load(std::memory_order_relaxed); }
  std::uint32_t Limit() const { return this->limit.Limit(); }

  /// \return whether new work must not go to it
  bool Draining(TimePoint aNow) const;

  /// \return whether the leaf itself said that it is leaving
  bool SaidDraining(TimePoint aNow) const;

  /// \return the state for operators, without the leaf's name
  LeafObservation Observe(TimePoint aNow) const;

  bool Excluded() const { return this->excluded.load(std::memory_order_relaxed); }

  /// \return whether it is excluded and its backoff has passed, and no other probe is in flight
  bool ProbeDue(TimePoint aNow) const;

  /// Marks whether its server is named as leaving.
  /// \return whether that is a change
  bool SetLeaving(bool aLeaving) { return this->leaving.exchange(aLeaving) != aLeaving; }
  const std::string& Server() const { return this->server; }

  /// Counts the changes of the list of versions; 0 while nothing is known.
  std::uint64_t VersionsEpoch() const { return this->versionsEpoch.load(std::memory_order_acquire); }
  std::vector<IndexVersion> Versions() const;

private:
  bool LearnVersions(const std::vector<IndexVersion>& aVersions);
  bool OnFailure(TimePoint aNow);
  bool OnSuccess(TimePoint aNow);
  void AddSample(Duration aLatency, bool aLowerBound, TimePoint aNow);

  const std::string server;
  ConcurrencyLimit limit;
  std::atomic<std::uint32_t> inFlight{ 0 };
  std::atomic<std::int64_t> latency{ 0 }; ///< EWMA, ns; 0 without samples
  std::atomic<std::int64_t> lastSample{ 0 };
  std::atomic<std::uint32_t> errorRate{ 0 }; ///< EWMA of errors and shed replies, per mille
  std::atomic<std::uint32_t> failures{ 0 };  ///< in a row
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

/// What this node has seen of a service: its leafs and its latency.
class ServiceHealth : public boost::intrusive_ref_counter<ServiceHealth, boost::thread_safe_counter>
{
public:
  LatencyTracker latency;
  std::atomic<std::uint64_t> epoch{ 1 };        ///< counts changes that a choice of snapshot depends on
  std::atomic<std::uint32_t> latePerMille{ 0 }; ///< EWMA of the parts that miss the hedge delay
  std::atomic<std::uint32_t> shedPerMille{ 0 }; ///< EWMA of shed replies

  /// Moves an EWMA towards a sample.
  static void Move(std::atomic<std::uint32_t>& aValue, std::uint32_t aPerMille, std::uint32_t aSamples);

  /// \return whether extra attempts would only add load: most leafs are slow, or many shed
  bool Holding() const;
};

/// The health records of all leafs that this node has met.
class HealthMap
{
public:
  explicit HealthMap(std::uint32_t aSlotsFactor)
    : slotsFactor(aSlotsFactor)
  {
  }

  Ref<ServiceHealth> Service(const std::string& aService);

  /// \return the record of a leaf; a leaf under another server or address is another leaf
  Ref<LeafHealth> Leaf(const ServiceSpec& aService, const LeafSpec& aLeaf, TimePoint aNow);

  void SetLeavingServers(const std::set<std::string>& aServers);

  /// \return the servers whose leafs said that they are leaving
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
