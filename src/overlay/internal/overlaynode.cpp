#include "overlay/internal/overlaynode.h"
#include "overlay/internal/overlaylimits.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPauseGap{ 1 };
// Choosing peers takes about 0.3 us a member; the interval bounds it to 0.2 % of a core.
constexpr std::chrono::microseconds kChoiceIntervalPerMember{ 150 };
constexpr std::size_t kAlwaysReaders = 2;
constexpr std::size_t kMaxReaders = 5;
constexpr seconds kEscalationStep{ 2 };
// When the fleet starts at once, a node hears of most others within this time. Until then it takes listed
// hosts for running, because otherwise all nodes would hold themselves to be the first reader.
constexpr seconds kEarlyTime{ 10 };
constexpr seconds kListPollInterval{ 3 };
constexpr seconds kListCallTimeout{ 10 };
constexpr seconds kListConfirms{ 30 };

} // namespace

std::unique_ptr<IOverlayNode>
MakeOverlayNode(OverlayOptions aOptions)
{
  return std::make_unique<OverlayNode>(std::move(aOptions));
}

OverlayNode::OverlayNode(OverlayOptions aOptions)
  : options(std::move(aOptions))
  , readiness(this->options.clock.Now())
  , startedAt(this->options.clock.Now())
  , lastTick(this->startedAt)
  , knownSince(this->lastTick)
  , lastInForce(this->options.store.InForce())
  , nextListPoll(this->lastTick)
  , alive(std::make_shared<int>(0))
{
  this->Register<HelloMessage>(&OverlayNode::OnHello);
  this->Register<RecordsMessage>(&OverlayNode::OnRecords);
  this->Register<SuspectMessage>(&OverlayNode::OnSuspect);
  this->Register<TicketMessage>(&OverlayNode::OnTicket);
  this->Register<PullMessage>(&OverlayNode::OnPull);
  this->Register<BodiesMessage>(&OverlayNode::OnBodies);
  this->Register<DigestMessage>(&OverlayNode::OnDigest);
  this->Register<BucketsMessage>(&OverlayNode::OnBuckets);
  this->Register<TransferRequestMessage>(&OverlayNode::OnTransferRequest);
  this->Register<TransferChunkMessage>(&OverlayNode::OnTransferChunk);
  this->Register<ListingRequestMessage>(&OverlayNode::OnListingRequest);
  this->Register<ListingMessage>(&OverlayNode::OnListing);
  this->Register<ByeMessage>(&OverlayNode::OnBye);
  this->options.network.OnLink(
    LinkPurpose::kOverlay,
    [this](LinkId aLink, bool aOutbound) { this->OnLinkUp(aLink, aOutbound); },
    [this](LinkId aLink, const Error&) { this->OnLinkDown(aLink); });
  this->reader = MakeConfigReader({ this->options.clock,
                                    this->options.random,
                                    this->options.service,
                                    this->options.store,
                                    [this](const IConfigService::Bodies& aBodies) {
                                      this->CheckPause();
                                      for (const auto& body : aBodies) {
                                        this->AddBody(body.first, body.second, "config_service", kNoLink);
                                      }
                                      this->AfterTickets();
                                    },
                                    [this](TicketNumber aHead, TimePoint aStarted) {
                                      this->CheckPause();
                                      this->freshAt = this->options.clock.Now();
                                      this->readiness.OnServiceContact(aHead, aStarted);
                                    } });
}

template<class T>
void
OverlayNode::Register(void (OverlayNode::*aHandler)(LinkId, Link&, T&))
{
  this->options.network.OnFrame(T::kType, [this, aHandler](LinkId aLink, const PeerFrame& aFrame) {
    this->CheckPause();
    FrameCounters& counter = this->counters[T::kType];
    ++counter.framesIn;
    counter.bytesIn += aFrame.payload.size();
    const auto link = this->links.find(aLink);
    if (link == this->links.end()) {
      return;
    }
    std::optional<T> message = Recover(
      [&aFrame]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(decoded, Decode<T>(aFrame.payload));
        return std::optional<T>(std::move(decoded));
      },
      [this, &link](const Error& aError) -> std::optional<T> {
        ++this->malformed;
        Error error = aError;
        error.peer = link->second.host;
        LogError("peer_frame_malformed", error);
        return std::nullopt;
      });
    if (!message) {
      return;
    }
    link->second.lastHeard = this->options.clock.Now();
    const bool opening = std::string_view(T::kType) == HelloMessage::kType;
    if (!opening && !link->second.established) {
      return;
    }
    (this->*aHandler)(aLink, link->second, *message);
  });
}

void
OverlayNode::SendPayload(LinkId aLink, const char* aType, const std::string& aPayload)
{
  YP_INVARIANT(aPayload.size() <= kMaxFrameBytes, "frame_bounded", aType);
  FrameCounters& counter = this->counters[aType];
  ++counter.framesOut;
  counter.bytesOut += aPayload.size();
  // A frame that is refused is lost like one on the way; digests repair it.
  leaf::try_handle_all(
    [&] {
      return this->options.network.Send(aLink, { aType, aPayload });
    },
    [aType](const Error& aError) {
      LogEvent(
        LogLevel::kDebug, "peer_frame_dropped", { { "type", aType }, { "code", ToString(aError.code) } });
    },
    [] {});
}

