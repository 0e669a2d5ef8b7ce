#include "ctl/internal/commandoptions.h"
#include "ctl/internal/commands.h"
#include "tickets/tickets.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace yp {

namespace {

constexpr int kIndent = 2;

/// A ticket file as read by a command.
struct TicketFile
{
  std::string path;
  Ref<const Ticket> ticket;
};

/// Parses a file under the number that its body names, since it has no published number yet.
TicketFile
ParseFile(const std::string& aPath, const std::string& aBody)
{
  const TicketNumber number =
    Recover([&aBody] { return ReadTicketNumber(aBody); }, [](const Error&) { return TicketNumber(0); });
  return { aPath, ParseTicket(number, aBody) };
}

std::optional<std::vector<TicketFile>>
ReadTicketFiles(const std::vector<std::string>& aPaths, const CommandOutput& aOutput)
{
  std::vector<TicketFile> files;
  for (const std::string& path : aPaths) {
    const std::optional<std::string> body = ReadFileOrReport(path, aOutput);
    if (!body) {
      return std::nullopt;
    }
    files.push_back(ParseFile(path, *body));
  }
  return files;
}

cxxopts::Options
FileOptions(const ICommand& aCommand, const std::string& aFilesHelp)
{
  cxxopts::Options options("yuccaspoolctl " + aCommand.Name(), aCommand.Summary());
  options.add_options()("json",
                        "print JSON")("files", aFilesHelp, cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "files" });
  options.positional_help("FILE...");
  return options;
}

/// Parses options and reads the files of a command.
/// \return the files, or nothing with the exit code set
std::optional<std::vector<TicketFile>>
OpenFiles(cxxopts::Options& aOptions,
          const std::vector<std::string>& aArguments,
          const CommandOutput& aOutput,
          bool& aJson,
          ExitCode& aExitCode)
{
  const auto parsed = ParseCommandOptions(aOptions, aArguments, aOutput, aExitCode);
  if (!parsed) {
    return std::nullopt;
  }
  aExitCode = ExitCode::kUsage;
  if (parsed->count("files") == 0) {
    aOutput.err << "error: no ticket file given\n" << aOptions.help();
    return std::nullopt;
  }
  aJson = parsed->count("json") != 0;
  return ReadTicketFiles((*parsed)["files"].as<std::vector<std::string>>(), aOutput);
}

Json
DescribeService(const ServiceSpec& aService)
{
  Json layouts = Json::array();
  for (const LayoutSpec& layout : aService.layouts) {
    layouts.push_back({ { "layout", layout.layout },
                        { "shards", layout.shards.size() },
                        { "weight", layout.TotalWeight() } });
  }
  return { { "ticket", aService.ticket },
           { "slots", aService.slots },
           { "connections", aService.connections },
           { "leafs", aService.leafs.size() },
           { "layouts", layouts } };
}

Json
DescribeCaller(const CallerSpec& aCaller)
{
  return { { "ticket", aCaller.ticket },
           { "services", aCaller.services },
           { "policy", aCaller.policy == CallerPolicy::kLatency ? "latency" : "coverage" },
           { "deadline_ms", aCaller.deadline.count() },
           { "min_coverage", aCaller.minCoverage },
           { "share", aCaller.share } };
}

Json
DescribeFleet(const FleetSpec& aFleet)
{
  Json domains = Json::array();
  for (const FailureDomainSpec& domain : aFleet.failureDomains) {
    domains.push_back(domain.name);
  }
  return { { "ticket", aFleet.ticket },
           { "failure_domains", domains },
           { "extra_load_percent", aFleet.extraLoadPercent },
           { "address_ttl_ms", aFleet.addressTtl.count() },
           { "connection_headroom_percent", aFleet.connectionHeadroomPercent } };
}

Json
DescribeState(const TicketState& aState)
{
  Json services = Json::object();
  for (const auto& service : aState.services) {
    services[service.first] = DescribeService(*service.second);
  }
  Json callers = Json::object();
  for (const auto& caller : aState.callers) {
    callers[caller.first] = DescribeCaller(*caller.second);
  }
  return { { "in_force", aState.inForce },
           { "services", services },
           { "callers", callers },
           { "fleet", DescribeFleet(*aState.fleet) } };
}

/// \return the JSON state of each object of a valid ticket, by "kind/name"
std::map<std::string, Json>
ObjectStates(const Ticket& aTicket)
{
  std::map<std::string, Json> states;
  const Json document = Json::parse(aTicket.body);
  for (const Json& object : document["objects"]) {
    states[object["kind"].get<std::string>() + "/" + object["name"].get<std::string>()] = object["state"];
  }
  return states;
}

