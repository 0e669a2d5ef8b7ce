#include "overlay/internal/peerchoice.h"
#include <algorithm>
#include <utility>
#include <vector>

namespace yp {

namespace {

constexpr std::size_t kOwnDomainPeers = 4;
constexpr std::size_t kOtherDomainPeers = 2;
constexpr std::size_t kOtherRegionPeers = 2;
// Tried in addition while a class has too few reachable hosts, for example at a start from the host list.
constexpr std::size_t kExtraUnreachable = 4;

struct Candidate
{
  double score;
  const MemberStatus* status;
};

void
Choose(std::vector<Candidate>& aCandidates, std::size_t aCount, std::set<std::string>& aChosen)
{
  std::sort(aCandidates.begin(), aCandidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.score > aRight.score;
  });
  const auto reachable = static_cast<std::size_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
      return !aCandidate.status->unreachable;
    }));
  const std::size_t tried = reachable < aCount ? aCount + kExtraUnreachable : aCount;
  std::size_t takenReachable = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const MemberStatus& status = *aCandidates[i].status;
    if (i < tried || (!status.unreachable && takenReachable < aCount)) {
      aChosen.insert(status.record.host);
      takenReachable += status.unreachable ? 0 : 1;
    }
    if (i >= tried && takenReachable >= aCount) {
      break;
    }
  }
}

} // namespace

std::set<std::string>
ChoosePeers(const MemberView& aView)
{
  std::set<std::string> chosen;
  const MemberStatus* self = aView.Find(aView.self);
  if (self == nullptr) {
    return chosen;
  }
  std::vector<Candidate> ownDomain;
  std::vector<Candidate> otherDomains;
  std::vector<Candidate> otherRegions;
  for (const MemberStatus& status : aView.members) {
    const MemberRecord& record = status.record;
    if (record.host == aView.self || record.state == MemberState::kGone || record.peerEndpoint.port == 0) {
      continue;
    }
    const Candidate candidate{ RendezvousScore(aView.self, record.host), &status };
    if (record.region != self->record.region) {
      otherRegions.push_back(candidate);
    } else if (record.failureDomain != self->record.failureDomain) {
      otherDomains.push_back(candidate);
    } else {
      ownDomain.push_back(candidate);
    }
  }
  Choose(ownDomain, kOwnDomainPeers, chosen);
  Choose(otherDomains, kOtherDomainPeers, chosen);
  Choose(otherRegions, kOtherRegionPeers, chosen);
  return chosen;
}

std::size_t
ReaderRank(const MemberView& aView)
{
  const MemberStatus* self = aView.Find(aView.self);
  if (self == nullptr) {
    return 0;
  }
  const std::string key = "reader/" + self->record.failureDomain;
  const double own = RendezvousScore(key, aView.self);
  std::size_t rank = 0;
  for (const MemberStatus& status : aView.members) {
    const MemberRecord& record = status.record;
    const bool candidate = record.failureDomain == self->record.failureDomain && !status.unreachable &&
                           record.state != MemberState::kLeaving && record.host != aView.self;
    if (candidate && RendezvousScore(key, record.host) > own) {
      ++rank;
    }
  }
  return rank;
}

} // namespace yp
