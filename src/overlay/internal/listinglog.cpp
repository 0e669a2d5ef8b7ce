#include "overlay/internal/listinglog.h"
#include <algorithm>
#include <set>

namespace yp {

namespace {

// Peers that lag by more removals than this get the whole list.
constexpr std::size_t kMaxRemovals = 4096;

// Half of a frame, because the sizes of elements are estimates.
constexpr std::size_t kPartBytes = kMaxFrameBytes / 2;
// Field names, lengths, ports and flags of a row.
constexpr std::size_t kRowOverhead = 64;

std::size_t
SizeOf(const ListedHost& aHost)
{
  return kRowOverhead + aHost.host.size() + aHost.failureDomain.size() + aHost.region.size() +
         aHost.peerEndpoint.address.size() + aHost.callerEndpoint.address.size() +
         aHost.adminEndpoint.address.size();
}

std::size_t
SizeOf(const std::string& aName)
{
  constexpr std::size_t kLengthBytes = 3;
  return kLengthBytes + aName.size();
}

/// Divides the changes of a listing into parts.
class PartBuilder
{
public:
  PartBuilder(std::uint64_t aBase, std::uint64_t aVersion)
  {
    this->parts.emplace_back();
    this->parts.back().base = aBase;
    this->parts.back().version = aVersion;
  }

  template<class T>
  void Add(std::vector<T> ListingMessage::*aList, const T& aElement)
  {
    if (this->size + SizeOf(aElement) > kPartBytes) {
      ListingMessage next;
      next.base = this->parts.back().base;
      next.version = this->parts.back().version;
      next.part = this->parts.size();
      this->parts.back().last = false;
      this->parts.push_back(std::move(next));
      this->size = 0;
    }
    this->size += SizeOf(aElement);
    (this->parts.back().*aList).push_back(aElement);
  }

  std::vector<ListingMessage> Take() { return std::move(this->parts); }

private:
  std::vector<ListingMessage> parts;
  std::size_t size = 0;
};

template<class T>
void
Append(std::vector<T>& aTo, const std::vector<T>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

bool
Same(const ListedHost& aLeft, const ListedHost& aRight)
{
  return aLeft.failureDomain == aRight.failureDomain && aLeft.region == aRight.region &&
         aLeft.peerEndpoint == aRight.peerEndpoint && aLeft.callerEndpoint == aRight.callerEndpoint &&
         aLeft.adminEndpoint == aRight.adminEndpoint && aLeft.leaving == aRight.leaving;
}

} // namespace

void
ListingLog::Set(const ListedHost& aHost, std::uint64_t aVersion)
{
  Row& row = this->rows[aHost.host];
  if (row.changed == 0 || !Same(row.host, aHost)) {
    row.changed = aVersion;
  }
  row.host = aHost;
  this->removals.erase(aHost.host);
}

void
ListingLog::Remove(const std::string& aHost, std::uint64_t aVersion)
{
  if (this->rows.erase(aHost) != 0) {
    this->removals[aHost] = aVersion;
  }
  if (this->removals.size() > kMaxRemovals) {
    this->removals.clear();
    this->complete = aVersion;
  }
}

bool
ListingLog::Apply(const HostListing& aListing)
{
  if (aListing.version <= this->version) {
    return false;
  }
  if (this->version == 0) {
    this->complete = aListing.version;
  }
  std::set<std::string> named;
  for (const ListedHost& host : aListing.hosts) {
    named.insert(host.host);
    this->Set(host, aListing.version);
  }
  std::vector<std::string> gone;
  for (const auto& row : this->rows) {
    if (named.count(row.first) == 0) {
      gone.push_back(row.first);
    }
  }
  for (const std::string& host : gone) {
    this->Remove(host, aListing.version);
  }
  this->leavingServers = aListing.leavingServers;
  this->version = aListing.version;
  return true;
}

bool
ListingLog::Apply(const ListingMessage& aMessage, LinkId aSource)
{
  if (aMessage.version <= this->version) {
    return false;
  }
  if (aMessage.part == 0) {
    this->partial = aMessage;
    this->partialSource = aSource;
  } else {
    const ListingMessage& known = this->partial;
    const bool follows = aSource == this->partialSource && aMessage.version == known.version &&
                         aMessage.base == known.base && aMessage.part == known.part + 1 && !known.last;
    if (!follows) {
      return false;
    }
    Append(this->partial.hosts, aMessage.hosts);
    Append(this->partial.removed, aMessage.removed);
    Append(this->partial.leavingServers, aMessage.leavingServers);
    this->partial.part = aMessage.part;
    this->partial.last = aMessage.last;
  }
  if (!this->partial.last) {
    return false;
  }
  const ListingMessage whole = std::move(this->partial);
  this->partial = {};
  return this->ApplyWhole(whole);
}

bool
ListingLog::ApplyWhole(const ListingMessage& aMessage)
{
  if (aMessage.base == 0) {
    return this->Apply(HostListing{ aMessage.version, aMessage.hosts, aMessage.leavingServers });
  }
  if (aMessage.version <= this->version || aMessage.base > this->version) {
    return false;
  }
  for (const ListedHost& host : aMessage.hosts) {
    this->Set(host, aMessage.version);
  }
  for (const std::string& host : aMessage.removed) {
    this->Remove(host, aMessage.version);
  }
  this->leavingServers = aMessage.leavingServers;
  this->version = aMessage.version;
  return true;
}

std::vector<ListingMessage>
ListingLog::Since(std::uint64_t aVersion) const
{
  const bool whole = aVersion == 0 || aVersion < this->complete;
  PartBuilder builder(whole ? 0 : aVersion, this->version);
  for (const auto& row : this->rows) {
    if (whole || row.second.changed > aVersion) {
      builder.Add(&ListingMessage::hosts, row.second.host);
    }
  }
  for (const auto& removal : this->removals) {
    if (!whole && removal.second > aVersion) {
      builder.Add(&ListingMessage::removed, removal.first);
    }
  }
  for (const std::string& server : this->leavingServers) {
    builder.Add(&ListingMessage::leavingServers, server);
  }
  return builder.Take();
}

HostListing
ListingLog::Listing() const
{
  HostListing listing;
  listing.version = this->version;
  listing.leavingServers = this->leavingServers;
  for (const auto& row : this->rows) {
    listing.hosts.push_back(row.second.host);
  }
  return listing;
}

bool
ListingLog::NamesOther(const std::string& aHost) const
{
  return std::any_of(this->rows.begin(), this->rows.end(), [&aHost](const auto& aRow) {
    return aRow.first != aHost && !aRow.second.host.leaving;
  });
}

} // namespace yp
