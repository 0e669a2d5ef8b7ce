#include "overlay/internal/overlaynode.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPauseGap{ 1 };
constexpr seconds kDigestInterval{ 1 };
// Three digests in a row are lost.
constexpr seconds kLinkSilence{ 3 };
constexpr milliseconds kFirstRedial{ 200 };
// Links return within this time and one handshake after a partition heals; 4 s are allowed in all.
constexpr milliseconds kLongestRedial{ 1500 };
// A restarted process answers again within this time and is then not reported.
constexpr seconds kReportAfter{ 2 };
constexpr seconds kFirstReportInterval{ 10 };
constexpr seconds kLongestReportInterval{ 600 };
// Keeps links from flapping while views differ.
constexpr seconds kSpareLinkTime{ 10 };
constexpr std::size_t kInlineBytes = 2048;
// Larger bodies go inline to this many links only; all links would cost more than 12 KB a change and node.
constexpr std::size_t kInlineToAllBytes = 256;
constexpr std::size_t kInlineLinks = 2;
// Time in which an inline body may still arrive from another peer before it is pulled.
constexpr milliseconds kInlineGrace{ 100 };
constexpr milliseconds kDigestGrace{ 300 };
// Announcements that are not urgent wait for the next tick and go to this many links together; digests
// repair what is missed.
constexpr std::size_t kRecordLinks = 4;
constexpr std::size_t kRecordsPerFrame = 1000;
constexpr std::size_t kPullNumbers = 64;
constexpr std::size_t kPartBytes = 512 * 1024;
constexpr std::size_t kMaxPullAnswerBytes = 4 * 1024 * 1024;
constexpr std::size_t kDigestRanges = 4;
// Stores keep the last 256 tickets; above this gap they may be gone before they are pulled.
constexpr TicketNumber kLongestPulledGap = 200;
// A newcomer takes a transfer unless the whole history is as short as this.
constexpr TicketNumber kShortHistory = 8;
constexpr seconds kBucketsInterval{ 3 };
// A node compares tables with one peer at a time: each peer would send a newcomer the whole table.
constexpr seconds kCompareInterval{ 1 };
// While reports of a mass loss spread, tables differ everywhere and comparisons help little.
constexpr seconds kLoadedCompareInterval{ 10 };
constexpr std::size_t kReportsPerComparison = 64;
// Queued reports go to this many links; comparisons of tables repair what is missed.
constexpr std::size_t kQueuedReportLinks = 3;
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
constexpr LinkId kNoLink = 0;

void
Shuffle(std::vector<LinkId>& aLinks, IRandom& aRandom)
{
  for (std::size_t i = aLinks.size(); i > 1; --i) {
    std::swap(aLinks[i - 1], aLinks[aRandom.Below(i)]);
  }
}

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

