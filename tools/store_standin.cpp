/// Runs the simulated store as a process.
#include "StoreStandin.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

#include <csignal>

ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(uint16_t, port, 2379, "port to listen on");

int main(int aCount, char** aWords)
{
  using namespace dandelion;
  absl::ParseCommandLine(aCount, aWords);
  Loop loop;
  StoreStandin store(loop, Endpoint{ absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port) });
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  absl::Status status = store.Start();
  if (!status.ok()) {
    Log(LogPart::Tool, LogLevel::Error, "{}.", MessageOf(status));
    return TraitsOf(KindOf(status)).exitCode;
  }
  loop.Run();
  return 0;
}
