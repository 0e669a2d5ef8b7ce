#include "app/internal/daemon.h"
#include <cxxopts.hpp>
#include <iostream>

namespace {

constexpr const char* kVersion = "0.2.0";
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("yuccaspoold", "daemon of the yuccaspool query tier; runs on each entry host");
  options.add_options()("settings", "INI file with the settings", cxxopts::value<std::string>())(
    "check-settings", "check the settings and exit; 0 when they are valid, 2 otherwise")(
    "version", "show the version")("h,help", "show this help");
  return options;
}

int
RunDaemon(const std::string& aPath, bool aCheckOnly)
{
  int exitCode = kExitUsage;
  return yp::Recover(
    [&]() -> yp::Result<int> {
      BOOST_LEAF_AUTO(settings, yp::LoadDaemonSettings(aPath));
      if (aCheckOnly) {
        std::cout << aPath << ": valid\n";
        return 0;
      }
      exitCode = kExitFailure;
      yp::ConfigureLog(settings.host, settings.logLevel);
      yp::Daemon daemon(std::move(settings));
      BOOST_LEAF_CHECK(daemon.Run());
      return 0;
    },
    [&exitCode](const yp::Error& aError) {
      std::cerr << "error: step=" << aError.step << (aError.peer.empty() ? "" : " peer=" + aError.peer)
                << "\n"
                << aError.detail << "\n";
      return exitCode;
    });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
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
    if (parsed.count("settings") == 0) {
      std::cerr << "error: --settings FILE is required\n" << options.help();
      return kExitUsage;
    }
    return RunDaemon(parsed["settings"].as<std::string>(), parsed.count("check-settings") != 0);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "error: " << error.what() << "\n" << options.help();
    return kExitUsage;
  }
}
