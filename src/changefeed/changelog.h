#ifndef YP_CHANGEFEED_CHANGELOG_H
#define YP_CHANGEFEED_CHANGELOG_H

#include "framework/global/global.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace yp {

/// A published value, or its removal.
struct Change
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
  bool mayReturn = false; ///< removed during or just after a source outage; may be published again soon
};

/// The changes between two revisions, or the complete state at a revision.
struct ChangeBatch
{
  std::uint64_t after = 0;  ///< revision that the changes follow; ignored when complete
  std::uint64_t upTo = 0;   ///< revision of the state after the batch
  bool complete = false;    ///< holds the complete state; keys that it lacks are removed
  bool afterOutage = false; ///< the source was unreachable until recently; removed values may return
  std::vector<Change> changes;
};

/// All published values and a bounded history of changes. A value never reverts to an earlier revision.
class ChangeLog
{
public:
  /// Applies a batch. A batch that follows a later revision than the known one, or ends before it, is
  /// ignored.
  /// \return the changes that were new, removals included; no changes if there were none
  ChangeBatch Apply(const ChangeBatch& aBatch);

  /// \return the changes after a revision, or the complete state when the revision is 0 or precedes the
  ///   history
  ChangeBatch Since(std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return this->revision; }

private:
  bool ApplyChange(const Change& aChange);
  void AppendToHistory(const Change& aChange);

  std::uint64_t revision = 0;
  std::uint64_t historyAfter = 0; ///< history holds all changes after this revision
  std::map<std::string, Change> values;
  std::deque<Change> history;
};

} // namespace yp

#endif
