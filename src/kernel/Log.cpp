#include "kernel/Log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace dandelion {

namespace {

constexpr int kLinesPerSecondAndPart = 50;
constexpr size_t kPartCount = std::size(EnumNames<LogPart>::kTable);

struct RateWindow
{
  int64_t second = 0;
  int written = 0;
  int leftOut = 0;
};

LogLevel gLevel = LogLevel::Info;
bool gIsJson = false;
/// Ordinary lines and those of failures, so that the first never crowd out the second.
std::array<std::array<RateWindow, 2>, kPartCount> gWindows;
int64_t gDropped = 0;
/// The field that names the process, with its comma; empty for none.
std::string gNodeField;

bool Admit(RateWindow& aWindow, int64_t aSecond)
{
  if (aWindow.second != aSecond) {
    aWindow.second = aSecond;
    aWindow.written = 0;
  }
  if (aWindow.written >= kLinesPerSecondAndPart) {
    ++aWindow.leftOut;
    return false;
  }
  ++aWindow.written;
  return true;
}

/// A text as it stands between quotes in JSON.
std::string Quoted(std::string_view aText)
{
  std::string quoted = "\"";
  for (char character : aText) {
    auto code = static_cast<unsigned char>(character);
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kFirstBeyondAscii = 0x7f;
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (code < kFirstPrintable || code >= kFirstBeyondAscii) {
      // Requests may name themselves in any bytes; a log line must stay readable.
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
               const std::string& aSentence,
               std::string_view aRequest,
               int aLeftOut)
{
  std::string line =
    fmt::format(R"({{"time":"{}","level":"{}","part":"{}")", aTime, NameOf(aLevel), NameOf(aPart));
  line += gNodeField;
  if (!aRequest.empty()) {
    line += R"(,"request":)" + Quoted(aRequest);
  }
  if (aLeftOut > 0) {
    line += fmt::format(R"(,"left_out":{})", aLeftOut);
  }
  if (gDropped > 0) {
    line += fmt::format(R"(,"dropped":{})", gDropped);
  }
  line += R"(,"text":)" + Quoted(aSentence) + "}\n";
  ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
  gDropped = written == static_cast<ssize_t>(line.size()) ? 0 : gDropped + 1;
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
  gNodeField = R"(,"node":)" + Quoted(aNode);
}

void WriteLog(LogPart aPart,
              LogLevel aLevel,
              const std::string& aSentence,
              std::string_view aRequest)
{
  if (aLevel < gLevel) {
    return;
  }
  auto now = std::chrono::system_clock::now();
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
  size_t urgency = aLevel >= LogLevel::Warning ? 1 : 0;
  RateWindow& window = gWindows[static_cast<size_t>(aPart)][urgency];
  if (!Admit(window, sinceEpoch.count() / 1000)) {
    return;
  }
  int leftOut = std::exchange(window.leftOut, 0);
  std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
  std::string time = fmt::format(
    "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(wholeSeconds), sinceEpoch.count() % 1000);
  if (gIsJson) {
    WriteJson(time, aPart, aLevel, aSentence, aRequest, leftOut);
    return;
  }
  std::string line = fmt::format("{} {} {}: {}", time, NameOf(aLevel), NameOf(aPart), aSentence);
  if (!aRequest.empty()) {
    line += fmt::format(" (request {})", aRequest);
  }
  if (leftOut > 0) {
    line += fmt::format(" ({} lines left out before)", leftOut);
  }
  fmt::print(stderr, "{}\n", line);
}

} // namespace dandelion
