#include "support/Loopback.h"

#include <unistd.h>

namespace dandelion::testing {

namespace {

constexpr Duration kPollPeriod = milliseconds(10);
constexpr Duration kTimeout = seconds(20);
constexpr uint16_t kTestPort = 7002;

} // namespace

Endpoint LoopbackOf(int aHostNumber)
{
  // The address ranges differ from those of `Cluster`, which start at 127.20.
  int processId = getpid();
  return Endpoint{
    fmt::format("127.{}.{}.{}", 10 + processId / 250 % 10, processId % 250, aHostNumber), kTestPort
  };
}

void RunFor(Loop& aLoop, Duration aTime)
{
  Timer end = aLoop.After(aTime, [&] { aLoop.Stop(); });
  aLoop.Run();
}

bool RunUntil(Loop& aLoop, const std::function<bool()>& aCondition)
{
  TimePoint deadline = aLoop.Now() + kTimeout;
  while (!aCondition() && aLoop.Now() < deadline) {
    RunFor(aLoop, kPollPeriod);
  }
  return aCondition();
}

} // namespace dandelion::testing
