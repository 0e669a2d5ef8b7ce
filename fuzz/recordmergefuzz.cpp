#include "fuzztarget.h"
#include "gateway/gateway.h"
#include <algorithm>
#include <functional>

using namespace yp;

std::vector<std::string>
yp::FuzzSeeds()
{
  return { std::string("\x03", 1) + std::string(48, 'a') + std::string(16, 'b') + "rest",
           std::string(200, '\xff') };
}

// Guards against a merge that differs from sorting all records of all parts. The first byte says how many
// records are kept; the rest is cut into two parts.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize < 2) {
    return 0;
  }
  const std::size_t top = aData[0] % 8;
  const std::string_view input(reinterpret_cast<const char*>(aData) + 1, aSize - 1);
  const std::string_view first = input.substr(0, input.size() / 2);
  const std::string_view second = input.substr(input.size() / 2);
  std::vector<std::string> sorted;
  for (const std::string_view part : { first, second }) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      sorted.emplace_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  sorted.resize(std::min(sorted.size(), top));
  std::string expected;
  for (const std::string& record : sorted) {
    expected += record;
  }
  RecordMerge merge(top);
  merge.Add(first);
  merge.Add(second);
  YP_INVARIANT(merge.Take() == expected, "merge_keeps_the_greatest", std::to_string(top));
  return 0;
}
