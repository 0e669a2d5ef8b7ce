#include "framework/program/program.h"
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace yp {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions(const SettingsProgram& aProgram)
{
  const std::string& variable = aProgram.settingsVariable;
  const std::string otherwise = variable.empty() ? "" : "; by default the file that " + variable + " names";
  cxxopts::Options options(aProgram.name, aProgram.purpose);
  options.add_options()("settings", "INI file with the settings" + otherwise, cxxopts::value<std::string>())(
    "check-settings", "check the settings and exit; 0 when they are valid, 2 otherwise")(
    "version", "show the version")("h,help", "show this help");
  return options;
}

int
RunWith(const SettingsProgram& aProgram, const std::string& aPath, bool aCheckOnly)
{
  int exitCode = kExitUsage;
  return Recover(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(body, aProgram.load(aPath));
      if (aCheckOnly) {
        std::cout << aPath << ": valid\n";
        return 0;
      }
      exitCode = kExitFailure;
      BOOST_LEAF_CHECK(body());
      return 0;
    },
    [&exitCode](const Error& aError) {
      std::cerr << "error: step=" << aError.step << (aError.peer.empty() ? "" : " peer=" + aError.peer)
                << "\n"
                << aError.detail << "\n";
      return exitCode;
    });
}

std::string
SettingsPath(const SettingsProgram& aProgram, const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("settings") != 0) {
    return aParsed["settings"].as<std::string>();
  }
  const char* path =
    aProgram.settingsVariable.empty() ? nullptr : std::getenv(aProgram.settingsVariable.c_str());
  return path == nullptr ? "" : path;
}

} // namespace

int
RunSettingsProgram(const SettingsProgram& aProgram, int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions(aProgram);
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << kVersion << "\n";
      return 0;
    }
    const std::string path = SettingsPath(aProgram, parsed);
    if (path.empty()) {
      const std::string& variable = aProgram.settingsVariable;
      std::cerr << "error: --settings FILE" << (variable.empty() ? "" : " or " + variable) << " is required\n"
                << options.help();
      return kExitUsage;
    }
    return RunWith(aProgram, path, parsed.count("check-settings") != 0);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "error: " << error.what() << "\n" << options.help();
    return kExitUsage;
  }
}

} // namespace yp
