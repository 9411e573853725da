/// Log lines: time, level, part, a short message, and the id of the request that it concerns.
///
/// The daemon writes one JSON object per line to standard output and never blocks on its reader.
/// The tools write text to standard error.
#ifndef DANDELION_KERNEL_LOG_H
#define DANDELION_KERNEL_LOG_H

#include "kernel/EnumNames.h"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

namespace dandelion {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr EnumName<LogLevel> kTable[] = {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
  };
};

enum class LogPart
{
  Kernel,
  Store,
  Releases,
  Membership,
  Spreading,
  Links,
  Http,
  Upstream,
  Admission,
  Calls,
  Accounts,
  Front,
  Operator,
  Tool,
};

template<>
struct EnumNames<LogPart>
{
  static constexpr EnumName<LogPart> kTable[] = {
    { LogPart::Kernel, "kernel" },       { LogPart::Store, "store" },
    { LogPart::Releases, "releases" },   { LogPart::Membership, "membership" },
    { LogPart::Spreading, "spreading" }, { LogPart::Links, "links" },
    { LogPart::Http, "http" },           { LogPart::Upstream, "upstream" },
    { LogPart::Admission, "admission" }, { LogPart::Calls, "calls" },
    { LogPart::Accounts, "accounts" },   { LogPart::Front, "front" },
    { LogPart::Operator, "operator" },   { LogPart::Tool, "tool" },
  };
};

/// Lines below this level are dropped. The default is `Info`.
void SetLogLevel(LogLevel aLevel);

/// Switches to JSON lines on standard output. Lines that cannot be written without blocking are
/// dropped, and the next line states their number.
void LogAsJson();

/// Adds the node's id to each JSON line, so that the logs of several nodes can be merged.
void SetLogNode(const std::string& aNode);

/// Writes one line. The number of lines per second is limited for each part, and separately for its
/// warnings and errors. The next line of the same part and group states how many were suppressed.
void WriteLog(LogPart aPart,
              LogLevel aLevel,
              const std::string& aMessage,
              std::string_view aRequestId = "");

template<class... Args>
void Log(LogPart aPart, LogLevel aLevel, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteLog(aPart, aLevel, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

/// Writes a line about one request. `aRequestId` is the caller's id of the request.
template<class... Args>
void LogRequest(LogPart aPart,
                LogLevel aLevel,
                std::string_view aRequestId,
                fmt::format_string<Args...> aFormat,
                Args&&... aArgs)
{
  WriteLog(aPart, aLevel, fmt::format(aFormat, std::forward<Args>(aArgs)...), aRequestId);
}

} // namespace dandelion

#endif
