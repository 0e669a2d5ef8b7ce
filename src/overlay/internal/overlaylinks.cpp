#include "overlay/internal/overlaylimits.h"
#include "overlay/internal/overlaynode.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

} // namespace

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
  if (this->options.members.ConfirmedUnreachable(record.host)) {
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

} // namespace yp
