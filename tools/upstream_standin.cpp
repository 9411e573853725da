/// Runs a simulated upstream as a process.
#include "UpstreamStandin.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

#include <csignal>

ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(uint16_t, port, 8080, "port to listen on");
ABSL_FLAG(std::string, name, "upstream", "name in the x-upstream header of answers");
ABSL_FLAG(int64_t, slots, 6, "maximum number of concurrent calls");
ABSL_FLAG(uint16_t, front_port, 0, "front port of its node, for chained calls; 0 disables them");
ABSL_FLAG(int64_t, work_ms, 1, "service time of a call");

int main(int aCount, char** aWords)
{
  using namespace dandelion;
  absl::ParseCommandLine(aCount, aWords);
  UpstreamTraits traits;
  traits.name = absl::GetFlag(FLAGS_name);
  traits.slots = absl::GetFlag(FLAGS_slots);
  traits.serviceTimeMs = absl::GetFlag(FLAGS_work_ms);
  uint16_t frontPort = absl::GetFlag(FLAGS_front_port);
  if (frontPort != 0) {
    traits.front = Endpoint{ absl::GetFlag(FLAGS_ip), frontPort };
  }
  Loop loop;
  UpstreamStandin upstream(
    loop, Endpoint{ absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port) }, traits);
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  absl::Status status = upstream.Start();
  if (!status.ok()) {
    Log(LogPart::Tool, LogLevel::Error, "{}.", MessageOf(status));
    return TraitsOf(KindOf(status)).exitCode;
  }
  loop.Run();
  return 0;
}
