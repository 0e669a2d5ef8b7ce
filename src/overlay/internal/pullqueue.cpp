#include "overlay/internal/pullqueue.h"
#include <algorithm>

namespace yp {

namespace {

constexpr std::chrono::milliseconds kPullTimeout{ 500 };
// Bounds memory; what is not queued is found again by the next digest.
constexpr std::size_t kMaxPulls = 1024;
constexpr std::size_t kMaxAnnouncers = 8;

} // namespace

void
PullQueue::Want(TicketNumber aNumber, LinkId aLink, TimePoint aNotBefore)
{
  const auto found = this->pulls.find(aNumber);
  if (found == this->pulls.end()) {
    if (this->pulls.size() < kMaxPulls) {
      this->pulls[aNumber] = { { aLink }, std::nullopt, aNotBefore, "" };
    }
    return;
  }
  Pull& pull = found->second;
  const bool known =
    std::find(pull.announcers.begin(), pull.announcers.end(), aLink) != pull.announcers.end();
  if (!known && pull.asked != aLink && pull.announcers.size() < kMaxAnnouncers) {
    pull.announcers.push_back(aLink);
  }
}

void
PullQueue::Expect(TicketNumber aNumber, const std::string& aHash)
{
  const auto found = this->pulls.find(aNumber);
  if (found != this->pulls.end()) {
    found->second.hash = aHash;
  }
}

bool
PullQueue::Matches(TicketNumber aNumber, const std::string& aBody) const
{
  const auto found = this->pulls.find(aNumber);
  return found == this->pulls.end() || found->second.hash.empty() || found->second.hash == Hash128Hex(aBody);
}

void
PullQueue::DropUpTo(TicketNumber aNumber)
{
  this->pulls.erase(this->pulls.begin(), this->pulls.upper_bound(aNumber));
}

void
PullQueue::Absent(TicketNumber aNumber, LinkId aLink)
{
  const auto found = this->pulls.find(aNumber);
  if (found != this->pulls.end() && found->second.asked == aLink) {
    found->second.asked.reset();
    found->second.next = TimePoint();
  }
}

void
PullQueue::DropLink(LinkId aLink)
{
  for (auto& entry : this->pulls) {
    Pull& pull = entry.second;
    pull.announcers.erase(std::remove(pull.announcers.begin(), pull.announcers.end(), aLink),
                          pull.announcers.end());
    if (pull.asked == aLink) {
      pull.asked.reset();
      pull.next = TimePoint();
    }
  }
}

std::map<LinkId, std::vector<TicketNumber>>
PullQueue::Due(TimePoint aNow)
{
  std::map<LinkId, std::vector<TicketNumber>> requests;
  for (auto entry = this->pulls.begin(); entry != this->pulls.end();) {
    Pull& pull = entry->second;
    if (aNow < pull.next) {
      ++entry;
      continue;
    }
    if (pull.announcers.empty()) {
      entry = this->pulls.erase(entry);
      continue;
    }
    pull.asked = pull.announcers.front();
    pull.announcers.pop_front();
    pull.next = aNow + kPullTimeout;
    requests[*pull.asked].push_back(entry->first);
    ++entry;
  }
  return requests;
}

} // namespace yp
