#include "ctl/internal/commandoptions.h"
#include <fstream>
#include <ostream>
#include <sstream>

namespace yp {

std::optional<cxxopts::ParseResult>
ParseCommandOptions(cxxopts::Options& aOptions,
                    const std::vector<std::string>& aArguments,
                    const CommandOutput& aOutput,
                    ExitCode& aExitCode)
{
  aOptions.add_options()("h,help", "show this help");
  std::vector<const char*> arguments{ "yuccaspoolctl" };
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  try {
    cxxopts::ParseResult parsed = aOptions.parse(static_cast<int>(arguments.size()), arguments.data());
    if (parsed.count("help") == 0) {
      return parsed;
    }
    aOutput.out << aOptions.help();
    aExitCode = ExitCode::kSuccess;
  } catch (const cxxopts::exceptions::exception& error) {
    aOutput.err << "error: " << error.what() << "\n" << aOptions.help();
    aExitCode = ExitCode::kUsage;
  }
  return std::nullopt;
}

std::optional<std::string>
ReadFileOrReport(const std::string& aPath, const CommandOutput& aOutput)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::stringstream content;
  if (!stream || !(content << stream.rdbuf())) {
    aOutput.err << "error: file " << aPath << " cannot be read or is empty\n";
    return std::nullopt;
  }
  return content.str();
}

} // namespace yp
