#include "gateway/recordmerge.h"
#include <algorithm>
#include <functional>

namespace yp {

void
RecordMerge::Add(std::string_view aPart)
{
  // std::string and std::string_view compare characters as unsigned bytes.
  for (std::size_t at = 0; at + kRecordBytes <= aPart.size(); at += kRecordBytes) {
    const std::string_view record = aPart.substr(at, kRecordBytes);
    if (this->heap.size() >= this->top) {
      if (this->heap.empty() || record <= this->heap.front()) {
        continue;
      }
      std::pop_heap(this->heap.begin(), this->heap.end(), std::greater<>());
      this->heap.pop_back();
    }
    this->heap.emplace_back(record);
    std::push_heap(this->heap.begin(), this->heap.end(), std::greater<>());
  }
}

std::string
RecordMerge::Take()
{
  std::sort(this->heap.begin(), this->heap.end(), std::greater<>());
  std::string records;
  records.reserve(this->heap.size() * kRecordBytes);
  for (const std::string& record : this->heap) {
    records += record;
  }
  this->heap.clear();
  return records;
}

} // namespace yp
