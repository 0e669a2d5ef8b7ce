#ifndef YP_CHANGEFEED_CHANGELOG_H
#define YP_CHANGEFEED_CHANGELOG_H

#include "framework/global/global.h"
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace yp {

/// A published value, or its removal.
struct Change
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0; ///< position in the order of publication; see framework/global/position.h
  bool removed = false;
  bool mayReturn = false; ///< removed during or just after a source outage; may be published again soon
};

/// The changes between two positions of one era, or the complete state at a position.
struct ChangeBatch
{
  std::uint64_t after = 0;  ///< revision that the changes follow; ignored when complete
  std::uint64_t upTo = 0;   ///< revision of the state after the batch
  bool complete = false;    ///< holds the complete state; keys that it lacks are removed
  bool afterOutage = false; ///< the source was unreachable until recently; removed values may return
  std::vector<Change> changes;
};

/// All published values and a bounded number of removals. Of each key only the latest change is kept, so the
/// memory does not grow with the number of changes. A value never reverts to an earlier position. When the
/// source returns from an earlier copy, the log continues with the complete state of the new era.
class ChangeLog
{
public:
  /// Applies a batch. A batch that follows a later position than the known one, or ends before it, is
  /// ignored, and so are changes that follow a position of another era.
  /// Values that the complete state of a new era lacks may be published again.
  /// \return the changes that were new, removals included; no changes if there were none
  ChangeBatch Apply(const ChangeBatch& aBatch);

  /// \return the latest change of each key that changed after a revision, by revision; the complete state
  ///   when the revision is 0 or removals after it may be missing
  ChangeBatch Since(std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return this->revision; }

  /// \return size in bytes of all keys and values that are kept, values and removals
  std::size_t KeptBytes() const;

private:
  /// \return whether the key has a new value, or lost its value
  bool ApplyChange(const Change& aChange);

  /// Drops the oldest removals above the limit.
  void LimitRemovals();

  std::uint64_t revision = 0;
  std::uint64_t removalsAfter = 0;                          ///< all removals after this revision are known
  std::map<std::string, Change> latest;                     ///< by key: the value or the removal
  std::set<std::pair<std::uint64_t, std::string>> removals; ///< revision and key of the removals in latest
};

} // namespace yp

#endif
