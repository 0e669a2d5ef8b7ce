#include "hostlist/hostliststandin.h"

namespace {

constexpr const char* kProgram = "standin_hostlist";
constexpr std::size_t kMaxListBytes = 16 * 1024 * 1024;

yp::Result<void>
Run(int aCount, const char* const* aArguments)
{
  BOOST_LEAF_AUTO(options,
                  yp::StandinOptions::Parse(aCount,
                                            aArguments,
                                            kProgram,
                                            { { "hosts", "JSON file with the list at the start" },
                                              { "lag-ms", "time after which a change becomes visible" } }));
  if (options.helpShown) {
    return {};
  }
  yp::HttpServerSettings settings;
  settings.listen = options.Listen();
  settings.maxBodyBytes = kMaxListBytes;
  const std::string level = options.Text("log-level", "info");
  const std::int64_t lag = options.Integer("lag-ms", 0, 0, 3600 * 1000);
  const std::string file = options.Text("hosts", "");
  BOOST_LEAF_CHECK(options.Finish());
  yp::ConfigureLog(kProgram, level);

  boost::asio::io_context context;
  yp::HostListStandin standin{ std::chrono::milliseconds(lag) };
  if (!file.empty()) {
    BOOST_LEAF_CHECK(standin.LoadFile(file));
  }
  BOOST_LEAF_AUTO(
    server,
    yp::StartHttpServer(context, settings, [&standin](yp::HttpRequest aRequest, yp::HttpRespond aRespond) {
      standin.Handle(std::move(aRequest), std::move(aRespond));
    }));
  yp::RunStandin(context, *server, [] {});
  return {};
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return yp::RunMain(kProgram, [&] { return Run(aCount, aArguments); });
}
