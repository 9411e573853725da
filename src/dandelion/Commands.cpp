#include "dandelion/Commands.h"

#include "dandelion/RequestTrace.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>

namespace dandelion {

namespace {

constexpr Duration kRequestTimeout = seconds(5);
constexpr Duration kPollInterval = milliseconds(200);
/// Added to a submission's time limit when waiting for the node's response.
constexpr Duration kResponseMargin = seconds(2);
constexpr int kMinErrorStatus = 400;

struct CommandHelp
{
  CommandName name;
  const char* synopsis;
  const char* description;
};

constexpr CommandHelp kHelp[] = {
  { CommandName::Check,
    "check NOTE",
    "reports whether a note would be accepted now; changes nothing" },
  { CommandName::Submit,
    "submit NOTE [--watch]",
    "submits a release note; may be repeated safely" },
  { CommandName::Status, "status NOTE-ID [--watch]", "shows how far a note has been rolled out" },
  { CommandName::Config, "config", "shows the configuration in force on the queried node" },
  { CommandName::Nodes, "nodes", "lists the nodes known to the queried node" },
  { CommandName::Accounts, "accounts", "lists the client accounts and their caps; shows no keys" },
  { CommandName::Explain, "explain METHOD PATH", "shows how a call would be routed, and why" },
  { CommandName::Explain,
    "explain --log FILE... REQUEST-ID",
    "traces a request through the nodes' logs; \"-\" is standard input" },
  { CommandName::Metrics, "metrics", "shows the metrics of the queried node" },
  { CommandName::Help, "help [COMMAND]", "shows this text" },
};

int ReportError(const absl::Status& aStatus)
{
  fmt::print(stderr, "dandelion: {}\n", MessageOf(aStatus));
  return TraitsOf(KindOf(aStatus)).exitCode;
}

std::string TextOf(const Json& aJson, const char* aName)
{
  auto found = aJson.find(aName);
  if (found == aJson.end() || found->is_null()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

int ExitCodeOf(const Json& aAnswer)
{
  std::optional<ErrorKind> kind = FromName<ErrorKind>(TextOf(aAnswer, "error"));
  return kind.has_value() ? TraitsOf(*kind).exitCode : 0;
}

absl::StatusOr<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorKind::Usage, fmt::format("cannot read \"{}\"; check the path", aPath));
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Formats the progress of a note as one line: "note X, version 3: spreading, 10 of 12 nodes".
std::string ProgressLine(const Json& aStatus)
{
  int64_t members = 0;
  int64_t inForce = 0;
  std::string missing;
  for (const Json& zone : aStatus.value("zones", Json::array())) {
    members += zone.value("members", 0);
    inForce += zone.value("in_force", 0);
    for (const Json& id : zone.value("missing", Json::array())) {
      missing += " " + id.get<std::string>();
    }
    if (!zone.value("reachable", true)) {
      missing += fmt::format(" (zone {} is unreachable)", TextOf(zone, "zone"));
    }
  }
  std::string line = fmt::format("note {}", TextOf(aStatus, "id"));
  if (aStatus.contains("version")) {
    line += fmt::format(", version {}", TextOf(aStatus, "version"));
  }
  line += ": " + TextOf(aStatus, "state");
  if (members > 0) {
    line += fmt::format(", {} of {} nodes", inForce, members);
  }
  if (!missing.empty()) {
    line += ", missing:" + missing;
  }
  std::string reason = TextOf(aStatus, "reason");
  return reason.empty() ? line : line + ": " + reason;
}

void PrintStatus(const Json& aStatus, const CommandOptions& aOptions)
{
  if (aOptions.isJson) {
    fmt::print("{}\n", aStatus.dump(2));
  } else {
    fmt::print("{}\n", ProgressLine(aStatus));
  }
}

bool IsFinal(const Json& aStatus)
{
  std::string state = TextOf(aStatus, "state");
  return state == NameOf(NoteState::InForceEverywhere) || state == NameOf(NoteState::Refused);
}

/// Polls a note's status until it is final or the time limit has passed.
int WatchNote(OperatorClient& aClient, const CommandOptions& aOptions, const std::string& aId)
{
  auto now = [] { return std::chrono::steady_clock::now(); };
  auto deadline = now() + aOptions.timeLimit;
  bool showsProgress = isatty(STDERR_FILENO) != 0 && !aOptions.isJson;
  while (true) {
    auto status =
      aClient.SendForJson(HttpRequest{ "GET", "/v1/notes/" + aId, {}, "" }, kRequestTimeout);
    if (!status.ok()) {
      return ReportError(status.status());
    }
    if (IsFinal(*status) || !aOptions.isWatching) {
      PrintStatus(*status, aOptions);
      return ExitCodeOf(*status);
    }
    if (showsProgress) {
      fmt::print(stderr, "\r{}\x1b[K", ProgressLine(*status));
    }
    if (now() >= deadline) {
      PrintStatus(*status, aOptions);
      return TraitsOf(ErrorKind::DeadlineExceeded).exitCode;
    }
    aClient.Wait(kPollInterval);
  }
}

/// Adds the current version as the base of a note that has none, so that a retry through another
/// node is validated against the same version.
absl::StatusOr<std::string> WithDefaultBase(OperatorClient& aClient, const std::string& aText)
{
  auto json = ParseJson(aText, kMaxNoteBytes);
  if (!json.ok()) {
    return json.status();
  }
  if (!json->is_object() || json->contains("base")) {
    return aText;
  }
  auto version = aClient.SendForJson(HttpRequest{ "GET", "/v1/version", {}, "" }, kRequestTimeout);
  if (!version.ok()) {
    return version.status();
  }
  (*json)["base"] = version->value("version", uint64_t{ 0 });
  return json->dump();
}

int Submit(OperatorClient& aClient, const CommandOptions& aOptions, const std::string& aPath)
{
  auto text = ReadFile(aPath);
  if (!text.ok()) {
    return ReportError(text.status());
  }
  auto note = WithDefaultBase(aClient, *text);
  if (!note.ok()) {
    return ReportError(note.status());
  }
  HttpRequest request{ "POST", "/v1/notes", {}, *note };
  request.headers.emplace_back("dandelion-time-limit-ms",
                               std::to_string(ToMilliseconds(aOptions.timeLimit)));
  auto answer = aClient.SendForJson(request, aOptions.timeLimit + kResponseMargin);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  int exitCode = ExitCodeOf(*answer);
  if (exitCode != 0 || !aOptions.isWatching) {
    PrintStatus(*answer, aOptions);
    return exitCode;
  }
  return WatchNote(aClient, aOptions, TextOf(*answer, "id"));
}

int Check(OperatorClient& aClient, const CommandOptions& aOptions, const std::string& aPath)
{
  auto text = ReadFile(aPath);
  if (!text.ok()) {
    return ReportError(text.status());
  }
  auto answer = aClient.SendForJson(HttpRequest{ "POST", "/v1/check", {}, *text }, kRequestTimeout);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  int exitCode = ExitCodeOf(*answer);
  if (aOptions.isJson) {
    fmt::print("{}\n", answer->dump(2));
  } else if (exitCode == 0) {
    fmt::print("note {} would be accepted on version {}\n",
               TextOf(*answer, "id"),
               TextOf(*answer, "checked_against"));
  } else {
    fmt::print("the note would be refused: {}\n", TextOf(*answer, "reason"));
  }
  return exitCode;
}

int ShowNodes(OperatorClient& aClient, const CommandOptions& aOptions)
{
  auto answer = aClient.SendForJson(HttpRequest{ "GET", "/v1/nodes", {}, "" }, kRequestTimeout);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  if (aOptions.isJson) {
    fmt::print("{}\n", answer->dump(2));
    return 0;
  }
  fmt::print(
    "{:<24}{:<16}{:<16}{:<16}{:<9}{}\n", "node", "region", "zone", "service", "state", "version");
  for (const Json& node : answer->value("nodes", Json::array())) {
    fmt::print("{:<24}{:<16}{:<16}{:<16}{:<9}{}\n",
               TextOf(node, "id"),
               TextOf(node, "region"),
               TextOf(node, "zone"),
               TextOf(node, "service"),
               TextOf(node, "state"),
               TextOf(node, "version"));
  }
  return 0;
}

int ShowAccounts(OperatorClient& aClient, const CommandOptions& aOptions)
{
  auto answer = aClient.SendForJson(HttpRequest{ "GET", "/v1/accounts", {}, "" }, kRequestTimeout);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  if (aOptions.isJson) {
    fmt::print("{}\n", answer->dump(2));
    return 0;
  }
  fmt::print(
    "{:<24}{:>6}{:>10}{:>14}{:>12}\n", "account", "keys", "priority", "calls per s", "burst");
  for (const Json& account : answer->value("accounts", Json::array())) {
    bool isCapped = account.value("rate_per_s", int64_t{ 0 }) > 0;
    std::string priority = TextOf(account, "priority");
    fmt::print("{:<24}{:>6}{:>10}{:>14}{:>12}\n",
               TextOf(account, "name"),
               TextOf(account, "keys"),
               priority.empty() ? "route's" : priority,
               isCapped ? TextOf(account, "rate_per_s") : "no limit",
               isCapped ? TextOf(account, "burst") : "-");
  }
  return 0;
}

int Explain(OperatorClient& aClient, const CommandOptions& aOptions, const std::string& aPath)
{
  auto answer =
    aClient.SendForJson(HttpRequest{ "GET", "/v1/explain" + aPath, {}, "" }, kRequestTimeout);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  int exitCode = ExitCodeOf(*answer);
  if (aOptions.isJson) {
    fmt::print("{}\n", answer->dump(2));
  } else if (exitCode != 0) {
    fmt::print("{}\n", TextOf(*answer, "reason"));
  } else {
    fmt::print("version {}: route {} -> service {}, policy {}, {} upstreams\n",
               TextOf(*answer, "version"),
               TextOf((*answer)["route"], "name"),
               TextOf((*answer)["service"], "name"),
               TextOf((*answer)["policy"], "name"),
               answer->value("upstreams", Json::array()).size());
  }
  return exitCode;
}

/// The last argument is the request ID; the arguments before it are log files.
int ExplainFromLogs(const CommandOptions& aOptions, const std::vector<std::string>& aArguments)
{
  RequestTrace trace(aArguments.back());
  for (auto path = aArguments.begin(); path != aArguments.end() - 1; ++path) {
    std::ifstream file;
    if (*path != "-") {
      file.open(*path);
      if (!file) {
        return ReportError(
          MakeError(ErrorKind::Usage, fmt::format("cannot read \"{}\"; check the path", *path)));
      }
    }
    std::istream& input = *path == "-" ? std::cin : file;
    std::string line;
    while (std::getline(input, line)) {
      trace.AddLine(line);
    }
  }
  std::vector<TraceLine> lines = trace.Lines();
  Json json = Json::array();
  for (const TraceLine& line : lines) {
    if (aOptions.isJson) {
      json.push_back({ { "time", line.time },
                       { "node", line.node },
                       { "part", line.part },
                       { "text", line.text } });
    } else {
      fmt::print("{} {} {}: {}\n", line.time, line.node, line.part, line.text);
    }
  }
  if (aOptions.isJson) {
    fmt::print("{}\n", json.dump(2, ' ', false, Json::error_handler_t::replace));
  }
  if (trace.CountUnreadable() > 0 || trace.CountOmitted() > 0) {
    fmt::print(stderr,
               "dandelion: {} lines are not log entries of a node; the nodes omitted {} lines\n",
               trace.CountUnreadable(),
               trace.CountOmitted());
  }
  if (lines.empty()) {
    return ReportError(
      MakeError(ErrorKind::UnknownObject,
                fmt::format("no log line concerns request \"{}\"; a request that was "
                            "answered at its first attempt is not logged",
                            aArguments.back())));
  }
  return 0;
}

int ShowText(OperatorClient& aClient, const std::string& aTarget)
{
  auto answer = aClient.Send(HttpRequest{ "GET", aTarget, {}, "" }, kRequestTimeout);
  if (!answer.ok()) {
    return ReportError(answer.status());
  }
  fmt::print("{}", answer->text);
  return answer->httpStatus < kMinErrorStatus ? 0 : TraitsOf(ErrorKind::Internal).exitCode;
}

int ReportUsageError(const std::string& aMessage)
{
  return ReportError(MakeError(ErrorKind::Usage, aMessage));
}

size_t EditDistance(const std::string& aA, const std::string_view& aB)
{
  std::vector<size_t> row(aB.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= aA.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= aB.size(); ++j) {
      size_t above = row[j];
      size_t replaced = diagonal + (aA[i - 1] == aB[j - 1] ? 0 : 1);
      row[j] = std::min({ above + 1, row[j - 1] + 1, replaced });
      diagonal = above;
    }
  }
  return row[aB.size()];
}

} // namespace

std::string NearestCommand(const std::string& aName)
{
  const auto& table = EnumNames<CommandName>::kTable;
  auto isCloser = [&](const auto& aA, const auto& aB) {
    return EditDistance(aName, aA.name) < EditDistance(aName, aB.name);
  };
  return std::string(std::min_element(std::begin(table), std::end(table), isCloser)->name);
}

std::string HelpText(std::optional<CommandName> aCommand)
{
  std::string text = "dandelion [--nodes=IP:PORT,...] [--json] COMMAND\n\n";
  for (const CommandHelp& help : kHelp) {
    if (!aCommand.has_value() || help.name == *aCommand) {
      text += fmt::format("  {:<34}{}\n", help.synopsis, help.description);
    }
  }
  text += "\nExit codes: 0 success, 2 usage error, 4 invalid note, 5 object missing or in use,\n"
          "6 conflict, 7 temporarily unavailable (node or store), 8 outcome not known in time,\n"
          "9 internal error.\n";
  return text;
}

int RunCommand(OperatorClient& aClient,
               const CommandOptions& aOptions,
               const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    fmt::print(stderr, "{}", HelpText(std::nullopt));
    return TraitsOf(ErrorKind::Usage).exitCode;
  }
  std::optional<CommandName> command = FromName<CommandName>(aArguments[0]);
  if (!command.has_value()) {
    return ReportUsageError(fmt::format("\"{}\" is not a command; did you mean \"{}\"?",
                                        aArguments[0],
                                        NearestCommand(aArguments[0])));
  }
  size_t argumentCount = aArguments.size() - 1;
  auto reportArgumentCount = [&](size_t aCount) {
    return ReportUsageError(
      fmt::format("\"{}\" takes {} argument(s), not {}; see \"dandelion help {}\"",
                  aArguments[0],
                  aCount,
                  argumentCount,
                  aArguments[0]));
  };
  switch (*command) {
    case CommandName::Check:
      return argumentCount == 1 ? Check(aClient, aOptions, aArguments[1]) : reportArgumentCount(1);
    case CommandName::Submit:
      return argumentCount == 1 ? Submit(aClient, aOptions, aArguments[1]) : reportArgumentCount(1);
    case CommandName::Status:
      return argumentCount == 1 ? WatchNote(aClient, aOptions, aArguments[1])
                                : reportArgumentCount(1);
    case CommandName::Config:
      return argumentCount == 0 ? ShowText(aClient, "/v1/configuration") : reportArgumentCount(0);
    case CommandName::Nodes:
      return argumentCount == 0 ? ShowNodes(aClient, aOptions) : reportArgumentCount(0);
    case CommandName::Accounts:
      return argumentCount == 0 ? ShowAccounts(aClient, aOptions) : reportArgumentCount(0);
    case CommandName::Explain:
      if (aOptions.readsLogs) {
        return argumentCount >= 2
                 ? ExplainFromLogs(aOptions, { aArguments.begin() + 1, aArguments.end() })
                 : reportArgumentCount(2);
      }
      return argumentCount == 2 ? Explain(aClient, aOptions, aArguments[2])
                                : reportArgumentCount(2);
    case CommandName::Metrics:
      return argumentCount == 0 ? ShowText(aClient, "/metrics") : reportArgumentCount(0);
    case CommandName::Help:
      fmt::print("{}",
                 HelpText(argumentCount > 0 ? FromName<CommandName>(aArguments[1]) : std::nullopt));
      return 0;
  }
  return 0;
}

} // namespace dandelion
