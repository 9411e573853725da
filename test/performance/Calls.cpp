/// Benchmark of calls: added latency, call chains, overload, short calls behind long ones, and a
/// slow upstream. The last three run with a baseline (random choice, one queue, no hedging, one
/// link) and with the default settings in the same run.
#include "LoadGenerator.h"
#include "support/Cluster.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr char kBaselineSettings[] =
  R"({"choice": "random", "queue": "one-fifo", "hedge": "none", "lanes": "one"})";
constexpr uint64_t kSeed = 11;

struct Variant
{
  const char* name;
  std::string settings;
};

const Variant kVariants[] = { { "baseline", kBaselineSettings }, { "default ", "{}" } };

Json PolicyOf(const char* aName, const char* aClass, int aTimeoutMs)
{
  return Json{
    { "name", aName }, { "class", aClass }, { "timeout_ms", aTimeoutMs }, { "cross_region", true }
  };
}

Json RouteOf(const char* aName, const char* aService, const char* aPolicy)
{
  return Json{ { "name", aName },
               { "path_prefix", fmt::format("/{}", aName) },
               { "service", aService },
               { "policy", aPolicy } };
}

/// One service with a route for each class.
Json NoteWithClasses(int64_t aSlots, int aTimeoutMs)
{
  Json policies = Json::array();
  Json routes = Json::array();
  for (const char* name : { "short", "certificate", "interactive", "bulk", "background" }) {
    policies.push_back(PolicyOf(name, name, aTimeoutMs));
    routes.push_back(RouteOf(name, "s0", name));
  }
  Json service = { { "name", "s0" }, { "slots", aSlots } };
  return Json{
    { "id", "classes" },
    { "add",
      { { "services", Json::array({ service }) }, { "routes", routes }, { "policies", policies } } }
  };
}

LoadPlan PlanOf(const std::string& aName,
                std::vector<Endpoint> aFronts,
                double aRate,
                Duration aEnd)
{
  LoadPlan plan;
  plan.name = aName;
  plan.path = "/" + aName + "/x";
  plan.fronts = std::move(aFronts);
  plan.callsPerSecond = aRate;
  plan.end = aEnd;
  return plan;
}

std::vector<Endpoint> AllFronts(const Cluster& aCluster)
{
  std::vector<Endpoint> fronts;
  for (int i = 0; i < aCluster.Size(); ++i) {
    fronts.push_back(aCluster.FrontOf(i));
  }
  return fronts;
}

bool StartWithNote(Cluster& aCluster, const Json& aNote)
{
  aCluster.Start();
  aCluster.Submit(0, aNote);
  return aCluster.WaitInForce(0, aNote["id"].get<std::string>());
}

/// Calls an upstream directly, then through a node, and prints the difference.
void PrintAddedLatency(const char* aLabel,
                       const Endpoint& aUpstream,
                       const Endpoint& aFront,
                       double aRate)
{
  Loop loop;
  auto run = [&](const Endpoint& aTarget) {
    LoadGenerator load(loop, kSeed);
    load.Add(PlanOf("short", { aTarget }, aRate, seconds(8)));
    load.Run();
    return load.ResultOf("short");
  };
  LoadResult direct = run(aUpstream);
  LoadResult throughNode = run(aFront);
  fmt::print(
    "  {:.0f} calls/s: direct ms p50 {:.2f} p99 {:.2f}; {} p50 {:.2f} p99 {:.2f}; added p50 "
    "{:.2f} p99 {:.2f}; not good {}\n",
    aRate,
    direct.Percentile(0.5),
    direct.Percentile(0.99),
    aLabel,
    throughNode.Percentile(0.5),
    throughNode.Percentile(0.99),
    throughNode.Percentile(0.5) - direct.Percentile(0.5),
    throughNode.Percentile(0.99) - direct.Percentile(0.99),
    throughNode.sent - throughNode.good);
}

void AddedLatency()
{
  fmt::print("latency added to a call, service time 1 ms\n");
  ClusterShape shape{ 4, 1, 2 };
  shape.upstreamSlots = 64;
  Cluster cluster(shape);
  // Nodes 0 and 2 are in one zone, in which only node 0 has an upstream of service s0.
  StartWithNote(cluster, NoteWithClasses(64, 10000));
  for (double rate : { 150.0, 450.0, 900.0 }) {
    PrintAddedLatency("through one node", cluster.UpstreamOf(0), cluster.FrontOf(0), rate);
    PrintAddedLatency("through two nodes", cluster.UpstreamOf(0), cluster.FrontOf(2), rate);
  }
}

