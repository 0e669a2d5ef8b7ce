#ifndef YP_GATEWAY_LEAFDIRECTORY_H
#define YP_GATEWAY_LEAFDIRECTORY_H

#include "framework/global/global.h"
#include "gateway/concurrencylimit.h"
#include <boost/intrusive/list.hpp>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// What a leaf registered of itself.
struct LeafRegistration
{
  std::string id; ///< of this incarnation; may be used again by a later one with another start
  std::string service;
  Endpoint endpoint;
  std::string failureDomain;
  std::uint32_t slots = 1;
  bool draining = false;
  std::chrono::milliseconds warmupLeft{ 0 }; ///< how much longer the leaf is slow after its start
  std::uint64_t startTimeMs = 0;             ///< time of its start, ms since the epoch; 0 when not given

  bool operator==(const LeafRegistration& aOther) const;
};

/// A call that has not ended, in the order of sending.
struct OutstandingCall
  : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  TimePoint sentAt;
  Duration expected{ 0 }; ///< usual time of such a request
};

/// What this node has seen of one leaf.
class LeafCondition
{
public:
  void OnSend(OutstandingCall& aCall, TimePoint aNow);

  /// The leaf answered, with any status.
  void OnAnswer(Duration aElapsed, Duration aExpected, TimePoint aNow);

  /// The leaf refused or failed a request.
  void OnFailure(TimePoint aNow);

  /// The leaf did not answer, could not be reached, or broke off. Calls sent before an exclusion began do not
  /// make it longer.
  void OnUnreachable(TimePoint aSentAt, TimePoint aNow);

  /// A call was given up by this node, which says nothing of the leaf.
  void OnCancelled() { this->probing = false; }

  /// Another leaf has the address.
  void OnMisdirected(TimePoint aNow);

  /// \return expected time of a request that usually takes aTypical
  Duration ExpectedTime(Duration aTypical, std::uint32_t aSlots, TimePoint aNow) const;

  /// \return whether it has not answered for longer than its requests usually take
  bool Unresponsive(TimePoint aNow) const;

  /// \return whether it gets no requests but probes
  bool Excluded(TimePoint aNow) const { return aNow < this->excludedUntil || this->probing; }

  /// \return when the exclusion ends
  TimePoint ExcludedUntil() const { return this->excludedUntil; }

  /// \return share of refused, failed and lost requests, moving average, 0 to 1
  double FailureRate(TimePoint aNow) const;

  std::size_t InFlight() const { return this->outstanding.size(); }

private:
  using Calls = boost::intrusive::list<OutstandingCall, boost::intrusive::constant_time_size<false>>;

  double Slowness(TimePoint aNow) const;
  void AddFailure(TimePoint aNow);

  Calls outstanding;
  double slowness = 1; ///< moving average of elapsed over expected time
  double failureRate = 0;
  TimePoint lastAnswer;
  TimePoint slownessAt;
  TimePoint failureRateAt;
  TimePoint excludedAt;
  TimePoint excludedUntil;
  std::uint32_t unreachableCount = 0; ///< in a row
  bool probing = false;               ///< a request was sent after an exclusion and is not answered yet
};

/// One leaf with its registration and its condition.
struct LeafHandle : RefCounted<LeafHandle>
{
  LeafRegistration registration;
  LeafCondition condition;
  ConcurrencyLimit limit;
  TimePoint coldUntil;    ///< slow before it
  bool withdrawn = false; ///< no longer registered, or its address belongs to another leaf

  /// \return whether it may get new requests
  bool AcceptsRequests() const { return !this->withdrawn && !this->registration.draining; }
};

/// The leafs that are registered now, by service.
class LeafDirectory
{
public:
  explicit LeafDirectory(const IClock& aClock)
    : clock(aClock)
  {
  }

  /// Takes over one registration; a later start under the same id is a new leaf.
  /// \return whether anything changed
  bool Apply(const LeafRegistration& aRegistration);

  /// Forgets a leaf; requests in flight end as they would.
  /// \return whether it was known
  bool Remove(const std::string& aId);

  /// \return the leafs of a service, open or not; empty for an unknown one
  const std::vector<Ref<LeafHandle>>& Leafs(const std::string& aService) const;

  std::size_t Count() const { return this->byId.size(); }

private:
  void Unlink(const Ref<LeafHandle>& aLeaf);

  const IClock& clock;
  std::map<std::string, Ref<LeafHandle>> byId;
  std::map<std::string, std::vector<Ref<LeafHandle>>> byService;
  std::map<Endpoint, Ref<LeafHandle>> byEndpoint;
};

} // namespace yp

#endif
