#include "common/standinprogram.h"
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr const char* kSection = "standin";
/// Tests stop and restart stand-ins often, so connections without a request are closed soon.
constexpr std::chrono::milliseconds kDrainIdleGrace{ 50 };

std::string
KeyOf(std::string aName)
{
  std::replace(aName.begin(), aName.end(), '-', '_');
  return aName;
}

} // namespace

const char*
ToString(StandinMode aMode)
{
  switch (aMode) {
    case StandinMode::kUp:
      return "up";
    case StandinMode::kDown:
      return "down";
    case StandinMode::kStale:
      return "stale";
  }
  return "up";
}

std::optional<StandinMode>
ParseStandinMode(std::string_view aText)
{
  for (const StandinMode mode : { StandinMode::kUp, StandinMode::kDown, StandinMode::kStale }) {
    if (aText == ToString(mode)) {
      return mode;
    }
  }
  return std::nullopt;
}

HttpResponse
BadRequest(const std::string& aDetail)
{
  return JsonResponse(400, Json{ { "error", aDetail } });
}

std::optional<std::uint64_t>
NumberParameter(const HttpTarget& aTarget, const std::string& aName, std::optional<std::uint64_t> aDefault)
{
  const auto found = aTarget.parameters.find(aName);
  if (found == aTarget.parameters.end()) {
    return aDefault;
  }
  const std::string& text = found->second;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

StandinOptions::StandinOptions(SettingsFile aCommandLine, SettingsFile aFile)
  : commandLine(std::move(aCommandLine))
  , file(std::move(aFile))
{
}

Result<StandinOptions>
StandinOptions::Parse(int aCount,
                      const char* const* aArguments,
                      const std::string& aProgram,
                      const std::vector<Option>& aOptions)
{
  std::vector<Option> all = { { "address", "numeric address to listen on" },
                              { "port", "port to listen on; 0 takes a free one" },
                              { "log-level", "debug, info, warning or error" } };
  all.insert(all.end(), aOptions.begin(), aOptions.end());
  cxxopts::Options parser(aProgram, "Stand-in for tests and demos.");
  parser.add_options()("help", "show this text")("settings", "INI file", cxxopts::value<std::string>());
  for (const Option& option : all) {
    parser.add_options()(option.name, option.help, cxxopts::value<std::string>());
  }
  try {
    const cxxopts::ParseResult given = parser.parse(aCount, aArguments);
    if (!given.unmatched().empty()) {
      return Fail(ErrorCode::kBadInput, "options", "", "unexpected argument: " + given.unmatched().front());
    }
    std::string text = std::string("[") + kSection + "]\n";
    for (const Option& option : all) {
      if (given.count(option.name) != 0) {
        text += KeyOf(option.name) + " = " + given[option.name].as<std::string>() + "\n";
      }
    }
    BOOST_LEAF_AUTO(commandLine, SettingsFile::Parse("command line", text));
    BOOST_LEAF_AUTO(file,
                    given.count("settings") != 0 ? SettingsFile::Load(given["settings"].as<std::string>())
                                                 : SettingsFile::Parse("no file", ""));
    StandinOptions options(std::move(commandLine), std::move(file));
    options.helpShown = given.count("help") != 0;
    if (options.helpShown) {
      std::cout << parser.help();
    }
    return options;
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail(ErrorCode::kBadInput, "options", "", error.what());
  }
}

std::string
StandinOptions::Text(const std::string& aName, const std::string& aDefault)
{
  const std::string inFile = this->file.Text(kSection, KeyOf(aName), aDefault);
  return this->commandLine.Text(kSection, KeyOf(aName), inFile);
}

std::int64_t
StandinOptions::Integer(const std::string& aName, std::int64_t aDefault, std::int64_t aMin, std::int64_t aMax)
{
  const std::int64_t inFile = this->file.Integer(kSection, KeyOf(aName), aDefault, aMin, aMax);
  return this->commandLine.Integer(kSection, KeyOf(aName), inFile, aMin, aMax);
}

Endpoint
StandinOptions::Listen()
{
  return Endpoint{ this->Text("address", "127.0.0.1"),
                   static_cast<std::uint16_t>(this->Integer("port", 0, 0, 65535)) };
}

Result<void>
StandinOptions::Finish()
{
  BOOST_LEAF_CHECK(this->file.Finish());
  return this->commandLine.Finish();
}

void
RunStandin(boost::asio::io_context& aContext, IHttpServer& aServer, const std::function<void()>& aOnStop)
{
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    LogEvent(LogLevel::kInfo, "stopping", { { "signal", aSignal } });
    aOnStop();
    aServer.Drain(kDrainIdleGrace, [&] { aContext.stop(); });
  });
  LogEvent(LogLevel::kInfo, "listening", { { "endpoint", ToString(aServer.LocalEndpoint()) } });
  aContext.run();
  LogEvent(LogLevel::kInfo, "stopped");
}

int
RunMain(const std::string& aProgram, const std::function<Result<void>()>& aBody)
{
  ConfigureLog(aProgram, "info");
  return Recover(
    [&]() -> Result<int> {
      BOOST_LEAF_CHECK(aBody());
      return 0;
    },
    [](const Error& aError) {
      LogError("failed", aError);
      return 2;
    });
}

} // namespace yp
