#ifndef YP_MEMBERSHIP_INTERNAL_MEMBERTABLE_H
#define YP_MEMBERSHIP_INTERNAL_MEMBERTABLE_H

#include "membership/membership.h"
#include <map>
#include <optional>
#include <set>

namespace yp {

/// Member table with one entry per host. Hashes are updated with each change; the view is built on demand.
class MemberTable final : public IMemberTable
{
public:
  MemberTable(MemberRecord aSelf, const IClock& aClock);

  bool ApplyListing(const HostListing& aListing) override;
  std::uint64_t ListingVersion() const override { return this->listingVersion; }
  MergeResult ApplyRecord(const MemberRecord& aRecord) override;
  MergeResult ApplySuspicion(const Suspicion& aSuspicion) override;
  Suspicion LinkFailed(const std::string& aHost) override;
  void LinkUp(const std::string& aHost) override;
  const MemberRecord& SetOwnState(MemberState aState) override;
  const MemberRecord& Own() const override { return this->members.at(this->self).record; }
  const MemberRecord* Find(const std::string& aHost) const override;
  bool ConfirmedUnreachable(const std::string& aHost) const override;
  void Tick() override;
  void Resume() override;
  Ref<const MemberView> View() override;
  std::uint64_t Hash() const override { return this->hash; }
  const std::vector<std::uint64_t>& BucketHashes() const override { return this->buckets; }
  std::vector<MemberRecord> Difference(const std::vector<std::uint64_t>& aHashes) const override;
  std::vector<Suspicion> ConfirmedReports(const std::vector<std::uint64_t>& aHashes) const override;

private:
  struct Member
  {
    MemberRecord record;
    bool listed = false;
    bool listedLeaving = false;
    bool delisted = false;                    ///< an earlier listing contained the host, the newest does not
    bool linkFailed = false;                  ///< this node cannot open a link to the host
    bool confirmed = false;                   ///< reports from two failure domains were not refuted in time
    std::map<std::string, Suspicion> reports; ///< unrefuted reports by the reporter's failure domain
    std::optional<TimePoint> confirmAt; ///< when the member becomes confirmed unreachable unless it refutes
    std::optional<TimePoint> unreachableSince;
    bool placed = true;
    std::uint64_t hashContribution = 0; ///< value of this member that is XORed into the hashes
  };

  /// \return whether the member has announced itself; false when only the host list names it
  static bool IsAnnounced(const Member& aMember);
  /// \return earliest deadline of a member: confirmation, removal from placement or deletion;
  /// TimePoint::max() if there is none
  static TimePoint NextDeadline(const Member& aMember);
  /// Updates everything derived from a member: hashes, unreachable time, placement, deadlines and view.
  void OnMemberChanged(Member& aMember);
  void UpdateHash(Member& aMember);
  void ClearReports(Member& aMember);
  void UpdatePlaced(Member& aMember);
  /// Increments the sequence of this node's record, which refutes reports about earlier sequences.
  /// \return MergeResult::kRefute
  MergeResult RaiseOwnSequence();

  const IClock& clock;
  std::string self;
  std::map<std::string, Member> members;
  std::set<std::string> hostsToCheck;        ///< hosts that are unreachable or await confirmation
  TimePoint nextDeadline = TimePoint::max(); ///< earliest time at which Tick() has work to do
  std::uint64_t listingVersion = 0;
  std::vector<std::string> leavingServers;
  std::uint64_t hash = 0;
  std::vector<std::uint64_t> buckets;
  TimePoint stableSince;
  Ref<const MemberView> view;
};

} // namespace yp

#endif