/// Prints the latency of call chains by depth. Each upstream makes the next call through its own
/// node.
void ChainedCalls()
{
  constexpr int kCalls = 40;
  ClusterShape shape{ 8 };
  shape.upstreamSlots = 64;
  shape.serviceTimeMs = 0;
  Cluster cluster(shape);
  if (!StartWithNote(cluster, cluster.FirstNote())) {
    return;
  }
  for (int depth : { 1, 2, 8, 29 }) {
    std::string chain;
    for (int i = 1; i < depth; ++i) {
      chain += fmt::format("{}s{}", chain.empty() ? "" : ",", i % 2);
    }
    std::vector<double> times;
    int complete = 0;
    for (int i = 0; i < kCalls; ++i) {
      auto start = std::chrono::steady_clock::now();
      CallResult call = cluster.Call(0, "GET", "/s0/x", "chained", { { "x-chain", chain } });
      std::chrono::duration<double, std::milli> latency = std::chrono::steady_clock::now() - start;
      times.push_back(latency.count());
      complete += call.outcome == "ran" && call.callId == "chained" ? 1 : 0;
    }
    std::sort(times.begin(), times.end());
    fmt::print("chain: depth {:2}: {} of {} complete, median {:.2f} ms, max {:.2f} ms\n",
               depth,
               complete,
               kCalls,
               times[times.size() / 2],
               times.back());
  }
}

void Overload()
{
  constexpr int kUpstreams = 4;
  constexpr int64_t kSlots = 6;
  constexpr int kWorkMs = 50;
  constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / kWorkMs;
  constexpr double kOverloadSeconds = 6;
  fmt::print(
    "overload: capacity {:.0f} calls/s; half of it first, then 2 and 5 times for {:.0f} s; "
    "deadline 500 ms\n",
    kCapacity,
    kOverloadSeconds);
  for (const Variant& variant : kVariants) {
    ClusterShape shape{ kUpstreams, 1, 1 };
    shape.upstreamSlots = kSlots;
    shape.serviceTimeMs = kWorkMs;
    shape.extraSettings = variant.settings;
    Cluster cluster(shape);
    StartWithNote(cluster, NoteWithClasses(kSlots, 500));
    for (double factor : { 2.0, 5.0 }) {
      Loop loop;
      LoadGenerator load(loop, kSeed);
      std::string line;
      auto add =
        [&](const char* aName, const char* aClass, double aRate, double aBegin, double aEnd) {
          LoadPlan plan = PlanOf(aClass, AllFronts(cluster), aRate, Duration::zero());
          plan.name = aName;
          plan.begin = milliseconds(static_cast<int64_t>(aBegin * 1000));
          plan.end = milliseconds(static_cast<int64_t>(aEnd * 1000));
          plan.deadline = milliseconds(500);
          load.Add(plan);
        };
      double overloadEnd = 2 + kOverloadSeconds;
      add("before", "interactive", kCapacity / 2, 0, 2);
      add("short", "short", kCapacity * factor / 3, 2, overloadEnd);
      add("interactive", "interactive", kCapacity * factor / 3, 2, overloadEnd);
      add("background", "background", kCapacity * factor / 3, 2, overloadEnd);
      add("after", "interactive", kCapacity / 2, overloadEnd + 1, overloadEnd + 3);
      load.Run();
      double good = 0;
      for (const char* name : { "short", "interactive", "background" }) {
        const LoadResult& result = load.ResultOf(name);
        good += static_cast<double>(result.good);
        line += fmt::format("; {} good {:.0f}/s p99 {:.0f} ms",
                            name,
                            static_cast<double>(result.good) / kOverloadSeconds,
                            result.Percentile(0.99));
      }
      const LoadResult& after = load.ResultOf("after");
      fmt::print("  {} x{:.0f}: good {:.0f}% of capacity{}; afterwards good {:.1f}%\n",
                 variant.name,
                 factor,
                 100 * good / kOverloadSeconds / kCapacity,
                 line,
                 100.0 * static_cast<double>(after.good) / static_cast<double>(after.sent));
    }
  }
}

void ShortBehindLongOnLink()
{
  fmt::print(
    "short calls behind long ones, over the paid link (20 ms, 30 Mbit/s): lookups 40/s from the "
    "region without upstreams, two image pulls of 1 MB a second\n");
  for (const Variant& variant : kVariants) {
    ClusterShape shape{ 4, 1, 2 };
    shape.hasPaidLink = true;
    shape.serviceTimeMs = 2;
    shape.upstreamSlots = 18;
    shape.extraSettings = variant.settings;
    Cluster cluster(shape);
    // Nodes 0 and 1 have upstreams of s0; node 1 is stopped so that the west must call the east.
    StartWithNote(cluster, NoteWithClasses(18, 10000));
    cluster.Terminate(1);
    cluster.WaitForExit(1);
    auto run = [&](bool aWithBulk) {
      Loop loop;
      LoadGenerator load(loop, kSeed);
      load.Add(PlanOf("short", { cluster.FrontOf(3) }, 40, seconds(15)));
      load.Add(PlanOf("certificate", { cluster.FrontOf(3) }, 40, seconds(15)));
      if (aWithBulk) {
        LoadPlan bulk = PlanOf("bulk", { cluster.FrontOf(3) }, 2, seconds(15));
        bulk.headers = { { "x-answer-bytes", "1000000" } };
        load.Add(bulk);
      }
      load.Run();
      return std::tuple(
        load.ResultOf("short"), load.ResultOf("certificate"), load.ResultOf("bulk"));
    };
    // The first run opens the links; its result is discarded, so that connection setup is not
    // measured.
    (void)run(false);
    auto [unloaded, unloadedCertificates, none] = run(false);
    auto [loaded, loadedCertificates, bulk] = run(true);
    fmt::print(
      "  {}: lookups p99 ms unloaded {:.1f}, with bulk {:.1f} ({:.2f} times); certificates "
      "{:.1f}, {:.1f} ({:.2f} times); bulk good {} of {}, p50 {:.0f} ms\n",
      variant.name,
      unloaded.Percentile(0.99),
      loaded.Percentile(0.99),
      loaded.Percentile(0.99) / unloaded.Percentile(0.99),
      unloadedCertificates.Percentile(0.99),
      loadedCertificates.Percentile(0.99),
      loadedCertificates.Percentile(0.99) / unloadedCertificates.Percentile(0.99),
      bulk.good,
      bulk.sent,
      bulk.Percentile(0.5));
  }
}

