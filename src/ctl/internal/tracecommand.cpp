#include "ctl/internal/commandoptions.h"
#include "ctl/internal/commands.h"
#include <algorithm>
#include <cxxopts.hpp>
#include <map>
#include <ostream>
#include <set>
#include <sstream>

namespace yp {

namespace {

/// One line of a log file: key=value pairs, with values in quotes where they hold spaces.
struct LogLine
{
  std::map<std::string, std::string> fields;
  std::string text;

  std::string Field(const std::string& aKey) const
  {
    const auto found = this->fields.find(aKey);
    return found == this->fields.end() ? "" : found->second;
  }
};

LogLine
ParseLine(const std::string& aText)
{
  LogLine line;
  line.text = aText;
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t equals = aText.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    const std::size_t space = aText.rfind(' ', equals);
    const std::size_t start = space == std::string::npos || space < at ? at : space + 1;
    const bool quoted = equals + 1 < aText.size() && aText[equals + 1] == '"';
    const std::size_t from = equals + (quoted ? 2 : 1);
    const std::size_t end = std::min(aText.find(quoted ? '"' : ' ', from), aText.size());
    line.fields.emplace(aText.substr(start, equals - start), aText.substr(from, end - from));
    at = std::min(end + (quoted ? 2 : 1), aText.size());
  }
  return line;
}

std::vector<LogLine>
ParseLines(const std::string& aBody)
{
  std::vector<LogLine> lines;
  std::istringstream stream(aBody);
  std::string text;
  while (std::getline(stream, text)) {
    LogLine line = ParseLine(text);
    if (!line.Field("event").empty()) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

/// \return what a line says of a leaf, a route or a service that requests depend on; empty for other lines
std::string
SubjectOf(const LogLine& aLine)
{
  static const std::set<std::string> sEvents{
    "leaf_limit", "leaf_registered", "leaf_removed", "route_limit"
  };
  if (sEvents.count(aLine.Field("event")) == 0) {
    return "";
  }
  const std::string leaf = aLine.Field("leaf");
  return leaf.empty() ? aLine.Field("route") : leaf;
}

/// Collects the lines of one request, and what its nodes believed then of the leafs and the route it names.
class RequestTrace
{
public:
  explicit RequestTrace(std::string aId)
    : id(std::move(aId))
  {
  }

  /// Adds one node's lines, in their order.
  void Add(const std::vector<LogLine>& aLines)
  {
    std::map<std::string, const LogLine*> beliefs;
    for (const LogLine& line : aLines) {
      const std::string subject = SubjectOf(line);
      if (!subject.empty()) {
        beliefs[subject] = &line;
      }
      if (line.Field("id") != this->id) {
        continue;
      }
      for (const char* key : { "leaf", "route" }) {
        const auto belief = beliefs.find(line.Field(key));
        if (belief != beliefs.end()) {
          this->lines.emplace(belief->second->Field("time"), belief->second->text);
        }
      }
      this->lines.emplace(line.Field("time"), line.text);
    }
  }

  bool Empty() const { return this->lines.empty(); }

  void Print(std::ostream& aOut) const
  {
    for (const auto& [time, text] : this->lines) {
      aOut << text << "\n";
    }
  }

private:
  const std::string id;
  std::set<std::pair<std::string, std::string>> lines; ///< by time; a belief that several lines share once
};

} // namespace

ExitCode
TraceCommand::Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  cxxopts::Options options("yuccaspoolctl trace", this->Summary());
  options.add_options()("id", "id of the request", cxxopts::value<std::string>())(
    "files", "log files of the nodes", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "id", "files" });
  options.positional_help("ID FILE...");
  ExitCode exitCode = ExitCode::kSuccess;
  const auto parsed = ParseCommandOptions(options, aArguments, aOutput, exitCode);
  if (!parsed) {
    return exitCode;
  }
  if (parsed->count("id") == 0 || parsed->count("files") == 0) {
    aOutput.err << "error: an id and at least one log file are expected\n" << options.help();
    return ExitCode::kUsage;
  }
  RequestTrace trace((*parsed)["id"].as<std::string>());
  for (const std::string& path : (*parsed)["files"].as<std::vector<std::string>>()) {
    const std::optional<std::string> body = ReadFileOrReport(path, aOutput);
    if (!body) {
      return ExitCode::kUsage;
    }
    trace.Add(ParseLines(*body));
  }
  if (trace.Empty()) {
    aOutput.err << "no line of these files names the request " << (*parsed)["id"].as<std::string>() << "\n";
    return ExitCode::kNegative;
  }
  trace.Print(aOutput.out);
  return ExitCode::kSuccess;
}

} // namespace yp
