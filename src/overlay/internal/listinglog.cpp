#include "overlay/internal/listinglog.h"
#include <algorithm>
#include <set>

namespace yp {

namespace {

// Peers that lag by more removals than this get the whole list.
constexpr std::size_t kMaxRemovals = 4096;

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
ListingLog::Apply(const ListingMessage& aMessage)
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

ListingMessage
ListingLog::Since(std::uint64_t aVersion) const
{
  const bool whole = aVersion == 0 || aVersion < this->complete;
  ListingMessage message;
  message.base = whole ? 0 : aVersion;
  message.version = this->version;
  message.leavingServers = this->leavingServers;
  for (const auto& row : this->rows) {
    if (whole || row.second.changed > aVersion) {
      message.hosts.push_back(row.second.host);
    }
  }
  for (const auto& removal : this->removals) {
    if (!whole && removal.second > aVersion) {
      message.removed.push_back(removal.first);
    }
  }
  return message;
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
