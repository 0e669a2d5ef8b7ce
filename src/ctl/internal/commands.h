#ifndef YP_CTL_INTERNAL_COMMANDS_H
#define YP_CTL_INTERNAL_COMMANDS_H

#include "ctl/icommand.h"
#include "framework/global/codec.h"

namespace cxxopts {
class Options;
class ParseResult;
} // namespace cxxopts

namespace yp {

/// Checks ticket files before they are published.
class LintCommand final : public ICommand
{
public:
  std::string Name() const override { return "lint"; }
  std::string Summary() const override { return "check ticket files before they are published"; }
  ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) override;
};

/// Shows the state that a sequence of tickets yields.
class StateCommand final : public ICommand
{
public:
  std::string Name() const override { return "state"; }
  std::string Summary() const override { return "show the state that a sequence of ticket files yields"; }
  ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) override;
};

/// Compares two tickets object by object.
class DiffCommand final : public ICommand
{
public:
  std::string Name() const override { return "diff"; }
  std::string Summary() const override { return "compare two ticket files object by object"; }
  ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) override;
};

/// Follows one request through the log files of the nodes.
class TraceCommand final : public ICommand
{
public:
  std::string Name() const override { return "trace"; }
  std::string Summary() const override
  {
    return "show a request's log lines, and what its nodes believed of the leafs that they name";
  }
  ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) override;
};

/// Asks one node's admin interface and prints the reply.
class NodeCommand : public ICommand
{
public:
  ExitCode Run(const std::vector<std::string>& aArguments, const CommandOutput& aOutput) override;

protected:
  /// Adds the command's own options.
  virtual void Describe(cxxopts::Options& aOptions) const;

  /// \return path and query of the admin interface for the parsed options
  virtual std::string Target(const cxxopts::ParseResult& aParsed) const = 0;

  /// Prints the reply for a person.
  virtual ExitCode Print(const cxxopts::ParseResult& aParsed,
                         const Json& aReply,
                         const CommandOutput& aOutput) const = 0;
};

/// Shows which ticket is in force on which node.
class InForceCommand final : public NodeCommand
{
public:
  std::string Name() const override { return "in-force"; }
  std::string Summary() const override { return "show which ticket is in force on every node"; }

protected:
  void Describe(cxxopts::Options& aOptions) const override;
  std::string Target(const cxxopts::ParseResult& aParsed) const override;
  ExitCode Print(const cxxopts::ParseResult& aParsed,
                 const Json& aReply,
                 const CommandOutput& aOutput) const override;
};

/// Shows the audit trail of one node.
class AuditCommand final : public NodeCommand
{
public:
  std::string Name() const override { return "audit"; }
  std::string Summary() const override { return "show a node's audit trail of changes in force"; }

protected:
  std::string Target(const cxxopts::ParseResult& aParsed) const override;
  ExitCode Print(const cxxopts::ParseResult& aParsed,
                 const Json& aReply,
                 const CommandOutput& aOutput) const override;
};

/// Explains which nodes and replicas serve a caller and shard.
class ExplainCommand final : public NodeCommand
{
public:
  std::string Name() const override { return "explain"; }
  std::string Summary() const override { return "explain which nodes and replicas serve a caller and shard"; }

protected:
  void Describe(cxxopts::Options& aOptions) const override;
  std::string Target(const cxxopts::ParseResult& aParsed) const override;
  ExitCode Print(const cxxopts::ParseResult& aParsed,
                 const Json& aReply,
                 const CommandOutput& aOutput) const override;
};

/// Lists the nodes that one node knows.
class NodesCommand final : public NodeCommand
{
public:
  std::string Name() const override { return "nodes"; }
  std::string Summary() const override { return "list nodes, their failure domain and state"; }

protected:
  std::string Target(const cxxopts::ParseResult& aParsed) const override;
  ExitCode Print(const cxxopts::ParseResult& aParsed,
                 const Json& aReply,
                 const CommandOutput& aOutput) const override;
};

/// Shows one node's own status.
class StatusCommand final : public NodeCommand
{
public:
  std::string Name() const override { return "status"; }
  std::string Summary() const override { return "show one node's own status"; }

protected:
  std::string Target(const cxxopts::ParseResult& aParsed) const override;
  ExitCode Print(const cxxopts::ParseResult& aParsed,
                 const Json& aReply,
                 const CommandOutput& aOutput) const override;
};

} // namespace yp

#endif
