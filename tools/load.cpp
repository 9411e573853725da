/// Sends open-loop load and prints the numbers of results and the latencies.
#include "LoadGenerator.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address of a node's front");
ABSL_FLAG(uint16_t, port, 7001, "port of the front");
ABSL_FLAG(std::string, method, "GET", "method of the calls");
ABSL_FLAG(std::string, path, "/", "path of the calls");
ABSL_FLAG(double, rate, 100, "calls per second");
ABSL_FLAG(int64_t, seconds, 10, "length of the run");
ABSL_FLAG(int64_t, deadline_ms, 1000, "answers after this time do not count as good");

int main(int aCount, char** aWords)
{
  using namespace dandelion;
  absl::ParseCommandLine(aCount, aWords);
  LoadPlan plan;
  plan.name = "load";
  plan.fronts = { Endpoint{ absl::GetFlag(FLAGS_ip), absl::GetFlag(FLAGS_port) } };
  plan.method = absl::GetFlag(FLAGS_method);
  plan.path = absl::GetFlag(FLAGS_path);
  plan.callsPerSecond = absl::GetFlag(FLAGS_rate);
  plan.end = seconds(absl::GetFlag(FLAGS_seconds));
  plan.deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  Loop loop;
  LoadGenerator generator(loop, 1);
  generator.Add(plan);
  generator.Run();
  const LoadResult& result = generator.ResultOf("load");
  fmt::print(
    "sent {} good {} not run {} other {}; ms p50 {:.2f} p90 {:.2f} p99 {:.2f} p99.9 {:.2f}\n",
    result.sent,
    result.good,
    result.notRun,
    result.other,
    result.Percentile(0.5),
    result.Percentile(0.9),
    result.Percentile(0.99),
    result.Percentile(0.999));
  return 0;
}
