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

/// A watched settings file in virtual time.
struct WatchWorld
{
  WatchWorld()
  {
    this->file.Write("[a]\nb = 1\n");
    this->watch.emplace(this->file.path, this->timers, this->clock, [this] { ++this->changes; });
  }

  ManualClock clock;
  FakeTimers timers{ clock };
  const ScratchFile file;
  int changes = 0;
  std::optional<SettingsWatch> watch;
};

} // namespace

// Guards against settings that stay in force until somebody sends a signal.
TEST_CASE("A change of the settings file is noticed without a signal, once", "[settings]")
{
  WatchWorld world;
  world.timers.RunFor(std::chrono::seconds(3));
  REQUIRE(world.changes == 0);
  world.file.Write("[a]\nb = 22\n");
  world.timers.RunFor(std::chrono::seconds(3));
  REQUIRE(world.changes == 1);
}

// Guards against a replaced file that is missing for a moment being taken for an empty one.
TEST_CASE("A settings file that is missing for a while counts when it is back", "[settings]")
{
  WatchWorld world;
  std::remove(world.file.path.c_str());
  world.timers.RunFor(std::chrono::seconds(3));
  REQUIRE(world.changes == 0);
  world.file.Write("[a]\nb = 333\n");
  world.timers.RunFor(std::chrono::seconds(3));
  REQUIRE(world.changes == 1);
}

} // namespace yp