template<class T>
void
OverlayNode::Send(LinkId aLink, const T& aMessage)
{
  this->SendPayload(aLink, T::kType, Encode(aMessage));
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

bool
OverlayNode::HasLinkTo(const std::string& aHost) const
{
  return std::any_of(this->links.begin(), this->links.end(), [&aHost](const auto& aLink) {
    return aLink.second.established ? aLink.second.host == aHost : aLink.second.target == aHost;
  });
}

std::size_t
OverlayNode::EstablishedLinks() const
{
  return static_cast<std::size_t>(std::count_if(
    this->links.begin(), this->links.end(), [](const auto& aLink) { return aLink.second.established; }));
}

void
OverlayNode::OpenMissingLinks()
{
  if (this->allLinked) {
    return;
  }
  this->allLinked = true;
  const TimePoint now = this->options.clock.Now();
  std::set<std::string> wanted = this->targets;
  // A host whose link was lost is dialled once more, even if it is no chosen peer: only a failed attempt is
  // evidence.
  for (const auto& dial : this->dials) {
    if (dial.second.failingSince) {
      wanted.insert(dial.first);
    }
  }
  for (const std::string& host : wanted) {
    const MemberRecord* record = this->options.members.Find(host);
    if (record == nullptr || record->state == MemberState::kGone) {
      this->dials.erase(host);
      continue;
    }
    if (this->HasLinkTo(host)) {
      continue;
    }
    this->allLinked = false;
    Dial& dial = this->dials[host];
    if (now < dial.next) {
      continue;
    }
    const LinkId id = this->options.network.Open(record->peerEndpoint, LinkPurpose::kOverlay);
    Link& link = this->links[id];
    link.outbound = true;
    link.target = host;
    link.lastHeard = now;
  }
}

void
OverlayNode::DialFailed(const std::string& aHost)
{
  if (aHost.empty()) {
    return;
  }
  this->allLinked = false;
  const TimePoint now = this->options.clock.Now();
  Dial& dial = this->dials[aHost];
  dial.backoff = std::clamp(dial.backoff * 2, kFirstRedial, kLongestRedial);
  const double jitter = 0.5 + this->options.random.Real() / 2;
  dial.next = now + std::chrono::duration_cast<milliseconds>(dial.backoff * jitter);
  if (!dial.failingSince) {
    dial.failingSince = now;
  }
}

void
OverlayNode::ReportFailures()
{
  const TimePoint now = this->options.clock.Now();
  for (auto& entry : this->dials) {
    Dial& dial = entry.second;
    const MemberRecord* record = this->options.members.Find(entry.first);
    if (!dial.failingSince || record == nullptr || now - *dial.failingSince < kReportAfter) {
      continue;
    }
    const bool reported =
      dial.reportedIncarnation == record->incarnation && dial.reportedSequence == record->sequence;
    if (now < dial.nextReport) {
      continue;
    }
    const bool announced = record->incarnation != Incarnation{};
    if (reported || !announced) {
      continue;
    }
    dial.reportedIncarnation = record->incarnation;
    dial.reportedSequence = record->sequence;
    // Where only some paths are cut, each report is refuted; the interval grows so that this ends.
    dial.reportInterval = std::clamp(dial.reportInterval * 2, kFirstReportInterval, kLongestReportInterval);
    dial.nextReport = now + dial.reportInterval;
    const Suspicion report = this->options.members.LinkFailed(entry.first);
    this->options.members.ApplySuspicion(report);
    this->FloodSuspicion(report, kNoLink);
  }
}

void
OverlayNode::MaintainLinks()
{
  const TimePoint now = this->options.clock.Now();
  std::vector<LinkId> silent;
  std::vector<LinkId> spare;
  std::vector<LinkId> due;
  for (auto& entry : this->links) {
    Link& link = entry.second;
    if (now - link.lastHeard >= kLinkSilence) {
      silent.push_back(entry.first);
    } else if (link.established && link.outbound && this->targets.count(link.host) == 0 &&
               now - link.establishedAt >= kSpareLinkTime) {
      spare.push_back(entry.first);
    } else if (link.established && now >= link.nextDigest) {
      due.push_back(entry.first);
    }
  }
  for (const LinkId link : silent) {
    this->CloseLink(link, true);
  }
  for (const LinkId link : spare) {
    this->Send(link, ByeMessage{});
    this->CloseLink(link, false);
  }
  for (const LinkId link : due) {
    this->SendDigest(link, this->links.at(link));
  }
}

void
OverlayNode::CloseLink(LinkId aLink, bool aFailed)
{
  this->options.network.Close(aLink);
  if (aFailed) {
    this->OnLinkDown(aLink);
    return;
  }
  this->allLinked = false;
  this->links.erase(aLink);
  this->pulls.DropLink(aLink);
  this->transferSink.DropLink(aLink);
}

void
OverlayNode::OnLinkUp(LinkId aLink, bool aOutbound)
{
  this->CheckPause();
  this->allLinked = false;
  Link& link = this->links[aLink];
  link.outbound = aOutbound;
  link.up = true;
  link.lastHeard = this->options.clock.Now();
  this->Send(aLink, HelloMessage{ this->options.members.Own() });
}

void
OverlayNode::OnLinkDown(LinkId aLink)
{
  this->CheckPause();
  const auto found = this->links.find(aLink);
  if (found == this->links.end()) {
    return;
  }
  const bool established = found->second.established;
  const std::string host = established ? found->second.host : found->second.target;
  this->allLinked = false;
  this->links.erase(found);
  this->pulls.DropLink(aLink);
  this->transferSink.DropLink(aLink);
  if (this->HasLinkTo(host)) {
    return;
  }
  this->DialFailed(host);
  // The loss of a link alone is followed by one attempt; its failure makes the host unreachable here.
  if (!established && !host.empty()) {
    this->options.members.LinkFailed(host);
  }
}

bool
OverlayNode::KeepLink(LinkId aLink, const Link& aState)
{
  const std::string& self = this->options.members.Own().host;
  for (auto entry = this->links.begin(); entry != this->links.end(); ++entry) {
    const Link& other = entry->second;
    if (entry->first == aLink || !other.established || other.host != aState.host) {
      continue;
    }
    // Both sides keep the link that the host with the smaller name dialled, and otherwise the newer one.
    const bool sameRun = other.incarnation == aState.incarnation;
    const bool otherPreferred = other.outbound == (self < other.host);
    const bool keepOther = sameRun && other.outbound != aState.outbound && otherPreferred;
    const LinkId closed = keepOther ? aLink : entry->first;
    this->Send(closed, ByeMessage{});
    this->CloseLink(closed, false);
    return !keepOther;
  }
  return true;
}

void
OverlayNode::OnHello(LinkId aLink, Link& aState, HelloMessage& aMessage)
{
  const MemberRecord& record = aMessage.record;
  if (record.host == this->options.members.Own().host) {
    this->CloseLink(aLink, false);
    return;
  }
  if (aState.outbound && aState.target != record.host) {
    // Another host has taken over the address.
    const std::string target = aState.target;
    this->DialFailed(target);
    this->options.members.LinkFailed(target);
  }
  const TimePoint now = this->options.clock.Now();
  this->allLinked = false;
  aState.host = record.host;
  aState.domain = record.failureDomain;
  aState.incarnation = record.incarnation;
  aState.established = true;
  aState.establishedAt = now;
  this->Merge({ record }, aLink, true);
  this->options.members.LinkUp(record.host);
  this->dials.erase(record.host);
  if (this->options.members.BelievedUnreachable(record.host)) {
    // The member learns of the reports and refutes them.
    const MemberRecord* known = this->options.members.Find(record.host);
    const MemberRecord& own = this->options.members.Own();
    this->Send(aLink,
               SuspectMessage{
                 { { known->host, known->incarnation, known->sequence, own.host, own.failureDomain } } });
  }
  if (!this->KeepLink(aLink, aState)) {
    return;
  }
  this->SendDigest(aLink, aState);
}

void
OverlayNode::OnBye(LinkId aLink, Link& aState, ByeMessage&)
{
  // A peer that closes on purpose is given time before it is dialled again.
  if (this->targets.count(aState.host) != 0) {
    this->dials[aState.host].next = this->options.clock.Now() + kDigestInterval;
  }
  this->CloseLink(aLink, false);
}

// Tickets

void
OverlayNode::AddBody(TicketNumber aNumber,
                     const std::string& aBody,
                     const std::string& aLearntFrom,
                     LinkId aFrom)
{
  if (this->options.store.Add(aNumber, aBody, aLearntFrom) == AddResult::kAdded) {
    this->FloodTicket(aNumber, aFrom);
  }
  this->pulls.Done(aNumber);
}

void
OverlayNode::FloodTicket(TicketNumber aNumber, LinkId aFrom)
{
  const std::optional<TicketHeader> header = this->options.store.Header(aNumber);
  if (!header) {
    return;
  }
  const std::optional<std::string> body = this->options.store.Body(aNumber);
  std::vector<LinkId> receivers;
  for (auto& entry : this->links) {
    Link& link = entry.second;
    const bool knows = link.digest.inForce >= aNumber || link.hasTickets.count(aNumber) != 0;
    if (link.established && entry.first != aFrom && !knows) {
      receivers.push_back(entry.first);
      link.hasTickets.insert(aNumber);
    }
  }
  Shuffle(receivers, this->options.random);
  const std::string plain = Encode(TicketMessage{ *header, body.has_value(), std::nullopt });
  std::size_t inlineLinks = 0;
  std::string full;
  if (body && body->size() <= kInlineBytes) {
    inlineLinks = body->size() <= kInlineToAllBytes ? receivers.size() : kInlineLinks;
    full = Encode(TicketMessage{ *header, true, body });
  }
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    this->SendPayload(receivers[i], TicketMessage::kType, i < inlineLinks ? full : plain);
  }
}

