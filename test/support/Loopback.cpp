#include "support/Loopback.h"

#include <unistd.h>

namespace dandelion::testing {

namespace {

constexpr Duration kPoll = milliseconds(10);
constexpr Duration kLimit = seconds(20);
constexpr uint16_t kPort = 7002;

} // namespace

Endpoint LoopbackOf(int aHost)
{
  // The ranges differ from those of `Cluster`, which begin at 127.20.
  int number = getpid();
  return Endpoint{ fmt::format("127.{}.{}.{}", 10 + number / 250 % 10, number % 250, aHost),
                   kPort };
}

void RunFor(Loop& aLoop, Duration aTime)
{
  Timer end = aLoop.After(aTime, [&] { aLoop.Stop(); });
  aLoop.Run();
}

bool RunUntil(Loop& aLoop, const std::function<bool()>& aCondition)
{
  TimePoint limit = aLoop.Now() + kLimit;
  while (!aCondition() && aLoop.Now() < limit) {
    RunFor(aLoop, kPoll);
  }
  return aCondition();
}

} // namespace dandelion::testing
