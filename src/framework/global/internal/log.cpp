#include "framework/global/log.h"
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace yp {

namespace {

spdlog::logger&
Logger(LogTarget aTarget = LogTarget::kStandardError)
{
  static const std::shared_ptr<spdlog::logger> sLogger = [aTarget] {
    auto logger = aTarget == LogTarget::kStandardOutput ? spdlog::stdout_logger_mt("yuccaspool")
                                                        : spdlog::stderr_logger_mt("yuccaspool");
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    return logger;
  }();
  return *sLogger;
}

std::string&
ProcessField()
{
  static std::string sField;
  return sField;
}

spdlog::level::level_enum
ToSpdlog(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || aValue.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void
AppendValue(std::string& aLine, std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char character : aValue) {
    if (character == '\n' || character == '\r') {
      aLine += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      aLine += '\\';
    }
    aLine += character;
  }
  aLine += '"';
}

} // namespace

void
ConfigureLog(std::string_view aProcess, std::string_view aLevel, LogTarget aTarget)
{
  spdlog::logger& logger = Logger(aTarget);
  ProcessField() = aProcess.empty() ? "" : " process=" + std::string(aProcess);
  logger.set_level(spdlog::level::from_str(aLevel == "warning" ? "warn" : std::string(aLevel)));
}

void
LogEvent(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  spdlog::logger& logger = Logger();
  if (!logger.should_log(ToSpdlog(aLevel))) {
    return;
  }
  std::string line = "event=" + std::string(aEvent) + ProcessField();
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  logger.log(ToSpdlog(aLevel), spdlog::string_view_t(line.data(), line.size()));
}

void
LogError(std::string_view aEvent, const Error& aError)
{
  LogEvent(LogLevel::kWarning,
           aEvent,
           { { "code", ToString(aError.code) },
             { "step", aError.step },
             { "peer", aError.peer },
             { "detail", aError.detail } });
}

} // namespace yp
