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
  bool mayReturn =
    false; ///< removed while the source was away or just after; its owner may publish it again soon
};

/// What was published between two revisions, or everything up to one.
struct ChangeBatch
{
  std::uint64_t after = 0;  ///< revision that the changes follow; ignored for a whole state
  std::uint64_t upTo = 0;   ///< revision that is known after the batch
  bool complete = false;    ///< everything; what is not in it is removed
  bool afterOutage = false; ///< the source was away until just before; removals may return
  std::vector<Change> changes;
};

/// All published values and the changes of late. Values never go back to an earlier revision.
class ChangeLog
{
public:
  /// Takes a batch over.
  /// \return what is new, removals included, in a batch without the rest; nothing new gives no changes. A
  /// batch that
  ///   follows a later revision than the known one is not taken.
  ChangeBatch Apply(const ChangeBatch& aBatch);

  /// \return the changes after a revision, or everything when they are not kept any more
  ChangeBatch Since(std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return this->revision; }

private:
  bool Take(const Change& aChange);
  void Keep(const Change& aChange);

  std::uint64_t revision = 0;
  std::uint64_t historyAfter = 0; ///< changes after this revision are in history
  std::map<std::string, Change> values;
  std::deque<Change> history;
};

} // namespace yp

#endif
