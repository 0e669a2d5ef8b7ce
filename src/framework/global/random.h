#ifndef YP_FRAMEWORK_GLOBAL_RANDOM_H
#define YP_FRAMEWORK_GLOBAL_RANDOM_H

#include <cstdint>
#include <random>

namespace yp {

/// Source of random numbers for all decisions, so that runs can be repeated by seed.
class IRandom
{
public:
  virtual ~IRandom() = default;

  /// \return 64 random bits
  virtual std::uint64_t Next() = 0;

  /// \return a number in [0, aBound); 0 when aBound is 0
  std::uint64_t Below(std::uint64_t aBound) { return aBound == 0 ? 0 : this->Next() % aBound; }

  /// \return a number in [0, 1)
  double Real() { return static_cast<double>(this->Next() >> 11) * 0x1.0p-53; }
};

/// Mersenne Twister with a given seed. Not safe for use by several threads at once.
class SeededRandom final : public IRandom
{
public:
  explicit SeededRandom(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  std::uint64_t Next() override { return this->engine(); }

private:
  std::mt19937_64 engine;
};

/// \return a seed from the operating system's random device
std::uint64_t
SystemSeed();

} // namespace yp

#endif