Json
Differences(const Ticket& aFirst, const Ticket& aSecond)
{
  const std::map<std::string, Json> first = ObjectStates(aFirst);
  const std::map<std::string, Json> second = ObjectStates(aSecond);
  Json differences = Json::array();
  for (const auto& state : first) {
    const auto other = second.find(state.first);
    if (other == second.end()) {
      differences.push_back({ { "object", state.first }, { "only_in", aFirst.header.number } });
    } else if (other->second != state.second) {
      differences.push_back(
        { { "object", state.first }, { "changes", Json::diff(state.second, other->second) } });
    }
  }
  for (const auto& state : second) {
    if (first.count(state.first) == 0) {
      differences.push_back({ { "object", state.first }, { "only_in", aSecond.header.number } });
    }
  }
  return differences;
}

void
PrintDifferences(const Json& aDifferences, std::ostream& aStream)
{
  for (const Json& difference : aDifferences) {
    aStream << difference["object"].get<std::string>();
    if (difference.contains("only_in")) {
      aStream << " only in ticket " << difference["only_in"] << "\n";
      continue;
    }
    aStream << "\n";
    for (const Json& change : difference["changes"]) {
      aStream << "  " << change["op"].get<std::string>() << " " << change["path"].get<std::string>();
      if (change.contains("value")) {
        aStream << " " << change["value"].dump();
      }
      aStream << "\n";
    }
  }
}

} // namespace

ExitCode
LintCommand::Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  cxxopts::Options options = FileOptions(*this, "ticket files");
  bool json = false;
  ExitCode exitCode = ExitCode::kSuccess;
  const auto files = OpenFiles(options, aArguments, aOutput, json, exitCode);
  if (!files) {
    return exitCode;
  }
  Json verdicts = Json::array();
  bool allValid = true;
  for (const TicketFile& file : *files) {
    const bool valid = file.ticket->header.valid;
    allValid = allValid && valid;
    verdicts.push_back({ { "file", file.path }, { "valid", valid }, { "reason", file.ticket->rejection } });
    if (!json) {
      (valid ? aOutput.out : aOutput.err)
        << file.path << ": " << (valid ? "valid" : "invalid: " + file.ticket->rejection) << "\n";
    }
  }
  if (json) {
    aOutput.out << verdicts.dump(kIndent, ' ', false, Json::error_handler_t::replace) << "\n";
  }
  return allValid ? ExitCode::kSuccess : ExitCode::kNegative;
}

ExitCode
StateCommand::Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  cxxopts::Options options = FileOptions(*this, "ticket files in any order");
  bool json = false;
  ExitCode exitCode = ExitCode::kSuccess;
  const auto files = OpenFiles(options, aArguments, aOutput, json, exitCode);
  if (!files) {
    return exitCode;
  }
  const SystemClock clock;
  const std::unique_ptr<ITicketStore> store = MakeTicketStore(clock);
  for (const TicketFile& file : *files) {
    if (!file.ticket->header.valid) {
      aOutput.err << file.path << ": invalid, changes nothing: " << file.ticket->rejection << "\n";
    }
    if (file.ticket->header.number != 0) {
      store->Add(file.ticket->header.number, file.ticket->body, file.path);
    }
  }
  for (const TicketRange& range : store->Missing(1)) {
    aOutput.err << "tickets " << range.first << " to " << range.last
                << " are missing; later tickets are not in force\n";
  }
  aOutput.out << DescribeState(*store->State()).dump(kIndent) << "\n";
  return store->Missing(1).empty() ? ExitCode::kSuccess : ExitCode::kNegative;
}

ExitCode
DiffCommand::Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  cxxopts::Options options = FileOptions(*this, "two ticket files");
  bool json = false;
  ExitCode exitCode = ExitCode::kSuccess;
  const auto files = OpenFiles(options, aArguments, aOutput, json, exitCode);
  if (!files) {
    return exitCode;
  }
  if (files->size() != 2) {
    aOutput.err << "error: diff takes two ticket files\n";
    return ExitCode::kUsage;
  }
  for (const TicketFile& file : *files) {
    if (!file.ticket->header.valid) {
      aOutput.err << file.path << ": invalid: " << file.ticket->rejection << "\n";
      return ExitCode::kUsage;
    }
  }
  const Json differences = Differences(*files->at(0).ticket, *files->at(1).ticket);
  if (json) {
    aOutput.out << differences.dump(kIndent) << "\n";
  } else {
    PrintDifferences(differences, aOutput.out);
  }
  return differences.empty() ? ExitCode::kSuccess : ExitCode::kNegative;
}

} // namespace yp
