#include "framework/global/random.h"

namespace yp {

std::uint64_t
SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace yp
