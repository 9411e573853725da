#include "kernel/Log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace dandelion {

namespace {

/// Limit for each part, and separately for its warnings and errors.
constexpr int kMaxLinesPerSecond = 50;
constexpr size_t kPartCount = std::size(EnumNames<LogPart>::kTable);

struct RateWindow
{
  int64_t second = 0;
  int written = 0;
  int suppressed = 0;
};

LogLevel gLevel = LogLevel::Info;
bool gIsJson = false;
/// For each part, one window for debug and info lines and one for warnings and errors, so that the
/// former cannot use up the limit of the latter.
std::array<std::array<RateWindow, 2>, kPartCount> gWindows;
int64_t gDroppedLines = 0;
/// The JSON field with the node's id, after a comma; empty if no id is set.
std::string gJsonNodeField;

bool TryCountLine(RateWindow& aWindow, int64_t aSecond)
{
  if (aWindow.second != aSecond) {
    aWindow.second = aSecond;
    aWindow.written = 0;
  }
  if (aWindow.written >= kMaxLinesPerSecond) {
    ++aWindow.suppressed;
    return false;
  }
  ++aWindow.written;
  return true;
}

/// The text as a JSON string, with quotes.
std::string QuoteJson(std::string_view aText)
{
  std::string quoted = "\"";
  for (char character : aText) {
    auto code = static_cast<unsigned char>(character);
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (code < kFirstPrintable || code >= kDelete) {
      // Request ids may contain any bytes, but a log line must stay readable.
      quoted += fmt::format("\\u{:04x}", code);
    } else {
      quoted += character;
    }
  }
  return quoted + "\"";
}

void WriteJson(const std::string& aTime,
               LogPart aPart,
               LogLevel aLevel,
               const std::string& aMessage,
               std::string_view aRequestId,
               int aSuppressed)
{
  std::string line =
    fmt::format(R"({{"time":"{}","level":"{}","part":"{}")", aTime, NameOf(aLevel), NameOf(aPart));
  line += gJsonNodeField;
  if (!aRequestId.empty()) {
    line += R"(,"request":)" + QuoteJson(aRequestId);
  }
  if (aSuppressed > 0) {
    line += fmt::format(R"(,"left_out":{})", aSuppressed);
  }
  if (gDroppedLines > 0) {
    line += fmt::format(R"(,"dropped":{})", gDroppedLines);
  }
  line += R"(,"text":)" + QuoteJson(aMessage) + "}\n";
  ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
  gDroppedLines = written == static_cast<ssize_t>(line.size()) ? 0 : gDroppedLines + 1;
}

} // namespace

void SetLogLevel(LogLevel aLevel)
{
  gLevel = aLevel;
}

void LogAsJson()
{
  gIsJson = true;
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void SetLogNode(const std::string& aNode)
{
  gJsonNodeField = R"(,"node":)" + QuoteJson(aNode);
}

void WriteLog(LogPart aPart,
              LogLevel aLevel,
              const std::string& aMessage,
              std::string_view aRequestId)
{
  if (aLevel < gLevel) {
    return;
  }
  auto now = std::chrono::system_clock::now();
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
  size_t severity = aLevel >= LogLevel::Warning ? 1 : 0;
  RateWindow& window = gWindows[static_cast<size_t>(aPart)][severity];
  if (!TryCountLine(window, sinceEpoch.count() / 1000)) {
    return;
  }
  int suppressed = std::exchange(window.suppressed, 0);
  std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
  std::string time = fmt::format(
    "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(wholeSeconds), sinceEpoch.count() % 1000);
  if (gIsJson) {
    WriteJson(time, aPart, aLevel, aMessage, aRequestId, suppressed);
    return;
  }
  std::string line = fmt::format("{} {} {}: {}", time, NameOf(aLevel), NameOf(aPart), aMessage);
  if (!aRequestId.empty()) {
    line += fmt::format(" (request {})", aRequestId);
  }
  if (suppressed > 0) {
    line += fmt::format(" ({} lines suppressed before)", suppressed);
  }
  fmt::print(stderr, "{}\n", line);
}

} // namespace dandelion
