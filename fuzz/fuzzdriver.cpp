#include "framework/global/global.h"
#include "fuzztarget.h"
#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using yp::SeededRandom;

constexpr std::size_t kMaxInputBytes = 64 * 1024;
constexpr const char* kFragments[] = { "{",     "}",  "[",    "]",    "\"",   ":",   "null",
                                       "1e999", "-1", "\xff", "\x9f", "\xbf", "\x5b" };

void
Overwrite(std::string& aInput, SeededRandom& aRandom)
{
  if (!aInput.empty()) {
    aInput[aRandom.Below(aInput.size())] = static_cast<char>(aRandom.Next());
  }
}

void
Erase(std::string& aInput, SeededRandom& aRandom)
{
  const std::size_t from = aRandom.Below(aInput.size() + 1);
  aInput.erase(from, aRandom.Below(32));
}

void
InsertFragment(std::string& aInput, SeededRandom& aRandom)
{
  aInput.insert(aRandom.Below(aInput.size() + 1), kFragments[aRandom.Below(std::size(kFragments))]);
}

void
Repeat(std::string& aInput, SeededRandom& aRandom)
{
  const std::size_t from = aRandom.Below(aInput.size() + 1);
  const std::string part = aInput.substr(from, 1 + aRandom.Below(64));
  const std::size_t copies = 1 + aRandom.Below(200);
  for (std::size_t i = 0; i < copies && aInput.size() < kMaxInputBytes; ++i) {
    aInput.insert(from, part);
  }
}

std::string
Mutate(std::string aInput, SeededRandom& aRandom)
{
  const std::size_t steps = 1 + aRandom.Below(6);
  for (std::size_t i = 0; i < steps; ++i) {
    switch (aRandom.Below(4)) {
      case 0:
        Overwrite(aInput, aRandom);
        break;
      case 1:
        Erase(aInput, aRandom);
        break;
      case 2:
        InsertFragment(aInput, aRandom);
        break;
      default:
        Repeat(aInput, aRandom);
        break;
    }
  }
  return aInput;
}

void
RunInput(const std::string& aInput)
{
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(aInput.data()), aInput.size());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("fuzz",
                           "runs a fuzz target over mutated inputs; the same seed gives the same inputs");
  options.add_options()("seed", "seed of the mutations", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "runs", "number of inputs", cxxopts::value<std::uint64_t>()->default_value("20000"))(
    "input", "run one file instead", cxxopts::value<std::string>());
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("input") != 0) {
    std::ifstream stream(parsed["input"].as<std::string>(), std::ios::binary);
    RunInput({ std::istreambuf_iterator<char>(stream), {} });
    return 0;
  }
  SeededRandom random(parsed["seed"].as<std::uint64_t>());
  const std::vector<std::string> seeds = yp::FuzzSeeds();
  for (const std::string& seed : seeds) {
    RunInput(seed);
  }
  const auto runs = parsed["runs"].as<std::uint64_t>();
  for (std::uint64_t i = 0; i < runs; ++i) {
    RunInput(Mutate(seeds[random.Below(seeds.size())], random));
  }
  std::cout << runs << " inputs run\n";
  return 0;
}
