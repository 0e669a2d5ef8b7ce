#ifndef YP_GATEWAY_RECORDMERGE_H
#define YP_GATEWAY_RECORDMERGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace yp {

constexpr std::size_t kRecordBytes = 16;

/// Collects the greatest records of several parts. Records are compared as unsigned bytes; equal records are
/// all kept.
class RecordMerge
{
public:
  explicit RecordMerge(std::size_t aTop)
    : top(aTop)
  {
  }

  /// Adds the records of a part; trailing bytes that do not fill a record are ignored.
  void Add(std::string_view aPart);

  /// Removes the collected records.
  /// \return the records, concatenated, greatest first
  std::string Take();

private:
  std::size_t top;
  std::vector<std::string> heap; ///< heap with the smallest kept record at the front
};

} // namespace yp

#endif
