#ifndef YP_GOSSIP_INTERNAL_GOSSIPTABLE_H
#define YP_GOSSIP_INTERNAL_GOSSIPTABLE_H

#include "gossip/gossiptypes.h"
#include <map>

namespace yp {

/// The records of all known nodes, merged from what peers say. The node's own record is never replaced; what
/// others say wrongly of it is refuted by a higher sequence.
class GossipTable
{
public:
  GossipTable(PeerRecord aOwn, const IClock& aClock);

  /// Merges a record.
  void Merge(const PeerRecord& aRecord);

  void SetOwnState(PeerState aState);
  void SetSourceUnreachable(bool aAway);

  /// Marks a node that does not answer.
  void MarkDown(const std::string& aHost);

  /// Notes that a node did not answer a probe in time.
  void MarkSuspected(const std::string& aHost);

  /// Notes that a node answered.
  void MarkHeard(const std::string& aHost);

  const PeerRecord& Own() const { return this->records.front(); }
  const std::vector<PeerRecord>& Records() const { return this->records; }

  /// \return when a node was heard last
  TimePoint HeardAt(const std::string& aHost) const;
  const PeerRecord* Find(const std::string& aHost) const;

  /// \return records to pass on, those that were passed on least first, and counts them
  std::vector<PeerRecord> TakeNews(std::size_t aMost);

  /// Number of groups of hosts that are compared separately when two tables differ.
  static constexpr std::size_t kBuckets = 32;

  /// \return hash of all records, independent of their order
  std::uint64_t Hash() const;

  /// \return hash of the records of each group; computed anew only after a change
  const std::vector<std::uint64_t>& BucketHashes() const;

  /// \return the records of the groups that differ from another table's
  /// \param aHashes of the other table; all records are returned when it is not of kBuckets groups
  std::vector<PeerRecord> Difference(const std::vector<std::uint64_t>& aHashes) const;

  std::size_t FleetSize() const;

  /// \return when a record changed last
  TimePoint ChangedAt() const { return this->changedAt; }

private:
  struct Spread
  {
    std::uint32_t sent = 0; ///< messages that carried the record since it changed
    TimePoint upAt;         ///< last time that the node was known to be up
    TimePoint heardAt;      ///< last message of the node itself
  };

  PeerRecord* Mutable(const std::string& aHost);
  void MergeOwn(const PeerRecord& aRecord);
  void Changed(const PeerRecord& aRecord);
  std::uint32_t SpreadLimit() const;

  const IClock& clock;
  std::vector<PeerRecord> records; ///< the own record first
  std::map<std::string, Spread> spread;
  TimePoint changedAt;
  mutable std::vector<std::uint64_t> bucketHashes; ///< empty after a change
};

} // namespace yp

#endif
