#ifndef YP_GOSSIP_INTERNAL_GOSSIPTABLE_H
#define YP_GOSSIP_INTERNAL_GOSSIPTABLE_H

#include "gossip/gossiptypes.h"
#include <map>

namespace yp {

/// Records of all known nodes, merged from the messages of peers. The node's own record is never replaced; a
/// wrong record of it at a peer is refuted with a higher sequence.
class GossipTable
{
public:
  GossipTable(PeerRecord aOwn, const IClock& aClock);

  /// Adds a record, or replaces the known record of the host if the given one is newer.
  void Merge(const PeerRecord& aRecord);

  void SetOwnState(PeerState aState);
  void SetSourceUnreachable(bool aUnreachable);

  /// Marks a node as down.
  void MarkDown(const std::string& aHost);

  /// Marks a node as suspected, because it did not answer a probe in time.
  void MarkSuspected(const std::string& aHost);

  /// Records that a message from a node was received, and clears its suspicion.
  void MarkReceived(const std::string& aHost);

  const PeerRecord& Own() const { return this->records.front(); }
  const std::vector<PeerRecord>& Records() const { return this->records; }

  /// \return when the last message from a node was received
  TimePoint LastReceived(const std::string& aHost) const;
  const PeerRecord* Find(const std::string& aHost) const;

  /// Takes changed records that have to be sent further and counts them as sent.
  /// \return at most aMost records, those that were sent least often first
  std::vector<PeerRecord> TakeUpdates(std::size_t aMost);

  /// Number of buckets. Hosts are assigned to buckets by hash, and tables that differ are compared by bucket.
  static constexpr std::size_t kBuckets = 32;

  /// \return hash of all records, independent of their order
  std::uint64_t Hash() const;

  /// \return hashes of the records of each bucket; cached until a record changes
  const std::vector<std::uint64_t>& BucketHashes() const;

  /// \param aHashes bucket hashes of another table
  /// \return the records of the buckets whose hashes differ; all records when aHashes does not have kBuckets
  ///   elements
  std::vector<PeerRecord> Difference(const std::vector<std::uint64_t>& aHashes) const;

  /// \return number of nodes that were up within the last 30 s, at least 1
  std::size_t FleetSize() const;

  /// \return time of the last change of any record
  TimePoint ChangedAt() const { return this->changedAt; }

private:
  struct PeerStatus
  {
    std::uint32_t sent = 0; ///< number of messages that carried the record since it changed
    TimePoint lastUp;       ///< last time that the node was known to be up
    TimePoint lastReceived; ///< when the last message from the node was received
  };

  PeerRecord* FindMutable(const std::string& aHost);
  void MergeOwn(const PeerRecord& aRecord);
  void OnChanged(const PeerRecord& aRecord);
  std::uint32_t TransmissionLimit() const;

  const IClock& clock;
  std::vector<PeerRecord> records; ///< this node's own record first
  std::map<std::string, PeerStatus> statuses;
  TimePoint changedAt;
  mutable std::vector<std::uint64_t> bucketHashes; ///< empty after a change
};

} // namespace yp

#endif
