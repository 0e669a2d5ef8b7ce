#include "framework/global/log.h"
#include "framework/global/internal/logwriter.h"
#include <atomic>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace yp {

namespace {

std::atomic<std::uint64_t> sDroppedLines{ 0 };

std::string&
ProcessField()
{
  static std::string sField;
  return sField;
}

/// Writes lines without waiting for their reader.
class WriterSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit WriterSink(int aDescriptor)
    : writer(aDescriptor)
  {
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    this->Write(aMessage);
    const std::uint64_t dropped = this->writer.TakeDropped();
    if (dropped == 0) {
      return;
    }
    sDroppedLines += dropped;
    const std::string text = "event=log_lines_dropped" + ProcessField() + " count=" + std::to_string(dropped);
    this->Write({ aMessage.logger_name, spdlog::level::warn, text });
  }

  void flush_() override { this->writer.Flush(); }

private:
  void Write(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t line;
    this->formatter_->format(aMessage, line);
    this->writer.Write({ line.data(), line.size() });
  }

  LogWriter writer;
};

spdlog::logger&
Logger(LogTarget aTarget = LogTarget::kStandardError)
{
  static const std::shared_ptr<spdlog::logger> sLogger = [aTarget] {
    const int descriptor = aTarget == LogTarget::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    auto logger = std::make_shared<spdlog::logger>("yuccaspool", std::make_shared<WriterSink>(descriptor));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    return logger;
  }();
  return *sLogger;
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

std::uint64_t
CountDroppedLogLines()
{
  return sDroppedLines;
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
