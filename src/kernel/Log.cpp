#include "kernel/Log.h"

#include <fmt/chrono.h>

#include <array>
#include <chrono>
#include <cstdio>

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
std::array<RateWindow, kPartCount> gWindows;

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

} // namespace

void SetLogLevel(LogLevel aLevel)
{
  gLevel = aLevel;
}

void WriteLog(LogPart aPart, LogLevel aLevel, const std::string& aSentence)
{
  if (aLevel < gLevel) {
    return;
  }
  auto now = std::chrono::system_clock::now();
  auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
  RateWindow& window = gWindows[static_cast<size_t>(aPart)];
  if (!Admit(window, sinceEpoch.count() / 1000)) {
    return;
  }
  std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
  std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}",
                                 fmt::gmtime(wholeSeconds),
                                 sinceEpoch.count() % 1000,
                                 NameOf(aLevel),
                                 NameOf(aPart),
                                 aSentence);
  if (window.leftOut > 0) {
    line += fmt::format(" ({} lines left out before)", window.leftOut);
    window.leftOut = 0;
  }
  fmt::print(stderr, "{}\n", line);
}

} // namespace dandelion
