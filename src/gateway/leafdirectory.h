#ifndef YP_GATEWAY_LEAFDIRECTORY_H
#define YP_GATEWAY_LEAFDIRECTORY_H

#include "framework/global/global.h"
#include "gateway/concurrencylimit.h"
#include <boost/intrusive/list.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yp {

/// Registration data of a leaf, as published by the leaf.
struct LeafRegistration
{
  std::string id; ///< a restarted leaf may reuse it with another start time
  std::string service;
  Endpoint endpoint;
  std::string failureDomain;
  std::uint32_t slots = 1;
  bool draining = false;
  std::chrono::milliseconds warmupLeft{ 0 }; ///< remaining time in which the leaf is slow after its start
  std::uint64_t startTimeMs = 0;             ///< start of the leaf, ms since the epoch; 0 when not given
  std::uint64_t sequence = 0; ///< order of what one start of the leaf writes; 0 when not given; not compared
  std::uint64_t revision = 0; ///< position in the order of publication; not compared

  bool operator==(const LeafRegistration& aOther) const;
};

/// A call in progress; member of the leaf's list of calls in the order of sending.
struct OutstandingCall
  : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  TimePoint sentAt;
  Duration expected{ 0 }; ///< typical time of such a request
};

/// Condition of one leaf as this node observes it: speed, failures, reachability and calls in progress.
class LeafCondition
{
public:
  /// Records that a call was sent. The call stays in the list until it is unlinked or destroyed.
  void OnSend(OutstandingCall& aCall, TimePoint aNow);

  /// Records a complete successful answer.
  /// \param aExpected typical time of such a request when it was sent
  void OnAnswer(Duration aElapsed, Duration aExpected, TimePoint aNow);

  /// Records that the leaf refused a request or answered it with a failure.
  void OnFailure(TimePoint aNow);

  /// Records that the leaf did not answer in time or refused the connection. Calls sent before the current
  /// exclusion began do not extend it.
  void OnUnreachable(TimePoint aSentAt, TimePoint aNow);

  /// Records that the connection ended before the answer was complete. The leaf is there and may have free
  /// slots, so this counts less towards an exclusion than an unreachable leaf.
  void OnAnswerLost(TimePoint aSentAt, TimePoint aNow);

  /// Records that the leaf asked for a pause, which is no failure.
  void OnTurnedAway(TimePoint aNow);

  /// Records that this node cancelled a call, which is no evidence about the leaf.
  void OnCancelled() { this->probing = false; }

  /// Records that another leaf uses this leaf's address.
  void OnMisdirected(TimePoint aNow);

  /// \return expected time of one more request, given its typical time at a normal leaf
  Duration ExpectedTime(Duration aTypical, std::uint32_t aSlots, TimePoint aNow) const;

  /// \return whether the leaf has calls in progress and has not answered for longer than they normally take
  bool Unresponsive(TimePoint aNow) const;

  /// \return whether the leaf is excluded from requests, or a probe after an exclusion is in progress
  bool Excluded(TimePoint aNow) const { return aNow < this->excludedUntil || this->probing; }

  /// \return when the exclusion ends
  TimePoint ExcludedUntil() const { return this->excludedUntil; }

  /// \return moving average of the share of refused, failed and unanswered requests, 0 to 1
  double FailureRate(TimePoint aNow) const;

  std::size_t InFlight() const { return this->outstanding.size(); }

private:
  using Calls = boost::intrusive::list<OutstandingCall, boost::intrusive::constant_time_size<false>>;

  double Slowness(TimePoint aNow) const;
  void AddFailure(TimePoint aNow);
  void AddUnanswered(std::uint32_t aWeight, TimePoint aSentAt, TimePoint aNow);

  Calls outstanding;
  double slowness = 1; ///< moving average of elapsed divided by expected time
  double failureRate = 0;
  TimePoint lastAnswer;
  TimePoint slownessAt;
  TimePoint failureRateAt;
  TimePoint excludedAt;
  TimePoint excludedUntil;
  std::uint32_t unansweredWeight = 0; ///< weights of the calls without an answer since the last answer
  bool probing = false;               ///< a probe after an exclusion has no result yet
};

/// What a leaf says of itself in an answer, beside the answer.
struct LeafNotice
{
  bool leaving = false; ///< the leaf leaves and gets no new requests
  /// The leaf turned the request away and gets no others for this time.
  std::optional<Duration> pause;
  bool malformedPause = false; ///< the leaf gave a time that cannot be read
};

/// What changed at a leaf by a notice.
struct LeafNoticeEffect
{
  bool leavingBegan = false;
  bool pauseBegan = false;
};

/// What a leaf said of itself in its answers and registrations. It holds for one start of the leaf, whatever
/// becomes of its registration.
struct LeafIncarnation
  : RefCounted<LeafIncarnation>
  , boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  bool leaving = false;                 ///< the leaf leaves; nothing takes this back
  std::optional<TimePoint> pausedUntil; ///< end of the last pause that the leaf asked for
  std::uint64_t drainingSequence = 0;   ///< sequence of its last registration as draining
  std::uint64_t lastSequence = 0;       ///< sequence of its last registration
  std::uint64_t lastRevision = 0;       ///< position of its last registration
  bool removed = false;                 ///< its registration was removed, and the leaf has written none since
  std::optional<TimePoint> heldUntil;   ///< until then a removed registration from a copy may lapse

  /// Without a start time, a sequence that begins anew shows a start, unless the source returned from a copy.
  /// \return whether a registration with the same key is of a later start
  bool EndedBefore(const LeafRegistration& aRegistration) const
  {
    return aRegistration.startTimeMs == 0 && aRegistration.sequence < this->lastSequence &&
           EraOf(aRegistration.revision) == EraOf(this->lastRevision);
  }

  /// \return whether a copy of the source brought a removed registration back, which the leaf may not know
  bool Held(TimePoint aNow) const { return this->heldUntil && aNow < *this->heldUntil; }

  /// Records a registration, which may be older than the known one.
  void Apply(const LeafRegistration& aRegistration, TimePoint aNow);

  std::string key;    ///< of the directory, which identifies the start
  TimePoint forgetAt; ///< while the leaf is not registered
};

