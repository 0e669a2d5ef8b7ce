#ifndef YP_CTL_ICOMMAND_H
#define YP_CTL_ICOMMAND_H

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

namespace yp {

/// Exit codes of yuccaspoolctl.
enum class ExitCode
{
  kSuccess = 0,
  kNegative =
    1, ///< the question was answered with no: invalid ticket, not in force everywhere, differences found
  kUsage = 2,       ///< the command line is wrong or a file cannot be read
  kUnreachable = 3, ///< a node did not answer
};

/// Where a command writes.
struct CommandOutput
{
  std::ostream& out;
  std::ostream& err;
};

/// One subcommand of yuccaspoolctl.
class ICommand
{
public:
  virtual ~ICommand() = default;

  /// \return the word that selects the command
  virtual std::string Name() const = 0;

  /// \return one line for the list of commands
  virtual std::string Summary() const = 0;

  /// Runs the command.
  /// \param aArguments arguments after the command's name
  virtual ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) = 0;
};

/// \return all commands, in the order in which help lists them
std::vector<std::unique_ptr<ICommand>>
MakeCommands();

/// Selects and runs a command; answers --help and --version.
/// \param aArguments command line without the program's name
ExitCode
RunCommandLine(const std::vector<std::string>& aArguments, const CommandOutput& aOutput);

} // namespace yp

#endif
