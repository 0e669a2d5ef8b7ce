#include "ctl/internal/adminclient.h"
#include "ctl/internal/commandoptions.h"
#include "ctl/internal/commands.h"
#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace yp {

namespace {

constexpr int kIndent = 2;
constexpr const char* kDefaultNode = "127.0.0.1:7003";
constexpr std::int64_t kDefaultTimeoutMs = 5000;

/// \return a field as text, "-" when it is missing or null
std::string
TextOf(const Json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || found->is_null()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Prints the rows of an array as a table with one column a field.
void
PrintTable(const Json& aRows, const std::vector<const char*>& aColumns, std::ostream& aStream)
{
  std::vector<std::size_t> widths;
  for (const char* column : aColumns) {
    std::size_t width = std::string(column).size();
    for (const Json& row : aRows) {
      width = std::max(width, TextOf(row, column).size());
    }
    widths.push_back(width);
  }
  for (std::size_t i = 0; i < aColumns.size(); ++i) {
    aStream << std::left << std::setw(static_cast<int>(widths[i]) + 2) << aColumns[i];
  }
  aStream << "\n";
  for (const Json& row : aRows) {
    for (std::size_t i = 0; i < aColumns.size(); ++i) {
      aStream << std::left << std::setw(static_cast<int>(widths[i]) + 2) << TextOf(row, aColumns[i]);
    }
    aStream << "\n";
  }
}

/// \return the text with every character outside letters, digits, '-', '_' and '.' percent-encoded
std::string
UrlEncode(const std::string& aText)
{
  constexpr const char* kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
      encoded += character;
      continue;
    }
    encoded += { '%', kHex[byte >> 4], kHex[byte & 15] };
  }
  return encoded;
}

} // namespace

void
NodeCommand::Describe(cxxopts::Options&) const
{
}

ExitCode
NodeCommand::Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput)
{
  cxxopts::Options options("yuccaspoolctl " + this->Name(), this->Summary());
  options.add_options()("json", "print the node's reply as JSON")(
    "node", "admin address of the node to ask", cxxopts::value<std::string>()->default_value(kDefaultNode))(
    "timeout-ms",
    "longest wait for the node",
    cxxopts::value<std::int64_t>()->default_value(std::to_string(kDefaultTimeoutMs)));
  this->Describe(options);
  ExitCode exitCode = ExitCode::kSuccess;
  const auto parsed = ParseCommandOptions(options, aArguments, aOutput, exitCode);
  if (!parsed) {
    return exitCode;
  }
  const auto timeout = std::chrono::milliseconds((*parsed)["timeout-ms"].as<std::int64_t>());
  const auto report = [&aOutput](const Error& aError) {
    aOutput.err << "error: " << yp::Describe(aError) << "\n";
    return aError.step == "endpoint.parse" ? ExitCode::kUsage : ExitCode::kUnreachable;
  };
  return Recover(
    [&]() -> Result<ExitCode> {
      BOOST_LEAF_AUTO(node, ParseEndpoint((*parsed)["node"].as<std::string>()));
      BOOST_LEAF_AUTO(reply, AskNode(node, this->Target(*parsed), timeout));
      if (parsed->count("json") == 0) {
        return this->Print(*parsed, reply, aOutput);
      }
      aOutput.out << reply.dump(kIndent) << "\n";
      return ExitCode::kSuccess;
    },
    report);
}

void
InForceCommand::Describe(cxxopts::Options& aOptions) const
{
  aOptions.add_options()("ticket",
                         "exit with 1 unless this ticket is in force on every node that was heard",
                         cxxopts::value<std::uint64_t>());
}

std::string
InForceCommand::Target(const cxxopts::ParseResult&) const
{
  return "/admin/fleet";
}