void
OverlayNode::AfterTickets()
{
  const TicketNumber inForce = this->options.store.InForce();
  YP_INVARIANT(inForce >= this->lastInForce,
               "overlay_in_force_never_decreases",
               std::to_string(this->lastInForce) + " to " + std::to_string(inForce));
  if (inForce != this->lastInForce) {
    this->lastInForce = inForce;
    this->pulls.DropUpTo(inForce);
    for (auto& link : this->links) {
      auto& numbers = link.second.hasTickets;
      numbers.erase(numbers.begin(), numbers.upper_bound(inForce));
    }
  }
  this->Evaluate();
}

void
OverlayNode::OnTicket(LinkId aLink, Link& aState, TicketMessage& aMessage)
{
  const TicketNumber number = aMessage.header.number;
  // Digests bring what is further ahead. One wrong number must not become the highest known to all: nodes
  // would take the service for stale, and newcomers would wait for it.
  const TicketNumber inForce = this->options.store.InForce();
  if (number <= inForce || number > inForce + kLongestPulledGap) {
    return;
  }
  if (aState.hasTickets.size() < kLongestPulledGap) {
    aState.hasTickets.insert(number);
  }
  if (this->options.store.Header(number)) {
    return;
  }
  if (aMessage.body) {
    if (Hash128Hex(*aMessage.body) != aMessage.header.hash) {
      ++this->malformed;
      return;
    }
    this->AddBody(number, *aMessage.body, aState.host, aLink);
    this->AfterTickets();
    return;
  }
  const bool wanted = !this->options.interest || this->options.interest(aMessage.header);
  if (!wanted) {
    this->options.store.AddHeader(aMessage.header, aState.host);
    this->FloodTicket(number, aLink);
    this->AfterTickets();
    return;
  }
  if (!aMessage.hasBody) {
    return;
  }
  const bool mayComeInline = aMessage.header.size <= kInlineBytes;
  const milliseconds grace = mayComeInline ? kInlineGrace : milliseconds(0);
  this->pulls.Want(number, aLink, this->options.clock.Now() + grace);
  this->pulls.Expect(number, aMessage.header.hash);
  this->SendPulls();
}

