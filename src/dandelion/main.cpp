/// The operators' command-line tool.
#include "dandelion/Commands.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

ABSL_FLAG(std::string, nodes, "127.0.0.1:7003", "operator endpoints of nodes, tried in turn");
ABSL_FLAG(std::string, key_file, "", "file with the operators' key, if the nodes require one");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, watch, false, "poll until the note is in force everywhere or refused");
ABSL_FLAG(bool, log, false, "explain reads log files instead of querying a node");
ABSL_FLAG(int64_t, timeout_ms, 30000, "time limit of submit and --watch");

int main(int aCount, char** aArguments)
{
  using namespace dandelion;
  absl::SetProgramUsageMessage(HelpText(std::nullopt));
  std::vector<char*> arguments = absl::ParseCommandLine(aCount, aArguments);
  auto nodes = ParseNodes(absl::GetFlag(FLAGS_nodes));
  if (!nodes.ok()) {
    fmt::print(stderr, "dandelion: {}\n", MessageOf(nodes.status()));
    return TraitsOf(KindOf(nodes.status())).exitCode;
  }
  auto keys = ReadKeyFile(absl::GetFlag(FLAGS_key_file));
  if (!keys.ok()) {
    fmt::print(stderr, "dandelion: {}\n", MessageOf(keys.status()));
    return TraitsOf(KindOf(keys.status())).exitCode;
  }
  CommandOptions options;
  options.isJson = absl::GetFlag(FLAGS_json);
  options.readsLogs = absl::GetFlag(FLAGS_log);
  options.isWatching = absl::GetFlag(FLAGS_watch);
  options.timeLimit = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  OperatorClient client(*nodes, *keys);
  return RunCommand(
    client, options, std::vector<std::string>(arguments.begin() + 1, arguments.end()));
}
