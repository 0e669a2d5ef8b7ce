#include "app/internal/daemon.h"
#include "framework/program/program.h"

namespace {

yp::Result<yp::ProgramBody>
LoadDaemon(const std::string& aPath)
{
  BOOST_LEAF_AUTO(settings, yp::LoadDaemonSettings(aPath));
  return [settings]() -> yp::Result<void> {
    yp::ConfigureLog(settings.host, settings.logLevel);
    yp::Daemon daemon(settings);
    return daemon.Run();
  };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return yp::RunSettingsProgram(
    { "yuccaspoold", "daemon of the yuccaspool query tier; runs on each entry host", "", LoadDaemon },
    aCount,
    aArguments);
}
