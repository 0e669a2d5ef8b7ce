#include "ctl/internal/commands.h"
#include "framework/global/global.h"
#include <iomanip>
#include <ostream>

namespace yp {

namespace {

constexpr int kNameWidth = 12;

void
PrintHelp(const std::vector<std::unique_ptr<ICommand>>& aCommands, std::ostream& aStream)
{
  aStream << "yuccaspoolctl " << kVersion << " - operators' tool of yuccaspool\n\n"
          << "usage: yuccaspoolctl COMMAND [OPTIONS]\n\ncommands:\n";
  for (const auto& command : aCommands) {
    aStream << "  " << std::left << std::setw(kNameWidth) << command->Name() << command->Summary() << "\n";
  }
  aStream << "\nyuccaspoolctl COMMAND --help shows the options of a command.\n\n"
          << "exit codes: 0 success; 1 the answer is no (invalid ticket, not in force everywhere, tickets "
             "differ);\n"
          << "            2 wrong usage or unreadable file; 3 the node did not answer\n";
}

} // namespace

std::vector<std::unique_ptr<ICommand>>
MakeCommands()
{
  std::vector<std::unique_ptr<ICommand>> commands;
  commands.push_back(std::make_unique<LintCommand>());
  commands.push_back(std::make_unique<StateCommand>());
  commands.push_back(std::make_unique<DiffCommand>());
  commands.push_back(std::make_unique<TraceCommand>());
  commands.push_back(std::make_unique<InForceCommand>());
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<NodesCommand>());
  commands.push_back(std::make_unique<AuditCommand>());
  commands.push_back(std::make_unique<ExplainCommand>());
  return commands;
}

ExitCode
RunCommandLine(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  const auto commands = MakeCommands();
  if (aArguments.empty()) {
    PrintHelp(commands, aOutput.err);
    return ExitCode::kUsage;
  }
  const std::string& word = aArguments.front();
  if (word == "--help" || word == "-h" || word == "help") {
    PrintHelp(commands, aOutput.out);
    return ExitCode::kSuccess;
  }
  if (word == "--version") {
    aOutput.out << kVersion << "\n";
    return ExitCode::kSuccess;
  }
  for (const auto& command : commands) {
    if (command->Name() == word) {
      return command->Run({ aArguments.begin() + 1, aArguments.end() }, aOutput);
    }
  }
  aOutput.err << "error: unknown command \"" << word << "\"\n";
  PrintHelp(commands, aOutput.err);
  return ExitCode::kUsage;
}

} // namespace yp
