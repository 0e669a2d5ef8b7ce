#ifndef YP_GATEWAY_RECORDMERGE_H
#define YP_GATEWAY_RECORDMERGE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace yp {

constexpr std::size_t kRecordBytes = 16;

/// Collects the greatest records of several parts. Records are compared byte by byte; equal ones all count.
class RecordMerge
{
public:
  explicit RecordMerge(std::size_t aTop)
    : top(aTop)
  {
  }

  /// Adds the records of a part; a remainder shorter than a record is ignored.
  void Add(std::string_view aPart);

  /// \return the records, greatest first
  std::string Take();

private:
  std::size_t top;
  std::vector<std::string> heap; ///< the least of the kept records is at the front
};

} // namespace yp

#endif