ExitCode
InForceCommand::Print(const cxxopts::ParseResult& aParsed,
                      const Json& aReply,
                      const CommandOutput& aOutput) const
{
  const Json& rows = aReply.at("rows");
  PrintTable(rows, { "host", "failure_domain", "state", "in_force", "heard", "age_ms" }, aOutput.out);
  if (aParsed.count("ticket") == 0) {
    return ExitCode::kSuccess;
  }
  const auto ticket = aParsed["ticket"].as<std::uint64_t>();
  std::size_t behind = 0;
  std::size_t unheard = 0;
  for (const Json& row : rows) {
    const bool heard = row.value("heard", false);
    unheard += heard ? 0 : 1;
    behind += heard && row.value("in_force", std::uint64_t(0)) < ticket ? 1 : 0;
  }
  aOutput.out << "ticket " << ticket << ": " << rows.size() - behind - unheard << " nodes in force, "
              << behind << " behind, " << unheard << " not heard of\n";
  return behind == 0 && unheard == 0 ? ExitCode::kSuccess : ExitCode::kNegative;
}

std::string
AuditCommand::Target(const cxxopts::ParseResult&) const
{
  return "/admin/audit";
}

ExitCode
AuditCommand::Print(const cxxopts::ParseResult&, const Json& aReply, const CommandOutput& aOutput) const
{
  PrintTable(aReply.at("records"),
             { "when", "ticket", "object", "from", "to", "learnt_from", "rejection" },
             aOutput.out);
  return ExitCode::kSuccess;
}

void
ExplainCommand::Describe(cxxopts::Options& aOptions) const
{
  aOptions.add_options()("caller", "caller to explain", cxxopts::value<std::string>()->default_value(""))(
    "service", "service to explain", cxxopts::value<std::string>()->default_value(""))(
    "shard", "shard to explain", cxxopts::value<std::uint32_t>()->default_value("0"));
}

std::string
ExplainCommand::Target(const cxxopts::ParseResult& aParsed) const
{
  return "/admin/explain?caller=" + UrlEncode(aParsed["caller"].as<std::string>()) +
         "&service=" + UrlEncode(aParsed["service"].as<std::string>()) +
         "&shard=" + std::to_string(aParsed["shard"].as<std::uint32_t>());
}

ExitCode
ExplainCommand::Print(const cxxopts::ParseResult&, const Json& aReply, const CommandOutput& aOutput) const
{
  aOutput.out << "caller " << TextOf(aReply, "caller") << ", service " << TextOf(aReply, "service")
              << ", shard " << TextOf(aReply, "shard") << ", ticket in force " << TextOf(aReply, "ticket")
              << "\n\nnodes:\n";
  PrintTable(aReply.at("nodes"), { "host", "failure_domain", "address", "weight", "reason" }, aOutput.out);
  aOutput.out << "\nreplicas:\n";
  PrintTable(aReply.at("replicas"),
             { "leaf",
               "server",
               "failure_domain",
               "layout",
               "own_connections",
               "in_flight",
               "latency_ms",
               "versions",
               "reason" },
             aOutput.out);
  const Json& replicas = aReply.at("replicas");
  const bool holds = std::any_of(replicas.begin(), replicas.end(), [](const Json& aReplica) {
    return aReplica.value("own_connections", 0) > 0;
  });
  if (!holds) {
    aOutput.out << "\nthe asked node holds no connections to the service; ask a holder for what it saw of "
                   "the replicas\n";
  }
  return ExitCode::kSuccess;
}

std::string
NodesCommand::Target(const cxxopts::ParseResult&) const
{
  return "/admin/members";
}

ExitCode
NodesCommand::Print(const cxxopts::ParseResult&, const Json& aReply, const CommandOutput& aOutput) const
{
  PrintTable(
    aReply.at("members"),
    { "host", "failure_domain", "region", "state", "caller", "unreachable", "placed", "incarnation" },
    aOutput.out);
  return ExitCode::kSuccess;
}

std::string
StatusCommand::Target(const cxxopts::ParseResult&) const
{
  return "/admin/status";
}

ExitCode
StatusCommand::Print(const cxxopts::ParseResult&, const Json& aReply, const CommandOutput& aOutput) const
{
  for (const auto& field : aReply.items()) {
    aOutput.out << field.key() << ": " << TextOf(aReply, field.key().c_str()) << "\n";
  }
  return ExitCode::kSuccess;
}

} // namespace yp
