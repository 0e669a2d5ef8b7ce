#include "changefeed/changelog.h"
#include <algorithm>
#include <set>

namespace yp {

namespace {

// A new set of leafs of a large deployment is 405 registrations.
constexpr std::size_t kHistorySize = 1024;

} // namespace

ChangeBatch
ChangeLog::Apply(const ChangeBatch& aBatch)
{
  ChangeBatch fresh;
  fresh.after = this->revision;
  fresh.upTo = std::max(this->revision, aBatch.upTo);
  const bool gap = !aBatch.complete && aBatch.after > this->revision;
  const bool old = aBatch.upTo < this->revision;
  if (gap || old) {
    fresh.upTo = this->revision;
    return fresh;
  }
  std::set<std::string> present;
  for (Change change : aBatch.changes) {
    present.insert(change.key);
    change.mayReturn |= change.removed && aBatch.afterOutage;
    if (this->Take(change)) {
      fresh.changes.push_back(change);
    }
  }
  if (aBatch.complete) {
    std::vector<Change> gone;
    for (const auto& [key, value] : this->values) {
      if (present.count(key) == 0) {
        gone.push_back(Change{ key, "", aBatch.upTo, true, aBatch.afterOutage });
      }
    }
    for (const Change& change : gone) {
      this->Take(change);
      fresh.changes.push_back(change);
    }
  }
  this->revision = fresh.upTo;
  return fresh;
}

bool
ChangeLog::Take(const Change& aChange)
{
  const auto known = this->values.find(aChange.key);
  if (known == this->values.end() && aChange.removed) {
    return false;
  }
  if (known != this->values.end() && known->second.revision >= aChange.revision) {
    return false;
  }
  if (aChange.removed) {
    this->values.erase(known);
  } else {
    this->values[aChange.key] = aChange;
  }
  this->Keep(aChange);
  return true;
}

void
ChangeLog::Keep(const Change& aChange)
{
  this->history.push_back(aChange);
  if (this->history.size() > kHistorySize) {
    this->historyAfter = std::max(this->historyAfter, this->history.front().revision);
    this->history.pop_front();
  }
}

ChangeBatch
ChangeLog::Since(std::uint64_t aRevision) const
{
  ChangeBatch batch;
  batch.after = aRevision;
  batch.upTo = this->revision;
  batch.complete = aRevision < this->historyAfter || aRevision == 0;
  if (batch.complete) {
    for (const auto& [key, change] : this->values) {
      batch.changes.push_back(change);
    }
    return batch;
  }
  for (const Change& change : this->history) {
    if (change.revision > aRevision) {
      batch.changes.push_back(change);
    }
  }
  return batch;
}

} // namespace yp
