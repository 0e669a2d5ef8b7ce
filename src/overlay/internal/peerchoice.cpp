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
  std::uint64_t score; ///< ordered like RendezvousScore, without its logarithm
  const MemberStatus* status;
};

void
Choose(std::vector<Candidate>& aCandidates, std::size_t aCount, std::set<std::string>& aChosen)
{
  const auto higher = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.score > aRight.score;
  };
  // Usually the first few decide; the rest is sorted only when too many of them are unreachable.
  constexpr std::size_t kSortedFirst = 16;
  const std::size_t sorted = std::min(kSortedFirst, aCandidates.size());
  std::partial_sort(aCandidates.begin(),
                    aCandidates.begin() + static_cast<std::ptrdiff_t>(sorted),
                    aCandidates.end(),
                    higher);
  const auto reachable = static_cast<std::size_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
      return !aCandidate.status->unreachable;
    }));
  const std::size_t tried = reachable < aCount ? aCount + kExtraUnreachable : aCount;
  std::size_t takenReachable = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (i == sorted) {
      std::sort(aCandidates.begin() + static_cast<std::ptrdiff_t>(sorted), aCandidates.end(), higher);
    }
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
  const std::uint64_t key = Hash64(aView.self);
  std::vector<Candidate> ownDomain;
  std::vector<Candidate> otherDomains;
  std::vector<Candidate> otherRegions;
  for (const MemberStatus& status : aView.members) {
    const MemberRecord& record = status.record;
    if (record.host == aView.self || record.state == MemberState::kGone || record.peerEndpoint.port == 0) {
      continue;
    }
    const Candidate candidate{ Hash64(record.host, key), &status };
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
ReaderRank(const MemberView& aView, bool aCountUnheard)
{
  const MemberStatus* self = aView.Find(aView.self);
  if (self == nullptr) {
    return 0;
  }
  const std::uint64_t key = Hash64("reader/" + self->record.failureDomain);
  const std::uint64_t own = Hash64(aView.self, key);
  std::size_t rank = 0;
  for (const MemberStatus& status : aView.members) {
    const MemberRecord& record = status.record;
    const bool unheard = record.incarnation == Incarnation{} && !status.listedLeaving;
    const bool runs = !status.unreachable || (aCountUnheard && unheard);
    const bool candidate = record.failureDomain == self->record.failureDomain && runs &&
                           record.state != MemberState::kLeaving && record.host != aView.self;
    if (candidate && Hash64(record.host, key) > own) {
      ++rank;
    }
  }
  return rank;
}

} // namespace yp
