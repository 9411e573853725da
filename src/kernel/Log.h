/// Logs to standard error: time, level, a fixed prefix for each part, a short sentence.
#ifndef DANDELION_KERNEL_LOG_H
#define DANDELION_KERNEL_LOG_H

#include "kernel/EnumNames.h"

#include <fmt/format.h>

#include <string>
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

/// Writes one line. Each part may write a bounded number of lines a second; the number left out
/// is told with the first line after.
void WriteLog(LogPart aPart, LogLevel aLevel, const std::string& aSentence);

template<class... Args>
void Log(LogPart aPart, LogLevel aLevel, fmt::format_string<Args...> aFormat, Args&&... aArgs)
{
  WriteLog(aPart, aLevel, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

} // namespace dandelion

#endif
