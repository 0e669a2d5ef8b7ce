#include "framework/global/global.h"
#include <catch2/catch.hpp>
#include <thread>

using namespace yp;

namespace {

struct Pair : RefCounted<Pair>
{
  explicit Pair(std::uint64_t aValue)
    : first(aValue)
    , second(aValue)
  {
    ++sAlive;
  }
  ~Pair()
  {
    this->first = ~std::uint64_t(0);
    --sAlive;
  }

  std::uint64_t first;
  std::uint64_t second;
  static std::atomic<int> sAlive;
};

std::atomic<int> Pair::sAlive{ 0 };

} // namespace

// Guards against a reader that uses a value after the writer has freed it.
TEST_CASE("readers of an RCU cell see whole live values while a writer replaces them")
{
  {
    RcuCell<Pair> cell(Ref<const Pair>(new Pair(0)));
    std::atomic<bool> stop{ false };
    std::atomic<std::uint64_t> torn{ 0 };
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
      readers.emplace_back([&] {
        while (!stop) {
          const Ref<const Pair> value = cell.Load();
          torn += value->first != value->second;
        }
      });
    }
    for (std::uint64_t i = 1; i <= 500; ++i) {
      cell.Store(Ref<const Pair>(new Pair(i)));
    }
    stop = true;
    for (std::thread& reader : readers) {
      reader.join();
    }
    CHECK(torn == 0);
    CHECK(cell.Load()->first == 500);
  }
  CHECK(Pair::sAlive == 0);
}

// Guards against a host restarted under the same address being taken for its earlier run.
TEST_CASE("incarnations are distinct and survive text form")
{
  ManualClock clock;
  SeededRandom random(7);
  const Incarnation first = MakeIncarnation(clock, random);
  const Incarnation second = MakeIncarnation(clock, random);
  CHECK(first != second);
  const Incarnation parsed =
    Recover([&] { return ParseIncarnation(ToString(first)); }, [](const Error&) { return Incarnation{}; });
  CHECK(parsed == first);
  for (const char* text : { "", "-", "zz", "1-00", "12345678901234567-00000000000000000000000000000000" }) {
    CHECK(Recover([&] { return ParseIncarnation(text); }, [](const Error&) { return Incarnation{}; }) ==
          Incarnation{});
  }
}
