#ifndef YP_FUZZ_FUZZTARGET_H
#define YP_FUZZ_FUZZTARGET_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Runs one input; the interface of libFuzzer. Has to return 0 and must not crash.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace yp {

/// \return valid inputs that the driver mutates
std::vector<std::string>
FuzzSeeds();

} // namespace yp

#endif
