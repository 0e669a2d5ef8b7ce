#ifndef YP_FRAMEWORK_GLOBAL_LOG_H
#define YP_FRAMEWORK_GLOBAL_LOG_H

#include "framework/global/errors.h"
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace yp {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError
};

/// One key=value pair of a log line.
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  template<class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view aKey, T aValue)
    : key(aKey)
    , value(std::to_string(aValue))
  {
  }

  std::string_view key;
  std::string value;
};

enum class LogTarget
{
  kStandardError,
  kStandardOutput
};

/// Sets the lowest level that is written and the name of the process, which every line carries.
/// \param aLevel debug, info, warning or error
/// \param aTarget where lines go; decided by the first call, before the first line
void
ConfigureLog(std::string_view aProcess,
             std::string_view aLevel,
             LogTarget aTarget = LogTarget::kStandardError);

/// \return lines that were dropped because the reader of the log did not keep up, up to its last return
std::uint64_t
CountDroppedLogLines();

/// Writes one line "event=... key=value ..."; values with spaces or quotes are quoted.
void
LogEvent(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

/// Writes one line for an error with its code, step, peer and detail.
void
LogError(std::string_view aEvent, const Error& aError);

} // namespace yp

#endif