void ShortBehindLongSlots()
{
  fmt::print(
    "short calls behind long ones, on slots: lookups 60/s of 2 ms, reports of 2 s on all slots for "
    "long calls\n");
  for (const Variant& variant : kVariants) {
    ClusterShape shape{ 2, 1, 1 };
    shape.serviceTimeMs = 2;
    shape.upstreamSlots = 6;
    shape.extraSettings = variant.settings;
    Cluster cluster(shape);
    StartWithNote(cluster, NoteWithClasses(6, 10000));
    auto run = [&](bool aWithBulk) {
      Loop loop;
      LoadGenerator load(loop, kSeed);
      load.Add(PlanOf("short", AllFronts(cluster), 60, seconds(10)));
      if (aWithBulk) {
        LoadPlan bulk = PlanOf("background", AllFronts(cluster), 8, seconds(10));
        bulk.headers = { { "x-work-ms", "2000" } };
        load.Add(bulk);
      }
      load.Run();
      return std::pair(load.ResultOf("short"), load.ResultOf("background"));
    };
    auto [unloaded, none] = run(false);
    auto [loaded, bulk] = run(true);
    fmt::print(
      "  {}: lookups p99 ms unloaded {:.1f}, with reports {:.1f} ({:.2f} times), good {} of {}; "
      "reports good {} of {}\n",
      variant.name,
      unloaded.Percentile(0.99),
      loaded.Percentile(0.99),
      loaded.Percentile(0.99) / unloaded.Percentile(0.99),
      loaded.good,
      loaded.sent,
      bulk.good,
      bulk.sent);
  }
}

/// Returns the sum of a counter over all labels and nodes.
double SumOfCounter(Cluster& aCluster, const std::string& aName)
{
  double sum = 0;
  for (int i = 0; i < aCluster.Size(); ++i) {
    std::string text = aCluster.MetricsOf(i);
    for (size_t at = text.find(aName); at != std::string::npos; at = text.find(aName, at + 1)) {
      sum += std::atof(text.c_str() + text.find(' ', at));
    }
  }
  return sum;
}

void SlowUpstream()
{
  fmt::print("one upstream in four slowed down 10 times, service time 10 ms; 300 calls/s\n");
  for (const Variant& variant : kVariants) {
    ClusterShape shape{ 8, 1, 1 };
    shape.serviceTimeMs = 10;
    shape.upstreamSlots = 6;
    shape.extraSettings = variant.settings;
    Cluster cluster(shape);
    StartWithNote(cluster, NoteWithClasses(6, 10000));
    auto run = [&](Duration aLength) {
      Loop loop;
      LoadGenerator load(loop, kSeed);
      load.Add(PlanOf("interactive", AllFronts(cluster), 300, aLength));
      load.Run();
      return load.ResultOf("interactive");
    };
    LoadResult unloaded = run(seconds(10));
    double attemptsBefore = SumOfCounter(cluster, "dandelion_attempts_total");
    cluster.SetUpstreamTraits(0, R"({"slots": 6, "work_ms": 10, "slowness": 10})");
    cluster.SetUpstreamTraits(1, R"({"slots": 6, "work_ms": 10, "slowness": 10})");
    LoadResult slowed = run(seconds(10));
    double attempts = SumOfCounter(cluster, "dandelion_attempts_total") - attemptsBefore;
    fmt::print(
      "  {}: ms p50 {:.1f} p99 {:.1f} before; p50 {:.1f} p99 {:.1f} slowed ({:.2f} times); "
      "{:.3f} attempts a call; not good {}\n",
      variant.name,
      unloaded.Percentile(0.5),
      unloaded.Percentile(0.99),
      slowed.Percentile(0.5),
      slowed.Percentile(0.99),
      slowed.Percentile(0.99) / unloaded.Percentile(0.99),
      attempts / static_cast<double>(slowed.sent),
      slowed.sent - slowed.good);
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::string scenario = aCount > 1 ? aArguments[1] : "";
  auto run = [&](const char* aName, void (*aScenario)()) {
    if (scenario.empty() || scenario == aName) {
      aScenario();
    }
  };
  run("added", AddedLatency);
  run("chain", ChainedCalls);
  run("crest", Overload);
  run("link", ShortBehindLongOnLink);
  run("slots", ShortBehindLongSlots);
  run("slow", SlowUpstream);
  return 0;
}
