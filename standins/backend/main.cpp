#include "backend/backend.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace {

using namespace yp;

constexpr int kUsageError = 2;

struct Hosted
{
  boost::asio::io_context* context = nullptr;
  std::unique_ptr<IBackendServer> server;
};

Result<void>
StartAll(const std::vector<std::string>& aFiles,
         const std::vector<std::unique_ptr<boost::asio::io_context>>& aContexts,
         std::vector<Hosted>& aHosted)
{
  for (const auto& file : aFiles) {
    BOOST_LEAF_AUTO(settings, LoadBackendSettings(file));
    auto& context = *aContexts[aHosted.size() % aContexts.size()];
    BOOST_LEAF_AUTO(server, StartBackendServer(context, settings));
    aHosted.push_back({ &context, std::move(server) });
    LogEvent(LogLevel::kInfo, "started", { { "server", settings.name }, { "leafs", settings.leafs.size() } });
  }
  return {};
}

/// Runs all servers until SIGTERM or SIGINT, then drains them.
void
RunAll(const std::vector<std::unique_ptr<boost::asio::io_context>>& aContexts, std::vector<Hosted>& aHosted)
{
  std::atomic<std::size_t> left{ aHosted.size() };
  boost::asio::signal_set signals(*aContexts[0], SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    for (auto& hosted : aHosted) {
      boost::asio::post(*hosted.context, [&, server = hosted.server.get()] {
        server->Drain([&] {
          if (--left == 0) {
            for (const auto& context : aContexts) {
              context->stop();
            }
          }
        });
      });
    }
  });
  std::vector<std::thread> threads;
  for (const auto& context : aContexts) {
    threads.emplace_back([&context] { context->run(); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

int
RunProgram(const cxxopts::ParseResult& aArguments)
{
  const auto files = aArguments["server"].as<std::vector<std::string>>();
  std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
  const auto threads = std::min<std::size_t>(aArguments["threads"].as<unsigned>(), files.size());
  for (std::size_t i = 0; i < std::max<std::size_t>(1, threads); ++i) {
    contexts.push_back(std::make_unique<boost::asio::io_context>(1));
  }
  std::vector<Hosted> hosted;
  const bool started = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(StartAll(files, contexts, hosted));
      return true;
    },
    [](const Error& aError) {
      LogError("start_failed", aError);
      return false;
    });
  if (!started) {
    return 1;
  }
  RunAll(contexts, hosted);
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_backend", "Backend servers for tests and demos");
  options.add_options()(
    "s,server", "server file (INI); may be given several times", cxxopts::value<std::vector<std::string>>())(
    "t,threads",
    "threads that the servers are divided among",
    cxxopts::value<unsigned>()->default_value("2"))(
    "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"))(
    "h,help", "print this help");
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") != 0 || arguments.count("server") == 0) {
      std::cout << options.help() << "\n";
      return arguments.count("help") != 0 ? 0 : kUsageError;
    }
    ConfigureLog("standin_backend", arguments["log-level"].as<std::string>());
    return RunProgram(arguments);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "standin_backend: " << error.what() << "\n";
    return kUsageError;
  }
}
