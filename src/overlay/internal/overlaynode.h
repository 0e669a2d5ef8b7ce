#ifndef YP_OVERLAY_INTERNAL_OVERLAYNODE_H
#define YP_OVERLAY_INTERNAL_OVERLAYNODE_H

#include "overlay/internal/configreader.h"
#include "overlay/internal/listinglog.h"
#include "overlay/internal/peerchoice.h"
#include "overlay/internal/pullqueue.h"
#include "overlay/internal/readiness.h"
#include "overlay/internal/reportqueue.h"
#include "overlay/internal/statetransfer.h"
#include "overlay/overlay.h"
#include <map>
#include <set>

namespace yp {

/// Connects the parts of the engine with links and frames.
class OverlayNode final : public IOverlayNode
{
public:
  explicit OverlayNode(OverlayOptions aOptions);

  void Tick() override;
  bool Ready() override;
  void AnnounceState(MemberState aState) override;
  OverlayStatus Status() const override;

private:
  struct Link
  {
    bool outbound = false;
    bool up = false;
    bool established = false; ///< the peer's hello has arrived
    std::string target;       ///< host that was dialled
    std::string host;
    std::string domain;
    Incarnation incarnation;
    TimePoint lastHeard;
    TimePoint establishedAt;
    TimePoint nextDigest;
    TimePoint nextBuckets;
    DigestMessage digest = NoDigest(); ///< last one received
    int hashMismatches = 0;            ///< digests in a row with another membership hash
    std::set<TicketNumber> hasTickets; ///< tickets that the peer announced
  };

  /// \return what is assumed of a peer before its first digest
  static DigestMessage NoDigest();

  /// Attempts to reach a host.
  struct Dial
  {
    std::chrono::milliseconds backoff{ 0 };
    TimePoint next;
    std::optional<TimePoint> failingSince;
    Incarnation reportedIncarnation;
    std::uint64_t reportedSequence = 0;
    std::chrono::seconds reportInterval{ 0 };
    TimePoint nextReport;
  };

  template<class T>
  void Register(void (OverlayNode::*aHandler)(LinkId, Link&, T&));
  template<class T>
  void Send(LinkId aLink, const T& aMessage)
  {
    this->SendPayload(aLink, T::kType, Encode(aMessage));
  }
  void SendPayload(LinkId aLink, const char* aType, const std::string& aPayload);
  void CheckPause();

  void OnLinkUp(LinkId aLink, bool aOutbound);
  void OnLinkDown(LinkId aLink);
  void OnHello(LinkId aLink, Link& aState, HelloMessage& aMessage);
  void OnRecords(LinkId aLink, Link& aState, RecordsMessage& aMessage);
  void OnSuspect(LinkId aLink, Link& aState, SuspectMessage& aMessage);
  void OnTicket(LinkId aLink, Link& aState, TicketMessage& aMessage);
  void OnPull(LinkId aLink, Link& aState, PullMessage& aMessage);
  void OnBodies(LinkId aLink, Link& aState, BodiesMessage& aMessage);
  void OnDigest(LinkId aLink, Link& aState, DigestMessage& aMessage);
  void OnBuckets(LinkId aLink, Link& aState, BucketsMessage& aMessage);
  void OnTransferRequest(LinkId aLink, Link& aState, TransferRequestMessage& aMessage);
  void OnTransferChunk(LinkId aLink, Link& aState, TransferChunkMessage& aMessage);
  void OnListingRequest(LinkId aLink, Link& aState, ListingRequestMessage& aMessage);
  void OnListing(LinkId aLink, Link& aState, ListingMessage& aMessage);
  void OnBye(LinkId aLink, Link& aState, ByeMessage& aMessage);

  bool KeepLink(LinkId aLink, const Link& aState);
  void CloseLink(LinkId aLink, bool aFailed);
  void DialFailed(const std::string& aHost);
  void MaintainLinks();
  void OpenMissingLinks();
  void ReportFailures();
  void UpdateView();
  bool HasLinkTo(const std::string& aHost) const;
  std::size_t EstablishedLinks() const;

  void AddBody(TicketNumber aNumber, const std::string& aBody, const std::string& aLearntFrom, LinkId aFrom);
  void FloodTicket(TicketNumber aNumber, LinkId aFrom);
  void AfterTickets();
  void SendPulls();
  void RepairTickets(LinkId aLink, const Link& aState);
  void FloodRecords(const std::vector<MemberRecord>& aRecords, LinkId aFrom);
  void SendPendingRecords();
  void SendQueuedReports();
  static void Shuffle(std::vector<LinkId>& aLinks, IRandom& aRandom);
  std::vector<LinkId> RandomLinks(std::size_t aCount, LinkId aExcept);
  void FloodSuspicion(const Suspicion& aSuspicion, LinkId aFrom);
  void Merge(const std::vector<MemberRecord>& aRecords, LinkId aFrom, bool aNews);
  void SendDigest(LinkId aLink, Link& aState);
  void CompareMembers(LinkId aLink, Link& aState);
  void SendDifference(LinkId aLink, const std::vector<std::uint64_t>& aHashes);

  void Evaluate();
  void TickReader();
  void PollHostList();
  void TakeListing(bool aNewer);
  OtherHosts Others() const;
  std::optional<Duration> FreshnessAge() const;
  bool ViewConfirmed() const;

  OverlayOptions options;
  std::map<LinkId, Link> links;
  std::map<std::string, Dial> dials;
  std::set<std::string> targets;
  Ref<const MemberView> view;
  TimePoint nextChoice;                         ///< earliest time to choose peers anew
  std::map<std::string, LinkId> pendingRecords; ///< hosts to announce at the next tick; link they came from
  TimePoint nextCompare;                        ///< earliest time to compare tables with any peer
  ReportQueue reports;
  bool allLinked = false; ///< no host is to be dialled until a link or the view changes
  PullQueue pulls;
  TransferSource transferSource;
  TransferSink transferSink;
  ListingLog listing;
  Readiness readiness;
  std::unique_ptr<IConfigReader> reader;
  std::size_t rank = 0;
  TimePoint startedAt;
  bool rankedEarly = false; ///< the rank counts hosts that have not announced themselves
  TimePoint lastTick;
  TimePoint knownSince; ///< start or end of the last pause
  TicketNumber lastInForce = 0;
  std::optional<TimePoint> freshAt; ///< last contact of the domain with the service
  std::optional<TimePoint> listReadAt;
  TimePoint nextListPoll;
  TimePoint listCallDeadline;
  bool listCallInFlight = false;
  bool readsNow = false;
  TimePoint nextListingRequest;
  std::shared_ptr<int> alive;
  std::uint64_t pauses = 0;
  std::uint64_t malformed = 0;
  std::map<std::string, FrameCounters> counters;
};

} // namespace yp

#endif
