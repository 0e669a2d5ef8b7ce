#include "framework/global/settingswatch.h"
#include "framework/global/tests/faketimers.h"
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

namespace yp {

namespace {

/// A file that is removed at the end.
class ScratchFile
{
public:
  ~ScratchFile() { std::remove(this->path.c_str()); }

  void Write(const std::string& aText) const { std::ofstream(this->path) << aText; }

  const std::string path = "settingswatch_tests.ini";
};

} // namespace

// Guards against settings that stay in force until somebody sends a signal.
TEST_CASE("A change of the settings file is noticed without a signal, once", "[settings]")
{
  ManualClock clock;
  FakeTimers timers(clock);
  const ScratchFile file;
  file.Write("[a]\nb = 1\n");
  int changes = 0;
  const SettingsWatch watch(file.path, timers, clock, [&changes] { ++changes; });
  timers.RunFor(std::chrono::seconds(3));
  REQUIRE(changes == 0);
  file.Write("[a]\nb = 22\n");
  timers.RunFor(std::chrono::seconds(3));
  REQUIRE(changes == 1);
}

// Guards against a replaced file that is missing for a moment being taken for an empty one.
TEST_CASE("A settings file that is missing for a while counts when it is back", "[settings]")
{
  ManualClock clock;
  FakeTimers timers(clock);
  const ScratchFile file;
  file.Write("[a]\nb = 1\n");
  int changes = 0;
  const SettingsWatch watch(file.path, timers, clock, [&changes] { ++changes; });
  std::remove(file.path.c_str());
  timers.RunFor(std::chrono::seconds(3));
  REQUIRE(changes == 0);
  file.Write("[a]\nb = 333\n");
  timers.RunFor(std::chrono::seconds(3));
  REQUIRE(changes == 1);
}

} // namespace yp
