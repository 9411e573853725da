/// Logs of decisions: time, level, part, a short sentence, and the request it concerns.
///
/// The daemon writes one JSON object a line to standard output and never waits for its reader; the
/// tools write text to standard error.
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
  Upstream,
  Admission,
  Calls,
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
    { LogPart::Upstream, "upstream" },   { LogPart::Admission, "admission" },
    { LogPart::Calls, "calls" },         { LogPart::Front, "front" },
    { LogPart::Operator, "operator" },   { LogPart::Tool, "tool" },
  };
};

/// Lines below this level are dropped. The default is `Info`.
void SetLogLevel(LogLevel aLevel);

/// Writes JSON lines to standard output from now on. What its reader does not take is dropped, and
/// the number of dropped lines is told with the next one.
void LogAsJson();

/// Names the process in each JSON line from now on, so that the logs of many can be joined.
void SetLogNode(const std::string& aNode);

/// Writes one line. Each part may write a bounded number of lines a second, warnings and errors
/// apart from the others; the number left out is told with the first line after.
void WriteLog(LogPart aPart,
              LogLevel aLevel,
              const std::string& aMessage,
              std::string_view aRequestId = "");

template<class... Args>
void Log(LogPart aPart, LogLevel aLevel, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteLog(aPart, aLevel, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

/// The same about one request, by its caller's name of it.
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
