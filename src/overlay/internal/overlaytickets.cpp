#include "overlay/internal/overlaylimits.h"
#include "overlay/internal/overlaynode.h"
#include <algorithm>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInlineBytes = 2048;
// Larger bodies go inline to this many links only; all links would cost more than 12 KB a change and node.
constexpr std::size_t kInlineToAllBytes = 256;
constexpr std::size_t kInlineLinks = 2;
// Time in which an inline body may still arrive from another peer before it is pulled.
constexpr milliseconds kInlineGrace{ 100 };
constexpr milliseconds kDigestGrace{ 300 };
constexpr std::size_t kPullNumbers = 64;
constexpr std::size_t kPartBytes = 512 * 1024;
constexpr std::size_t kMaxPullAnswerBytes = 4 * 1024 * 1024;
// Stores keep the last 256 tickets; above this gap they may be gone before they are pulled.
constexpr TicketNumber kLongestPulledGap = 200;
// A newcomer takes a transfer unless the whole history is as short as this.
constexpr TicketNumber kShortHistory = 8;

} // namespace

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

} // namespace yp