void
OverlayNode::SendPulls()
{
  for (const auto& request : this->pulls.Due(this->options.clock.Now())) {
    for (std::size_t from = 0; from < request.second.size(); from += kPullNumbers) {
      const std::size_t to = std::min(from + kPullNumbers, request.second.size());
      PullMessage message;
      message.numbers.assign(request.second.begin() + static_cast<std::ptrdiff_t>(from),
                             request.second.begin() + static_cast<std::ptrdiff_t>(to));
      this->Send(request.first, message);
    }
  }
}

void
OverlayNode::OnPull(LinkId aLink, Link&, PullMessage& aMessage)
{
  if (aMessage.numbers.size() > kPullNumbers) {
    aMessage.numbers.resize(kPullNumbers);
  }
  BodiesMessage answer;
  std::size_t size = 0;
  std::size_t total = 0;
  for (const TicketNumber number : aMessage.numbers) {
    std::optional<std::string> body = this->options.store.Body(number);
    if (!body) {
      answer.absent.push_back(number);
      continue;
    }
    total += body->size();
    // What does not fit is asked for again after the timeout.
    if (total > kMaxPullAnswerBytes) {
      break;
    }
    if (size != 0 && size + body->size() > kPartBytes) {
      this->Send(aLink, answer);
      answer = {};
      size = 0;
    }
    size += body->size();
    answer.bodies.emplace_back(number, std::move(*body));
  }
  this->Send(aLink, answer);
}

void
OverlayNode::OnBodies(LinkId aLink, Link& aState, BodiesMessage& aMessage)
{
  for (const auto& body : aMessage.bodies) {
    const bool near = body.first <= this->options.store.InForce() + kLongestPulledGap;
    if (!near || !this->pulls.Matches(body.first, body.second)) {
      ++this->malformed;
      this->pulls.Absent(body.first, aLink);
      continue;
    }
    this->AddBody(body.first, body.second, aState.host, aLink);
  }
  bool dropped = false;
  for (const TicketNumber number : aMessage.absent) {
    this->pulls.Absent(number, aLink);
    dropped = dropped || (number <= aState.digest.inForce && number > this->options.store.InForce());
  }
  this->AfterTickets();
  if (dropped && !this->transferSink.Active() && aState.digest.inForce > this->options.store.InForce()) {
    this->Send(aLink, this->transferSink.Start(aLink, this->options.clock.Now()));
  }
  this->SendPulls();
}

void
OverlayNode::OnTransferRequest(LinkId aLink, Link&, TransferRequestMessage& aMessage)
{
  this->Send(aLink, this->transferSource.Serve(aMessage, this->options.store, this->options.clock.Now()));
}