void
OverlayNode::CheckPause()
{
  const TimePoint now = this->options.clock.Now();
  if (now - this->lastTick <= kPauseGap) {
    return;
  }
  LogEvent(LogLevel::kInfo,
           "process_paused",
           { { "host", this->options.members.Own().host },
             { "ms", std::chrono::duration_cast<milliseconds>(now - this->lastTick).count() } });
  ++this->pauses;
  this->lastTick = now;
  this->knownSince = now;
  this->readiness.OnPause(now);
  this->options.members.Resume();
  // What peers sent during the pause may still be unread.
  for (auto& link : this->links) {
    link.second.lastHeard = now;
  }
  for (auto& dial : this->dials) {
    if (dial.second.failingSince) {
      dial.second.failingSince = now;
    }
  }
  std::vector<LinkId> established;
  for (const auto& link : this->links) {
    if (link.second.established) {
      established.push_back(link.first);
    }
  }
  for (const LinkId link : established) {
    this->SendDigest(link, this->links.at(link));
  }
}

void
OverlayNode::Tick()
{
  this->CheckPause();
  const TimePoint now = this->options.clock.Now();
  this->lastTick = now;
  this->options.members.Tick();
  this->UpdateView();
  this->MaintainLinks();
  this->OpenMissingLinks();
  this->ReportFailures();
  this->transferSource.Tick(now);
  this->transferSink.Tick(now);
  this->SendPulls();
  this->SendPendingRecords();
  this->SendQueuedReports();
  this->TickReader();
  this->PollHostList();
  this->Evaluate();
}

bool
OverlayNode::Ready()
{
  this->CheckPause();
  return this->readiness.Ready();
}

void
OverlayNode::AnnounceState(MemberState aState)
{
  this->FloodRecords({ this->options.members.SetOwnState(aState) }, kNoLink);
}

void
OverlayNode::Evaluate()
{
  if (this->readiness.Ready()) {
    return;
  }
  this->readiness.Evaluate(
    this->options.clock.Now(), this->options.store.InForce(), this->options.store.Highest(), this->Others());
  if (!this->readiness.Ready()) {
    return;
  }
  if (this->options.members.Own().state == MemberState::kJoining) {
    this->AnnounceState(MemberState::kReady);
  }
}

void
OverlayNode::UpdateView()
{
  const TimePoint now = this->options.clock.Now();
  if (this->view && now < this->nextChoice) {
    return;
  }
  const bool early = now - this->startedAt < kEarlyTime;
  const Ref<const MemberView> current = this->options.members.View();
  if (current == this->view && early == this->rankedEarly) {
    return;
  }
  this->rankedEarly = early;
  this->view = current;
  this->allLinked = false;
  this->nextChoice = now + kChoiceIntervalPerMember * current->members.size();
  this->targets = ChoosePeers(*this->view);
  this->rank = ReaderRank(*this->view, early);
}

// Links

DigestMessage
OverlayNode::NoDigest()
{
  DigestMessage digest;
  digest.ready = false;
  digest.nonce = 0;
  digest.echo = 0;
  return digest;
}

void
OverlayNode::SendDigest(LinkId aLink, Link& aState)
{
  const TimePoint now = this->options.clock.Now();
  // Up to a tenth earlier, so that the digests of many links spread over time.
  const double jitter = 0.9 + this->options.random.Real() / 10;
  aState.nextDigest = now + std::chrono::duration_cast<Duration>(kDigestInterval * jitter);
  DigestMessage digest;
  digest.inForce = this->options.store.InForce();
  digest.highest = this->options.store.Highest();
  digest.missing = this->options.store.Missing(kDigestRanges);
  // The freshness concerns the readers of one domain only.
  if (this->freshAt && aState.domain == this->options.members.Own().failureDomain) {
    digest.freshness = std::chrono::duration_cast<milliseconds>(now - *this->freshAt);
  }
  digest.membershipHash = this->options.members.Hash();
  digest.listingVersion = this->listing.Version();
  digest.ready = this->readiness.Ready();
  digest.nonce = this->readiness.Nonce();
  digest.echo = aState.digest.nonce;
  this->Send(aLink, digest);
}

void
OverlayNode::OnDigest(LinkId aLink, Link& aState, DigestMessage& aMessage)
{
  const TimePoint now = this->options.clock.Now();
  const bool asks = aMessage.nonce != aState.digest.nonce;
  aState.digest = std::move(aMessage);
  const DigestMessage& digest = aState.digest;
  this->readiness.OnAnswer(aState.host, aState.domain, digest, now);
  if (digest.freshness && aState.domain == this->options.members.Own().failureDomain) {
    const TimePoint contact = now - *digest.freshness;
    this->freshAt = this->freshAt ? std::max(*this->freshAt, contact) : contact;
  }
  if (asks) {
    this->SendDigest(aLink, aState);
  }
  this->RepairTickets(aLink, aState);
  this->CompareMembers(aLink, aState);
  if (digest.listingVersion > this->listing.Version() && now >= this->nextListingRequest) {
    this->nextListingRequest = now + kDigestInterval;
    this->Send(aLink, ListingRequestMessage{ this->listing.Version() });
  }
  this->Evaluate();
}

