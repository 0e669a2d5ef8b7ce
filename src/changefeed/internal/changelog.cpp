#include "changefeed/changelog.h"
#include <algorithm>

namespace yp {

namespace {

// Replacing all leafs of a large deployment removes 405 registrations.
constexpr std::size_t kMaxRemovals = 1024;

} // namespace

ChangeBatch
ChangeLog::Apply(const ChangeBatch& aBatch)
{
  ChangeBatch fresh;
  fresh.after = this->revision;
  fresh.upTo = std::max(this->revision, aBatch.upTo);
  const bool otherEra = this->revision != 0 && EraOf(aBatch.upTo) != EraOf(this->revision);
  const bool gap = !aBatch.complete && (aBatch.after > this->revision || otherEra);
  const bool old = aBatch.upTo < this->revision;
  if (gap || old) {
    fresh.upTo = this->revision;
    return fresh;
  }
  const bool mayReturn = aBatch.afterOutage || otherEra;
  std::set<std::string> present;
  for (Change change : aBatch.changes) {
    present.insert(change.key);
    change.mayReturn |= change.removed && mayReturn;
    if (this->ApplyChange(change)) {
      fresh.changes.push_back(change);
    }
  }
  if (aBatch.complete) {
    std::vector<Change> removed;
    for (const auto& [key, change] : this->latest) {
      if (!change.removed && present.count(key) == 0) {
        removed.push_back(Change{ key, "", aBatch.upTo, true, mayReturn });
      }
    }
    for (const Change& change : removed) {
      if (this->ApplyChange(change)) {
        fresh.changes.push_back(change);
      }
    }
    // A complete state does not name what was removed since the known revision.
    this->removalsAfter = aBatch.upTo > this->revision ? aBatch.upTo : this->removalsAfter;
  }
  this->revision = fresh.upTo;
  return fresh;
}

bool
ChangeLog::ApplyChange(const Change& aChange)
{
  const auto known = this->latest.find(aChange.key);
  const bool hadValue = known != this->latest.end() && !known->second.removed;
  if (known != this->latest.end()) {
    if (known->second.revision >= aChange.revision) {
      return false;
    }
    if (known->second.removed) {
      this->removals.erase({ known->second.revision, aChange.key });
    }
  }
  this->latest[aChange.key] = aChange;
  if (!aChange.removed) {
    return true;
  }
  // The removal of an unknown key is kept too: a peer that is behind may have its value.
  this->removals.insert({ aChange.revision, aChange.key });
  this->LimitRemovals();
  return hadValue;
}

void
ChangeLog::LimitRemovals()
{
  while (this->removals.size() > kMaxRemovals) {
    const auto oldest = this->removals.begin();
    this->removalsAfter = std::max(this->removalsAfter, oldest->first);
    this->latest.erase(oldest->second);
    this->removals.erase(oldest);
  }
}

ChangeBatch
ChangeLog::Since(std::uint64_t aRevision) const
{
  ChangeBatch batch;
  batch.after = aRevision;
  batch.upTo = this->revision;
  batch.complete = aRevision < this->removalsAfter || aRevision == 0;
  for (const auto& [key, change] : this->latest) {
    if (batch.complete ? !change.removed : change.revision > aRevision) {
      batch.changes.push_back(change);
    }
  }
  std::stable_sort(batch.changes.begin(), batch.changes.end(), [](const Change& aLeft, const Change& aRight) {
    return aLeft.revision < aRight.revision;
  });
  return batch;
}

std::size_t
ChangeLog::KeptBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [key, change] : this->latest) {
    bytes += key.size() + change.key.size() + change.value.size();
  }
  for (const auto& [removedAt, key] : this->removals) {
    bytes += key.size();
  }
  return bytes;
}

} // namespace yp