void
OverlayNode::OnTransferChunk(LinkId aLink, Link& aState, TransferChunkMessage& aMessage)
{
  const auto next = this->transferSink.Take(aLink, std::move(aMessage), this->options.clock.Now());
  if (next) {
    this->Send(aLink, *next);
    return;
  }
  const std::optional<StateTransfer> transfer = this->transferSink.Complete();
  if (transfer && this->options.store.Import(*transfer, aState.host)) {
    this->AfterTickets();
  }
}

// Membership

void
OverlayNode::FloodRecords(const std::vector<MemberRecord>& aRecords, LinkId aFrom)
{
  const std::string payload = Encode(RecordsMessage{ aRecords, true });
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aFrom) {
      this->SendPayload(link.first, RecordsMessage::kType, payload);
    }
  }
}

void
OverlayNode::SendPendingRecords()
{
  if (this->pendingRecords.empty()) {
    return;
  }
  // A record that came over one link only need not go back over it.
  const LinkId from = this->pendingRecords.size() == 1 ? this->pendingRecords.begin()->second : kNoLink;
  const std::vector<LinkId> receivers = this->RandomLinks(kRecordLinks, from);
  if (receivers.empty()) {
    return;
  }
  RecordsMessage message;
  const auto send = [&] {
    const std::string payload = Encode(message);
    for (const LinkId link : receivers) {
      this->SendPayload(link, RecordsMessage::kType, payload);
    }
    message.records.clear();
  };
  for (const auto& pending : this->pendingRecords) {
    const MemberRecord* record = this->options.members.Find(pending.first);
    if (record != nullptr) {
      message.records.push_back(*record);
    }
    if (message.records.size() == kRecordsPerFrame) {
      send();
    }
  }
  if (!message.records.empty()) {
    send();
  }
  this->pendingRecords.clear();
}

void
OverlayNode::FloodSuspicion(const Suspicion& aSuspicion, LinkId aFrom)
{
  if (!this->reports.Pass(aSuspicion, this->options.clock.Now())) {
    return;
  }
  const std::string payload = Encode(SuspectMessage{ { aSuspicion } });
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aFrom) {
      this->SendPayload(link.first, SuspectMessage::kType, payload);
    }
  }
}

void
OverlayNode::SendQueuedReports()
{
  if (!this->reports.Loaded()) {
    return;
  }
  SuspectMessage message;
  for (Suspicion& report : this->reports.Due(this->options.clock.Now())) {
    const MemberRecord* record = this->options.members.Find(report.host);
    const bool current =
      record != nullptr && record->incarnation == report.incarnation && record->sequence <= report.sequence;
    if (current) {
      message.suspicions.push_back(std::move(report));
    }
  }
  if (message.suspicions.empty()) {
    return;
  }
  const std::string payload = Encode(message);
  for (const LinkId link : this->RandomLinks(kQueuedReportLinks, kNoLink)) {
    this->SendPayload(link, SuspectMessage::kType, payload);
  }
}

std::vector<LinkId>
OverlayNode::RandomLinks(std::size_t aCount, LinkId aExcept)
{
  std::vector<LinkId> chosen;
  for (const auto& link : this->links) {
    if (link.second.established && link.first != aExcept) {
      chosen.push_back(link.first);
    }
  }
  Shuffle(chosen, this->options.random);
  chosen.resize(std::min(chosen.size(), aCount));
  return chosen;
}

void
OverlayNode::Merge(const std::vector<MemberRecord>& aRecords, LinkId aFrom, bool aNews)
{
  std::vector<MemberRecord> urgent;
  bool refute = false;
  for (const MemberRecord& record : aRecords) {
    const MergeResult result = this->options.members.ApplyRecord(record);
    refute = refute || result == MergeResult::kRefute;
    if (result != MergeResult::kChanged) {
      continue;
    }
    if (record.state == MemberState::kLeaving || record.state == MemberState::kGone) {
      urgent.push_back(record);
    } else if (aNews) {
      this->pendingRecords[record.host] = aFrom;
    }
  }
  if (refute) {
    this->FloodRecords({ this->options.members.Own() }, kNoLink);
  }
  if (!urgent.empty()) {
    this->FloodRecords(urgent, aFrom);
  }
}

void
OverlayNode::OnRecords(LinkId aLink, Link&, RecordsMessage& aMessage)
{
  this->Merge(aMessage.records, aLink, aMessage.news);
}

