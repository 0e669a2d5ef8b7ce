#ifndef YP_STANDINS_COMMON_STANDINPROGRAM_H
#define YP_STANDINS_COMMON_STANDINPROGRAM_H

#include "framework/network/network.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// How a stand-in answers at present.
enum class StandinMode
{
  kUp,
  kDown, ///< answers 503
  kStale ///< answers with old state
};

/// \return up, down or stale
const char*
ToString(StandinMode aMode);

/// Parses what ToString writes.
std::optional<StandinMode>
ParseStandinMode(std::string_view aText);

/// \return a 400 response that says what is wrong
HttpResponse
BadRequest(const std::string& aDetail);

/// \return the query parameter as a whole number; the default when absent, nothing when malformed
std::optional<std::uint64_t>
NumberParameter(const HttpTarget& aTarget,
                const std::string& aName,
                std::optional<std::uint64_t> aDefault = {});

/// Options of a stand-in, from the command line or from the section [standin] of an INI file. The command
/// line wins. The key of an option is its name with "_" in place of "-".
class StandinOptions
{
public:
  struct Option
  {
    std::string name;
    std::string help;
  };

  /// Parses the command line and reads the file that --settings names. The options --address, --port and
  /// --log-level exist always.
  /// \return the options; kBadInput for an unknown option or an unreadable file
  static Result<StandinOptions> Parse(int aCount,
                                      const char* const* aArguments,
                                      const std::string& aProgram,
                                      const std::vector<Option>& aOptions);

  std::string Text(const std::string& aName, const std::string& aDefault);
  std::int64_t Integer(const std::string& aName, std::int64_t aDefault, std::int64_t aMin, std::int64_t aMax);

  /// \return the listening address; 127.0.0.1 and a free port by default
  Endpoint Listen();

  /// Ends the checks.
  /// \return success, or kBadInput with one line for each wrong or unknown option
  Result<void> Finish();

  bool helpShown = false; ///< --help was given and answered

private:
  StandinOptions(SettingsFile aCommandLine, SettingsFile aFile);

  SettingsFile commandLine;
  SettingsFile file;
};

/// Runs until SIGTERM or SIGINT, then drains the server.
/// \param aOnStop called before the drain
void
RunStandin(boost::asio::io_context& aContext, IHttpServer& aServer, const std::function<void()>& aOnStop);

/// Runs the body of a main function and reports its error.
/// \return the exit status: 0, or 2 after an error
int
RunMain(const std::string& aProgram, const std::function<Result<void>()>& aBody);

} // namespace yp

#endif
