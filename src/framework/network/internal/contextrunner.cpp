#include "framework/network/contextrunner.h"
#include "framework/global/global.h"
#include <atomic>

namespace yp {

namespace {

std::atomic<std::uint64_t> sFailedHandlers{ 0 };

void
ReportFailure(const char* aDetail)
{
  ++sFailedHandlers;
  LogEvent(LogLevel::kError, "handler_failed", { { "step", "network.handler" }, { "detail", aDetail } });
}

} // namespace

void
RunContext(boost::asio::io_context& aContext)
{
  while (true) {
    try {
      aContext.run();
      return;
    } catch (const std::exception& error) {
      ReportFailure(error.what());
    } catch (...) {
      ReportFailure("exception of an unknown type");
    }
  }
}

std::uint64_t
CountFailedHandlers()
{
  return sFailedHandlers;
}

} // namespace yp
