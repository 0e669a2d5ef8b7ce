#include "configservice/configservicestandin.h"

namespace {

constexpr const char* kProgram = "standin_configservice";
/// The platform's service allows about this many calls a second.
constexpr std::int64_t kDefaultCallsPerSecond = 2000;

yp::Result<void>
Run(int aCount, const char* const* aArguments)
{
  BOOST_LEAF_AUTO(
    options,
    yp::StandinOptions::Parse(aCount,
                              aArguments,
                              kProgram,
                              { { "calls-per-second", "calls answered in a second" },
                                { "tickets", "directory of ticket files to publish at the start" } }));
  if (options.helpShown) {
    return {};
  }
  yp::HttpServerSettings settings;
  settings.listen = options.Listen();
  const std::string level = options.Text("log-level", "info");
  const std::int64_t limit = options.Integer("calls-per-second", kDefaultCallsPerSecond, 1, 1000000000);
  const std::string directory = options.Text("tickets", "");
  BOOST_LEAF_CHECK(options.Finish());
  yp::ConfigureLog(kProgram, level);

  boost::asio::io_context context;
  yp::ConfigServiceStandin standin(context, static_cast<std::uint64_t>(limit));
  if (!directory.empty()) {
    BOOST_LEAF_CHECK(standin.LoadDirectory(directory));
  }
  BOOST_LEAF_AUTO(
    server,
    yp::StartHttpServer(context, settings, [&standin](yp::HttpRequest aRequest, yp::HttpRespond aRespond) {
      standin.Handle(std::move(aRequest), std::move(aRespond));
    }));
  yp::RunStandin(context, *server, [&standin] { standin.EndWatches(); });
  return {};
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return yp::RunMain(kProgram, [&] { return Run(aCount, aArguments); });
}
