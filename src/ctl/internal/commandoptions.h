#ifndef YP_CTL_INTERNAL_COMMANDOPTIONS_H
#define YP_CTL_INTERNAL_COMMANDOPTIONS_H

#include "ctl/icommand.h"
#include <cxxopts.hpp>
#include <optional>

namespace yp {

/// Parses a command's arguments. Writes help or the problem itself.
/// \param aExitCode set when the command is to end at once
/// \return the options, or nothing when the command is to end
std::optional<cxxopts::ParseResult>
ParseCommandOptions(cxxopts::Options& aOptions,
                    const std::vector<std::string>& aArguments,
                    const CommandOutput& aOutput,
                    ExitCode& aExitCode);

/// Reads a whole file.
/// \return the bytes, or nothing after a message on the error stream
std::optional<std::string>
ReadFileOrReport(const std::string& aPath, const CommandOutput& aOutput);

} // namespace yp

#endif
