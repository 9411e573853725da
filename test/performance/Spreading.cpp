/// Benchmark: time from submission to in force everywhere, control bytes over the paid link, store
/// calls and idle cost, by number of nodes. All processes run on this machine.
#include "support/Cluster.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr int kNotes = 24;
constexpr Duration kIdleTime = seconds(20);
constexpr double kMillisecondsPerSecond = 1000.0;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double Percentile(std::vector<double> aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  size_t index = static_cast<size_t>(aFraction * static_cast<double>(aValues.size() - 1) + 0.5);
  return aValues[index];
}

/// Returns the CPU time that a process has used, in seconds.
double CpuSeconds(pid_t aPid)
{
  std::ifstream file(fmt::format("/proc/{}/stat", aPid));
  std::string line;
  std::getline(file, line);
  std::istringstream rest(line.substr(line.rfind(')') + 2));
  std::string value;
  long ticks = 0;
  constexpr int kUserTimeField = 11;
  constexpr int kSystemTimeField = 12;
  for (int field = 0; rest >> value && field <= kSystemTimeField; ++field) {
    ticks += field == kUserTimeField || field == kSystemTimeField ? std::stol(value) : 0;
  }
  return static_cast<double>(ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMegabytes(pid_t aPid)
{
  std::ifstream file(fmt::format("/proc/{}/statm", aPid));
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  constexpr double kBytesPerMegabyte = 1e6;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

uint64_t SumWithoutStore(const Json& aObject)
{
  uint64_t sum = 0;
  for (const auto& [key, value] : aObject.items()) {
    bool isStore = key.rfind("to-store", 0) == 0;
    sum += isStore ? 0 : value.get<uint64_t>();
  }
  return sum;
}

uint64_t PaidLinkBytes(Cluster& aCluster)
{
  Json stats = aCluster.LinkStats();
  return SumWithoutStore(stats.value("tcp_bytes", Json::object())) +
         SumWithoutStore(stats.value("udp_bytes", Json::object()));
}

/// Returns the control bytes that a node has sent to other nodes since its start.
double SentBytes(const std::string& aMetrics)
{
  std::istringstream lines(aMetrics);
  std::string name;
  double value = 0;
  double sum = 0;
  while (lines >> name >> value) {
    sum += name.find("_bytes_total") == std::string::npos ? 0 : value;
  }
  return sum;
}

struct Totals
{
  double cpu = 0;
  double bytes = 0;
  double highestCpu = 0;
  double highestBytes = 0;
  std::vector<double> cpuByNode;
  std::vector<double> bytesByNode;
};

Totals Measure(Cluster& aCluster)
{
  Totals totals;
  for (int i = 0; i < aCluster.Size(); ++i) {
    totals.cpuByNode.push_back(CpuSeconds(aCluster.PidOf(i)));
    totals.bytesByNode.push_back(SentBytes(aCluster.MetricsOf(i)));
  }
  return totals;
}

void PrintIdleCost(Cluster& aCluster)
{
  Totals before = Measure(aCluster);
  uint64_t paidBytesBefore = PaidLinkBytes(aCluster);
  uint64_t storeCallsBefore = aCluster.StoreStats().value("calls", uint64_t{ 0 });
  aCluster.Wait(kIdleTime);
  Totals after = Measure(aCluster);
  uint64_t paidBytes = PaidLinkBytes(aCluster) - paidBytesBefore;
  uint64_t storeCalls = aCluster.StoreStats().value("calls", uint64_t{ 0 }) - storeCallsBefore;
  std::vector<double> cpu;
  std::vector<double> bytes;
  std::vector<double> memory;
  for (int i = 0; i < aCluster.Size(); ++i) {
    size_t node = static_cast<size_t>(i);
    cpu.push_back(100 * (after.cpuByNode[node] - before.cpuByNode[node]) / Seconds(kIdleTime));
    bytes.push_back((after.bytesByNode[node] - before.bytesByNode[node]) / Seconds(kIdleTime));
    memory.push_back(ResidentMegabytes(aCluster.PidOf(i)));
  }
  fmt::print(
    "  idle node: cpu % of a core median {:.2f} max {:.2f}; sent B/s median {:.0f} max {:.0f}; "
    "resident MB median {:.1f} max {:.1f}\n",
    Percentile(cpu, 0.5),
    Percentile(cpu, 1),
    Percentile(bytes, 0.5),
    Percentile(bytes, 1),
    Percentile(memory, 0.5),
    Percentile(memory, 1));
  fmt::print("  idle system: paid link {:.0f} B/s, store {:.2f} calls/s\n",
             static_cast<double>(paidBytes) / Seconds(kIdleTime),
             static_cast<double>(storeCalls) / Seconds(kIdleTime));
}

void RunSize(int aNodes)
{
  ClusterShape shape;
  shape.nodes = aNodes;
  shape.zonesPerRegion = 2;
  shape.services = 59;
  shape.hasPaidLink = true;
  shape.startsUpstreams = false;
  Cluster cluster(shape);
  cluster.Start();
  cluster.Submit(0, cluster.FirstNote());
  bool isInForce = cluster.WaitInForce(0, "first", seconds(60));
  fmt::print(
    "{} nodes{}\n", aNodes, isInForce ? "" : ": the first note is not in force everywhere");
  if (!isInForce) {
    return;
  }
  PrintIdleCost(cluster);
  std::vector<double> times;
  uint64_t paidBytesBefore = PaidLinkBytes(cluster);
  uint64_t storeCallsBefore = cluster.StoreStats().value("calls", uint64_t{ 0 });
  Loop clock;
  TimePoint start = clock.Now();
  for (int i = 0; i < kNotes; ++i) {
    std::string id = fmt::format("note-{}", i);
    int node = i % aNodes;
    TimePoint submitted = clock.Now();
    cluster.Submit(node, ChangeNote(id, fmt::format("s{}", i % 59), 2 + i));
    cluster.WaitInForce(node, id, seconds(60));
    times.push_back(Seconds(clock.Now() - submitted));
  }
  double elapsed = Seconds(clock.Now() - start);
  uint64_t paidBytes = PaidLinkBytes(cluster) - paidBytesBefore;
  uint64_t storeCalls = cluster.StoreStats().value("calls", uint64_t{ 0 }) - storeCallsBefore;
  fmt::print("  in force everywhere: ms median {:.0f} p99 {:.0f} max {:.0f} over {} notes\n",
             kMillisecondsPerSecond * Percentile(times, 0.5),
             kMillisecondsPerSecond * Percentile(times, 0.99),
             kMillisecondsPerSecond * Percentile(times, 1),
             kNotes);
  fmt::print(
    "  per note, idle traffic included ({:.1f} s): paid link {:.0f} B, store {:.1f} calls\n",
    elapsed,
    static_cast<double>(paidBytes) / kNotes,
    static_cast<double>(storeCalls) / kNotes);
  double baselineBytes = static_cast<double>(cluster.FirstNote().dump().size()) * aNodes / 2;
  fmt::print(
    "  baseline: each remote node fetches the whole configuration itself: {:.0f} B a note, "
    "for the first note's {} bytes as JSON\n",
    baselineBytes,
    cluster.FirstNote().dump().size());
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::vector<int> sizes = { 8, 24, 64 };
  if (aCount > 1) {
    sizes.clear();
    for (int i = 1; i < aCount; ++i) {
      sizes.push_back(std::atoi(aArguments[i]));
    }
  }
  for (int size : sizes) {
    RunSize(size);
  }
  return 0;
}
