#include "load/load.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

constexpr const char* kProgram = "yuccaspoolload";
constexpr int kBadArguments = 2;

yp::leaf::error_id
FailOption(const std::string& aDetail)
{
  return yp::Fail(yp::ErrorCode::kBadInput, "options", "", aDetail);
}

cxxopts::Options
MakeParser()
{
  using cxxopts::value;
  cxxopts::Options parser(kProgram, "Open-loop load over the callers' HTTP interface.");
  auto add = parser.add_options();
  add("ask", "ip:port that is asked for addresses; may be repeated", value<std::vector<std::string>>());
  add("caller", "name of the caller", value<std::string>());
  add("service", "name of the service", value<std::string>());
  add("rate", "mean arrivals a second", value<double>()->default_value("100"));
  add("duration-ms", "time in which requests arrive", value<std::uint32_t>()->default_value("10000"));
  add("deadline-ms", "deadline of each request", value<std::uint32_t>()->default_value("1000"));
  add("seed", "seed of arrivals and contents", value<std::uint64_t>()->default_value("1"));
  add("vocabulary", "file with one term a line", value<std::string>());
  add(
    "pattern", "terms when there is no file; {} is a number", value<std::string>()->default_value("term{}"));
  add("vocabulary-size", "number of terms of the pattern", value<std::uint32_t>()->default_value("10000"));
  add("max-terms", "most terms of a query", value<std::uint32_t>()->default_value("4"));
  add("limit", "hits asked for", value<std::uint32_t>()->default_value("10"));
  add("execute-fraction", "share of non-idempotent requests", value<double>()->default_value("0"));
  add("callers", "simulated callers", value<std::uint32_t>()->default_value("16"));
  add("max-attempts", "attempts of a request", value<std::uint32_t>()->default_value("3"));
  add("max-in-flight", "most requests in flight", value<std::uint32_t>()->default_value("5000"));
  add("attempt-timeout-ms",
      "time after which another address is tried; 0 waits for the deadline",
      value<std::uint32_t>()->default_value("0"));
  add("resend-unknown", "send a request that was told unknown again under the same id");
  add("request-log", "file for one JSON line a request", value<std::string>()->default_value(""));
  add("output", "file for the result; standard output when absent", value<std::string>());
  add("help", "show this text");
  return parser;
}

yp::Result<std::vector<std::string>>
ReadVocabulary(const cxxopts::ParseResult& aGiven)
{
  std::vector<std::string> words;
  if (aGiven.count("vocabulary") != 0) {
    std::ifstream input(aGiven["vocabulary"].as<std::string>());
    for (std::string line; std::getline(input, line);) {
      if (!line.empty()) {
        words.push_back(line);
      }
    }
    if (words.empty()) {
      return FailOption("--vocabulary: unreadable or empty file");
    }
    return words;
  }
  const std::string pattern = aGiven["pattern"].as<std::string>();
  const std::size_t mark = pattern.find("{}");
  if (mark == std::string::npos) {
    return FailOption("--pattern: {} is missing");
  }
  for (std::uint32_t number = 0; number < aGiven["vocabulary-size"].as<std::uint32_t>(); ++number) {
    words.push_back(std::string(pattern).replace(mark, 2, std::to_string(number)));
  }
  return words;
}

yp::Result<yp::LoadSettings>
ReadSettings(const cxxopts::ParseResult& aGiven)
{
  yp::LoadSettings settings;
  for (const char* required : { "ask", "caller", "service" }) {
    if (aGiven.count(required) == 0) {
      return FailOption(std::string("--") + required + " is required");
    }
  }
  for (const std::string& text : aGiven["ask"].as<std::vector<std::string>>()) {
    BOOST_LEAF_AUTO(endpoint, yp::ParseEndpoint(text));
    settings.ask.push_back(endpoint);
  }
  settings.caller = aGiven["caller"].as<std::string>();
  settings.service = aGiven["service"].as<std::string>();
  settings.rate = aGiven["rate"].as<double>();
  settings.duration = std::chrono::milliseconds(aGiven["duration-ms"].as<std::uint32_t>());
  settings.deadline = std::chrono::milliseconds(aGiven["deadline-ms"].as<std::uint32_t>());
  settings.seed = aGiven["seed"].as<std::uint64_t>();
  BOOST_LEAF_ASSIGN(settings.vocabulary, ReadVocabulary(aGiven));
  settings.maxTerms = aGiven["max-terms"].as<std::uint32_t>();
  settings.limit = aGiven["limit"].as<std::uint32_t>();
  settings.executeFraction = aGiven["execute-fraction"].as<double>();
  settings.callers = aGiven["callers"].as<std::uint32_t>();
  settings.maxAttempts = aGiven["max-attempts"].as<std::uint32_t>();
  settings.maxInFlight = aGiven["max-in-flight"].as<std::uint32_t>();
  settings.attemptTimeout = std::chrono::milliseconds(aGiven["attempt-timeout-ms"].as<std::uint32_t>());
  settings.resendUnknown = aGiven.count("resend-unknown") != 0;
  settings.requestLog = aGiven["request-log"].as<std::string>();
  const bool positive = settings.rate > 0 && settings.maxTerms > 0 && settings.callers > 0 &&
                        settings.maxAttempts > 0 && !settings.vocabulary.empty();
  if (!positive) {
    return FailOption("rate, terms, callers, attempts and vocabulary must be above 0");
  }
  return settings;
}

yp::Result<void>
Write(const cxxopts::ParseResult& aGiven, const yp::Json& aReport)
{
  if (aGiven.count("output") == 0) {
    std::cout << aReport.dump(2) << "\n";
    return {};
  }
  std::ofstream output(aGiven["output"].as<std::string>());
  output << aReport.dump(2) << "\n";
  output.flush();
  if (!output) {
    return FailOption("--output: the file cannot be written");
  }
  return {};
}

yp::Result<void>
Run(int aCount, const char* const* aArguments)
{
  try {
    cxxopts::Options parser = MakeParser();
    const cxxopts::ParseResult given = parser.parse(aCount, aArguments);
    if (given.count("help") != 0) {
      std::cout << parser.help();
      return {};
    }
    BOOST_LEAF_AUTO(settings, ReadSettings(given));
    boost::asio::io_context context;
    const std::unique_ptr<yp::ILoadRunner> runner = yp::MakeLoadRunner(context, settings);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& aError, int) {
      if (!aError) {
        runner->StopArrivals();
      }
    });
    yp::Json report;
    runner->Start([&](yp::Json aReport) {
      report = std::move(aReport);
      context.stop();
    });
    context.run();
    return Write(given, report);
  } catch (const cxxopts::exceptions::exception& error) {
    return FailOption(error.what());
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  yp::ConfigureLog(kProgram, "info");
  return yp::Recover(
    [&]() -> yp::Result<int> {
      BOOST_LEAF_CHECK(Run(aCount, aArguments));
      return 0;
    },
    [](const yp::Error& aError) {
      yp::LogError("failed", aError);
      return kBadArguments;
    });
}
