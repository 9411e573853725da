/// Subcommands of the operators' command-line tool.
#ifndef DANDELION_DANDELION_COMMANDS_H
#define DANDELION_DANDELION_COMMANDS_H

#include "dandelion/OperatorClient.h"

#include <string>
#include <vector>

namespace dandelion {

enum class CommandName
{
  Check,
  Submit,
  Status,
  Config,
  Nodes,
  Accounts,
  Explain,
  Metrics,
  Help,
};

template<>
struct EnumNames<CommandName>
{
  static constexpr EnumName<CommandName> kTable[] = {
    { CommandName::Check, "check" },     { CommandName::Submit, "submit" },
    { CommandName::Status, "status" },   { CommandName::Config, "config" },
    { CommandName::Nodes, "nodes" },     { CommandName::Accounts, "accounts" },
    { CommandName::Explain, "explain" }, { CommandName::Metrics, "metrics" },
    { CommandName::Help, "help" },
  };
};

struct CommandOptions
{
  bool isJson = false;
  /// `explain` traces a request through log files of nodes instead of sending a query to one.
  bool readsLogs = false;
  /// `submit` and `status` poll until the note is in force everywhere or refused.
  bool isWatching = false;
  /// Applies to `submit` and to polling.
  Duration timeLimit = seconds(30);
};

/// Runs one command and returns the exit code of the process.
int RunCommand(OperatorClient& aClient,
               const CommandOptions& aOptions,
               const std::vector<std::string>& aArguments);

/// Returns the help text of one command, or of all commands.
std::string HelpText(std::optional<CommandName> aCommand);

/// Returns the command name with the smallest edit distance to a mistyped one.
std::string NearestCommand(const std::string& aName);

} // namespace dandelion

#endif
