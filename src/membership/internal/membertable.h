#ifndef YP_MEMBERSHIP_INTERNAL_MEMBERTABLE_H
#define YP_MEMBERSHIP_INTERNAL_MEMBERTABLE_H

#include "membership/membership.h"
#include <map>
#include <optional>
#include <set>

namespace yp {

/// Keeps one entry a host. Hashes are kept up to date with each change; the view is built on demand.
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
    bool dropped = false;                     ///< a listing named the host and a newer one does not
    bool linkFailed = false;                  ///< this node cannot reach it
    bool believed = false;                    ///< reporters in two failure domains were not refuted
    std::map<std::string, Suspicion> reports; ///< unrefuted reports, one a failure domain
    std::optional<TimePoint> decideAt;        ///< when unrefuted reports are believed
    std::optional<TimePoint> unreachableSince;
    bool placed = true;
    std::uint64_t contribution = 0; ///< part of the hashes
  };

  static bool Announced(const Member& aMember);
  /// \return when time next changes something about a member
  static TimePoint NextDue(const Member& aMember);
  void Changed(Member& aMember);
  void UpdateHash(Member& aMember);
  void ClearReports(Member& aMember);
  void SetPlaced(Member& aMember);
  MergeResult RefuteOwn();

  const IClock& clock;
  std::string self;
  std::map<std::string, Member> members;
  std::set<std::string> timed;          ///< hosts with a decision that time brings
  TimePoint nextDue = TimePoint::max(); ///< no such decision is due before
  std::uint64_t listingVersion = 0;
  std::vector<std::string> leavingServers;
  std::uint64_t hash = 0;
  std::vector<std::uint64_t> buckets;
  TimePoint stableSince;
  Ref<const MemberView> view;
};

} // namespace yp

#endif
