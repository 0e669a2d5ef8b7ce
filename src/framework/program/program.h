#ifndef YP_FRAMEWORK_PROGRAM_PROGRAM_H
#define YP_FRAMEWORK_PROGRAM_PROGRAM_H

/// \file
/// Public header of the library yp_program: the command line of programs that run from a settings file.

#include "framework/global/global.h"
#include <functional>
#include <string>

namespace yp {

/// Runs a program whose settings have been read.
using ProgramBody = std::function<Result<void>()>;

/// A program that runs from a settings file.
struct SettingsProgram
{
  std::string name;
  std::string purpose; ///< one line for the help
  std::string
    settingsVariable; ///< environment variable with the file's path when --settings is absent; may be empty

  /// Reads and checks a settings file.
  std::function<Result<ProgramBody>(const std::string& aPath)> load;
};

/// Parses the command line and runs the program. Errors are reported on standard error.
/// \return the exit status: 0; 1 when the program failed; 2 for wrong usage or settings
int
RunSettingsProgram(const SettingsProgram& aProgram, int aCount, char** aArguments);

} // namespace yp

#endif
