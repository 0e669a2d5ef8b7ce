#ifndef YP_MEMBERSHIP_IMEMBERTABLE_H
#define YP_MEMBERSHIP_IMEMBERTABLE_H

#include "membership/membershiptypes.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// Report of one node that it cannot reach another one.
struct Suspicion
{
  std::string host;           ///< member that is reported
  Incarnation incarnation;    ///< incarnation that is reported
  std::uint64_t sequence = 0; ///< sequence of the member's record at the reporter
  std::string reporter;       ///< host of the reporter
  std::string reporterDomain; ///< failure domain of the reporter
};

/// What a merge did to the table.
enum class MergeResult
{
  kIgnored, ///< known before or older; not passed on
  kChanged, ///< new; passed on to peers
  kRefute   ///< it concerned this node and was wrong; the raised own record is to be announced
};

/// The members known to a node, merged from all sources. Used by the control thread only.
class IMemberTable
{
public:
  /// Number of groups of hosts that are compared separately when two tables differ.
  static constexpr std::size_t kBuckets = 256;

  virtual ~IMemberTable() = default;

  /// Takes over a reading of the host list unless a newer version is known.
  /// \return whether the reading is newer
  virtual bool ApplyListing(const HostListing& aListing) = 0;

  /// \return version of the newest listing; 0 before the first
  virtual std::uint64_t ListingVersion() const = 0;

  /// Merges a member's announcement.
  virtual MergeResult ApplyRecord(const MemberRecord& aRecord) = 0;

  /// Merges another node's report.
  virtual MergeResult ApplySuspicion(const Suspicion& aSuspicion) = 0;

  /// Notes that this node cannot open a link to a host.
  /// \return the report for the peers
  virtual Suspicion LinkFailed(const std::string& aHost) = 0;

  /// Notes that a link to a host is up and answers.
  virtual void LinkUp(const std::string& aHost) = 0;

  /// Changes the state of this node and raises its sequence.
  /// \return the record to announce
  virtual const MemberRecord& SetOwnState(MemberState aState) = 0;

  /// \return the record of this node
  virtual const MemberRecord& Own() const = 0;

  /// \return record of a host, or null; valid until the table changes
  virtual const MemberRecord* Find(const std::string& aHost) const = 0;

  /// \return whether the reports of others made the host unreachable
  virtual bool ConfirmedUnreachable(const std::string& aHost) const = 0;

  /// Lets suspicions and drop times expire.
  virtual void Tick() = 0;

  /// Restarts the waiting times of suspicions after a pause, because refutations may lie unread.
  virtual void Resume() = 0;

  /// \return the current view; rebuilt only when the table has changed since the last call
  virtual Ref<const MemberView> View() = 0;

  /// \return hash of all announced records and believed reports, independent of the order of arrival
  virtual std::uint64_t Hash() const = 0;

  /// \return hash of each bucket
  virtual const std::vector<std::uint64_t>& BucketHashes() const = 0;

  /// \return the announced records in buckets where announcements differ from those behind the given hashes
  /// \param aHashes kBuckets hashes of another table; other sizes yield nothing
  virtual std::vector<MemberRecord> Difference(const std::vector<std::uint64_t>& aHashes) const = 0;

  /// \return the reports behind members believed unreachable, in the same buckets. Passing them on lets a
  /// member that is reachable hear of them and refute them.
  virtual std::vector<Suspicion> ConfirmedReports(const std::vector<std::uint64_t>& aHashes) const = 0;
};

} // namespace yp

#endif