void
OverlayNode::OnSuspect(LinkId aLink, Link&, SuspectMessage& aMessage)
{
  bool refute = false;
  for (const Suspicion& suspicion : aMessage.suspicions) {
    const MergeResult result = this->options.members.ApplySuspicion(suspicion);
    refute = refute || result == MergeResult::kRefute;
    if (result == MergeResult::kChanged) {
      this->FloodSuspicion(suspicion, aLink);
    }
  }
  if (refute) {
    this->FloodRecords({ this->options.members.Own() }, kNoLink);
  }
}

void
OverlayNode::OnBuckets(LinkId aLink, Link&, BucketsMessage& aMessage)
{
  this->SendDifference(aLink, aMessage.hashes);
  if (aMessage.wantReply) {
    this->Send(aLink, BucketsMessage{ this->options.members.BucketHashes(), false });
  }
}

void
OverlayNode::SendDifference(LinkId aLink, const std::vector<std::uint64_t>& aHashes)
{
  RecordsMessage message;
  message.news = false;
  for (MemberRecord& record : this->options.members.Difference(aHashes)) {
    message.records.push_back(std::move(record));
    if (message.records.size() == kRecordsPerFrame) {
      this->Send(aLink, message);
      message.records.clear();
    }
  }
  if (!message.records.empty()) {
    this->Send(aLink, message);
  }
  SuspectMessage believed{ this->options.members.BelievedReports(aHashes) };
  std::vector<Suspicion>& list = believed.suspicions;
  if (list.size() > kReportsPerComparison) {
    // A random part each time, so that repeated comparisons cover all.
    const auto start = static_cast<std::ptrdiff_t>(this->options.random.Below(list.size()));
    std::rotate(list.begin(), list.begin() + start, list.end());
    list.resize(kReportsPerComparison);
  }
  if (!list.empty()) {
    this->Send(aLink, believed);
  }
}

void
OverlayNode::CompareMembers(LinkId aLink, Link& aState)
{
  if (aState.digest.membershipHash == this->options.members.Hash()) {
    aState.hashMismatches = 0;
    return;
  }
  const TimePoint now = this->options.clock.Now();
  const bool newcomer = !this->readiness.Ready();
  // A newcomer asks by itself; otherwise the side with the smaller name does. A first mismatch is common
  // while an announcement travels.
  const bool peerNewcomer = !aState.digest.ready;
  const bool smaller = this->options.members.Own().host < aState.host;
  const bool starts = newcomer == peerNewcomer ? smaller : newcomer;
  const bool first = ++aState.hashMismatches == 1 && !newcomer;
  if (!starts || first || now < aState.nextBuckets || now < this->nextCompare) {
    return;
  }
  const bool loaded = this->reports.Loaded() && !newcomer;
  aState.nextBuckets = now + kBucketsInterval;
  this->nextCompare = now + (loaded ? kLoadedCompareInterval : kCompareInterval);
  this->Send(aLink, BucketsMessage{ this->options.members.BucketHashes(), true });
}

// Digests

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
OverlayNode::RepairTickets(LinkId aLink, const Link& aState)
{
  const TicketNumber inForce = this->options.store.InForce();
  const DigestMessage& digest = aState.digest;
  const TimePoint now = this->options.clock.Now();
  const TicketNumber gap = digest.inForce > inForce ? digest.inForce - inForce : 0;
  if (gap > (inForce == 0 ? kShortHistory : kLongestPulledGap)) {
    if (!this->transferSink.Active()) {
      this->Send(aLink, this->transferSink.Start(aLink, now));
    }
    return;
  }
  // Above its number in force a peer has what its list does not name; a full list may be cut off.
  const bool wholeList = digest.missing.size() < kDigestRanges;
  const TicketNumber top = wholeList ? std::max(digest.inForce, digest.highest) : digest.inForce;
  const auto has = [&digest](TicketNumber aNumber) {
    return std::none_of(digest.missing.begin(), digest.missing.end(), [aNumber](const TicketRange& aRange) {
      return aNumber >= aRange.first && aNumber <= aRange.last;
    });
  };
  // What a peer names is not noted in the store, because it may be wrong.
  const TicketNumber last = std::min(top, inForce + kLongestPulledGap);
  for (TicketNumber number = inForce + 1; number <= last; ++number) {
    if (has(number) && !this->options.store.Header(number)) {
      this->pulls.Want(number, aLink, now + kDigestGrace);
    }
  }
}

// Host list and configuration service

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
