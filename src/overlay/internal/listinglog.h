#ifndef YP_OVERLAY_INTERNAL_LISTINGLOG_H
#define YP_OVERLAY_INTERNAL_LISTINGLOG_H

#include "overlay/internal/messages.h"
#include <map>

namespace yp {

/// The newest host list, with the version at which each host last changed, so that peers get only changes.
class ListingLog
{
public:
  /// Takes over a whole reading of the host list.
  /// \return whether it is newer
  bool Apply(const HostListing& aListing);

  /// Takes over a part of a peer's changes. They apply when all parts have come in their order.
  /// \param aSource link that the part came over
  /// \return whether the changes are complete, newer and apply to the current version
  bool Apply(const ListingMessage& aMessage, LinkId aSource);

  /// \return what a peer at a version lacks, in parts that fit into a frame each
  std::vector<ListingMessage> Since(std::uint64_t aVersion) const;

  /// \return the whole list
  HostListing Listing() const;

  /// \return whether a host that stays is listed besides the given one
  bool NamesOther(const std::string& aHost) const;

  std::uint64_t Version() const { return this->version; }

private:
  struct Row
  {
    ListedHost host;
    std::uint64_t changed = 0;
  };

  bool ApplyWhole(const ListingMessage& aMessage);
  void Set(const ListedHost& aHost, std::uint64_t aVersion);
  void Remove(const std::string& aHost, std::uint64_t aVersion);

  std::uint64_t version = 0;
  std::uint64_t complete = 0; ///< removals are known for peers at this version and later
  std::map<std::string, Row> rows;
  std::map<std::string, std::uint64_t> removals;
  std::vector<std::string> leavingServers;
  ListingMessage partial; ///< parts received so far
  LinkId partialSource = 0;
};

} // namespace yp

#endif
