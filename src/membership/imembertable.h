#ifndef YP_MEMBERSHIP_IMEMBERTABLE_H
#define YP_MEMBERSHIP_IMEMBERTABLE_H

#include "membership/membershiptypes.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace yp {

/// Report by one node that it cannot reach another.
struct Suspicion
{
  std::string host;           ///< host of the reported member
  Incarnation incarnation;    ///< incarnation of the reported member
  std::uint64_t sequence = 0; ///< sequence of the reported member's record as known to the reporter
  std::string reporter;       ///< host of the reporter
  std::string reporterDomain; ///< failure domain of the reporter
};

/// Result of merging a record or a report into the table.
enum class MergeResult
{
  kIgnored, ///< already known or outdated; not forwarded
  kChanged, ///< new; to be forwarded to peers
  kRefute   ///< wrong about this node; its own record, with a raised sequence, is to be announced
};

/// Table of the members known to a node, merged from the host list, announcements and reports. Used by the
/// control thread only.
class IMemberTable
{
public:
  /// Number of hash buckets of hosts, which are compared separately when two tables differ.
  static constexpr std::size_t kBuckets = 256;

  virtual ~IMemberTable() = default;

  /// Applies a version of the host list unless the same or a newer version is known.
  /// \return whether the listing was applied
  virtual bool ApplyListing(const HostListing& aListing) = 0;

  /// \return version of the newest applied listing; 0 before the first
  virtual std::uint64_t ListingVersion() const = 0;

  /// Merges a record announced by a member.
  virtual MergeResult ApplyRecord(const MemberRecord& aRecord) = 0;

  /// Merges a report by another node that it cannot reach a member.
  virtual MergeResult ApplySuspicion(const Suspicion& aSuspicion) = 0;

  /// Records that this node cannot open a link to a host.
  /// \return the report to send to peers
  virtual Suspicion LinkFailed(const std::string& aHost) = 0;

  /// Records that a link to a host is up and the host answers.
  virtual void LinkUp(const std::string& aHost) = 0;

  /// Sets the state of this node, and raises its sequence if the state changes.
  /// \return the record to announce
  virtual const MemberRecord& SetOwnState(MemberState aState) = 0;

  /// \return the record of this node
  virtual const MemberRecord& Own() const = 0;

  /// \return record of a host, or null; valid until the table changes
  virtual const MemberRecord* Find(const std::string& aHost) const = 0;

  /// \return whether reports from two failure domains, not refuted in time, made the host unreachable
  virtual bool ConfirmedUnreachable(const std::string& aHost) const = 0;

  /// Applies expired deadlines: confirms suspicions, removes members from placement and deletes old records.
  virtual void Tick() = 0;

  /// Restarts the refutation timeouts, and the removal delays of members still in placement, after a pause of
  /// the process, because refutations may have arrived that are not yet read.
  virtual void Resume() = 0;

  /// \return the current view; rebuilt only when the table has changed since the last call
  virtual Ref<const MemberView> View() = 0;

  /// \return hash of the announced records and of which members are confirmed unreachable, independent of the
  /// order of arrival; records of stopped nodes are excluded
  virtual std::uint64_t Hash() const = 0;

  /// \return the hash of each of the kBuckets buckets
  virtual const std::vector<std::uint64_t>& BucketHashes() const = 0;

  /// \return the announced records in buckets whose record hashes differ from the given ones
  /// \param aHashes bucket hashes of another table; empty result unless there are kBuckets of them
  virtual std::vector<MemberRecord> Difference(const std::vector<std::uint64_t>& aHashes) const = 0;

  /// Forwarding these reports lets a member that is in fact reachable receive and refute them.
  /// \return the reports about members confirmed unreachable, in buckets whose unreachability hashes differ
  /// from the given ones
  /// \param aHashes bucket hashes of another table; empty result unless there are kBuckets of them
  virtual std::vector<Suspicion> ConfirmedReports(const std::vector<std::uint64_t>& aHashes) const = 0;
};

} // namespace yp

#endif