void
OverlayNode::OnListingRequest(LinkId aLink, Link&, ListingRequestMessage& aMessage)
{
  if (aMessage.version < this->listing.Version()) {
    for (const ListingMessage& part : this->listing.Since(aMessage.version)) {
      this->Send(aLink, part);
    }
  }
}

void
OverlayNode::OnListing(LinkId aLink, Link&, ListingMessage& aMessage)
{
  this->TakeListing(this->listing.Apply(aMessage, aLink));
}

void
OverlayNode::TakeListing(bool aNewer)
{
  if (aNewer) {
    this->options.members.ApplyListing(this->listing.Listing());
  }
}

OtherHosts
OverlayNode::Others() const
{
  const std::string& self = this->options.members.Own().host;
  if (!this->listing.NamesOther(self)) {
    return OtherHosts::kNone;
  }
  const Ref<const MemberView> members = this->options.members.View();
  const bool starting =
    std::all_of(members->members.begin(), members->members.end(), [&self](const MemberStatus& aMember) {
      const bool announced = aMember.record.incarnation != Incarnation{};
      const bool joining = announced && aMember.record.state == MemberState::kJoining && !aMember.unreachable;
      return aMember.record.host == self || joining;
    });
  return starting ? OtherHosts::kStarting : OtherHosts::kUnknown;
}

std::optional<Duration>
OverlayNode::FreshnessAge() const
{
  if (!this->freshAt) {
    return std::nullopt;
  }
  return this->options.clock.Now() - *this->freshAt;
}

bool
OverlayNode::ViewConfirmed() const
{
  const bool listRead = this->listReadAt && this->options.clock.Now() - *this->listReadAt <= kListConfirms;
  return listRead || this->EstablishedLinks() != 0;
}

void
OverlayNode::TickReader()
{
  const TimePoint now = this->options.clock.Now();
  // What was not heard during a pause is no sign that the readers are gone.
  const TimePoint heard = this->freshAt ? std::max(*this->freshAt, this->knownSince) : this->knownSince;
  const bool escalated = now - heard > kEscalationStep * static_cast<int>(this->rank + 1);
  const bool reads = this->rank < kAlwaysReaders || (this->rank < kMaxReaders && escalated);
  ReadMode mode = reads ? ReadMode::kFull : ReadMode::kOff;
  if (!this->ViewConfirmed()) {
    mode = ReadMode::kCautious;
  }
  this->readsNow = mode != ReadMode::kOff;
  this->reader->Tick(mode, this->transferSink.Active());
}

void
OverlayNode::PollHostList()
{
  const TimePoint now = this->options.clock.Now();
  if (this->listCallInFlight && now >= this->listCallDeadline) {
    this->listCallInFlight = false;
  }
  if (!this->readsNow || this->listCallInFlight || now < this->nextListPoll) {
    return;
  }
  const double jitter = 0.75 + this->options.random.Real() / 2;
  this->nextListPoll = now + std::chrono::duration_cast<Duration>(kListPollInterval * jitter);
  this->listCallDeadline = now + kListCallTimeout;
  this->listCallInFlight = true;
  const std::weak_ptr<int> weak = this->alive;
  this->options.hostList.Read([this, weak](const std::variant<HostListing, Error>& aAnswer) {
    if (weak.expired()) {
      return;
    }
    this->CheckPause();
    this->listCallInFlight = false;
    if (const auto* read = std::get_if<HostListing>(&aAnswer)) {
      this->listReadAt = this->options.clock.Now();
      this->TakeListing(this->listing.Apply(*read));
    }
  });
}

OverlayStatus
OverlayNode::Status() const
{
  OverlayStatus status;
  status.inForce = this->options.store.InForce();
  status.highest = this->options.store.Highest();
  status.ready = this->readiness.Ready() && this->options.clock.Now() - this->lastTick <= kPauseGap;
  status.notReadyReason = this->readiness.Reason();
  if (!status.ready && status.notReadyReason.empty()) {
    status.notReadyReason = "paused; no exchange since";
  }
  for (const auto& link : this->links) {
    const Link& state = link.second;
    status.links.push_back(
      { link.first, state.host, state.outbound, state.established, state.digest.inForce });
  }
  if (const auto age = this->FreshnessAge()) {
    status.freshness = std::chrono::duration_cast<milliseconds>(*age);
  }
  status.readerRank = this->rank;
  status.reader = this->reader->Status();
  status.viewConfirmed = this->ViewConfirmed();
  status.transferring = this->transferSink.Active();
  status.pauses = this->pauses;
  status.malformedFrames = this->malformed;
  status.frames = this->counters;
  return status;
}

} // namespace yp