/// One leaf with its registration, observed condition and call limit.
struct LeafHandle : RefCounted<LeafHandle>
{
  LeafRegistration registration;
  Ref<LeafIncarnation> incarnation{ new LeafIncarnation }; ///< shared by all registrations of one start
  LeafCondition condition;
  ConcurrencyLimit limit;
  TimePoint coldUntil;     ///< the leaf is slow after its start until then
  bool withdrawn = false;  ///< no longer registered, for good
  bool superseded = false; ///< a later registration holds its address; ends when that one is removed

  /// Applies what the leaf said in an answer. Nothing takes a notice of leaving back. A pause is never
  /// shortened: during it the leaf gets no requests, so any further answer may have been sent before the one
  /// that began it. \param aRequest id of the request that was answered, for the log
  LeafNoticeEffect Apply(const LeafNotice& aNotice, const std::string& aRequest, TimePoint aNow);

  /// \return whether the leaf gets no requests because it asked for a pause, or is held
  bool Paused(TimePoint aNow) const
  {
    const std::optional<TimePoint>& pausedUntil = this->incarnation->pausedUntil;
    return (pausedUntil && aNow < *pausedUntil) || this->incarnation->Held(aNow);
  }

  /// \return whether the leaf announced in an answer that it leaves
  bool Leaving() const { return this->incarnation->leaving; }

  /// \return whether the leaf drains. A registration from before it said so may be published after it.
  bool Draining() const
  {
    return this->registration.draining || this->registration.sequence < this->incarnation->drainingSequence;
  }

  /// After a pause the number of calls grows gradually to the leaf's slots.
  /// \return whether the leaf gets no further request now: it pauses, or has enough calls for the time since
  bool TurnsAway(TimePoint aNow) const;

  /// \return when a leaf that turns requests away is expected to take one
  TimePoint ReturnsAt(TimePoint aNow) const;

  /// \return whether the leaf may get new requests
  bool AcceptsRequests() const
  {
    return !this->withdrawn && !this->superseded && !this->Leaving() && !this->Draining();
  }
};

/// The currently registered leafs, by service. Of several registrations of one address the latest published
/// one holds the address, in whatever order they are applied; the others get no requests while it does.
class LeafDirectory
{
public:
  explicit LeafDirectory(const IClock& aClock)
    : clock(aClock)
  {
  }

  /// Applies one registration. The same id with another start time, service or endpoint is a new leaf.
  /// \return whether anything changed
  bool Apply(const LeafRegistration& aRegistration);

  /// \return whether a registration cannot be of the leaf that is registered under its id: one start of a
  /// leaf has
  ///   one service and one address, and a leaf that gives its start time always gives it
  bool Conflicts(const LeafRegistration& aRegistration) const;

  /// Removes a leaf; its requests in flight continue.
  /// \return whether the leaf was registered
  bool Remove(const std::string& aId);

  /// Sets the services that the configuration names. A registration of another service takes no address, as
  /// another writer may have made it.
  void SetServices(std::set<std::string> aServices);

  /// \return all leafs of a service, including those that accept no requests; empty for an unknown service
  const std::vector<Ref<LeafHandle>>& Leafs(const std::string& aService) const;

  bool IsRegistered(const std::string& aId) const { return this->byId.count(aId) != 0; }

  std::size_t Count() const { return this->byId.size(); }

  /// \return registered leafs whose address a later registration holds
  std::size_t CountSuperseded() const;

  /// \return starts of leafs of which something is kept, those of removed leafs included
  std::size_t CountIncarnations() const { return this->incarnations.size(); }

private:
  using Incarnations = boost::intrusive::list<LeafIncarnation, boost::intrusive::constant_time_size<false>>;

  void SetRegistration(LeafHandle& aLeaf, const LeafRegistration& aRegistration);

  /// \return the incarnation that a registration belongs to, which is kept until the registration is removed
  Ref<LeafIncarnation> FindIncarnation(const LeafRegistration& aRegistration);

  /// Keeps the incarnation of a removed leaf for a while.
  void Retire(LeafIncarnation& aIncarnation);

  /// Forgets the incarnations of removed leafs that are due, and the oldest ones above the limit.
  void ForgetRetired();

  void Unlink(const Ref<LeafHandle>& aLeaf);

  /// Decides which registration of an address holds it.
  void UpdateHolder(const std::vector<Ref<LeafHandle>>& aSharing);
  bool IsNamed(const std::string& aService) const;

  const IClock& clock;
  std::map<std::string, Ref<LeafHandle>> byId;
  std::map<std::string, std::vector<Ref<LeafHandle>>> byService;
  std::map<Endpoint, std::vector<Ref<LeafHandle>>> byEndpoint; ///< in the order of their first application
  std::map<std::string, Ref<LeafIncarnation>> incarnations;    ///< by LeafIncarnation::key
  Incarnations retired;                                        ///< of removed leafs, the oldest first
  std::size_t retiredCount = 0;
  std::set<std::string> services; ///< empty before the first configuration
};

} // namespace yp

#endif
