/// Calls while nodes fail, links stall and nodes stop: non-idempotent calls run at most once, calls
/// reported as not run have not run, and a planned stop interrupts no call.
#include "support/Check.h"
#include "support/Cluster.h"

#include <map>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Sends one call after the other through each given front until stopped or until a call gets no
/// answer, and records each result.
class Traffic
{
public:
  Traffic(Cluster& aCluster, std::vector<int> aFronts, std::string aMethod)
    : cluster_(aCluster)
    , fronts_(std::move(aFronts))
    , method_(std::move(aMethod))
  {
  }

  void Begin()
  {
    for (int front : fronts_) {
      SendNext(front);
    }
  }

  void End()
  {
    isFinished_ = true;
    cluster_.WaitUntil([&] { return outstanding_ == 0; });
  }

  const std::map<std::string, CallResult>& Results() const { return results_; }
  int CountOutstanding() const { return outstanding_; }

  int Count(const std::string& aOutcome) const
  {
    int count = 0;
    for (const auto& [id, result] : results_) {
      count += result.outcome == aOutcome ? 1 : 0;
    }
    return count;
  }

private:
  void SendNext(int aFront)
  {
    std::string id = fmt::format("call-{}", next_++);
    ++outstanding_;
    cluster_.BeginCall(
      aFront, method_, "/s0/deposit", id, [this, aFront, id](const CallResult& aCall) {
        --outstanding_;
        results_[id] = aCall;
        if (!isFinished_ && aCall.isAnswered) {
          SendNext(aFront);
        }
      });
  }

  Cluster& cluster_;
  std::vector<int> fronts_;
  std::string method_;
  bool isFinished_ = false;
  int outstanding_ = 0;
  int next_ = 0;
  std::map<std::string, CallResult> results_;
};

std::map<std::string, int> CountRuns(Cluster& aCluster)
{
  std::map<std::string, int> runs;
  for (int i = 0; i < aCluster.Size(); ++i) {
    for (const std::string& id : aCluster.JournalOf(i)) {
      ++runs[id];
    }
  }
  return runs;
}

void CheckAgainstJournals(Cluster& aCluster, const Traffic& aTraffic)
{
  std::map<std::string, int> runs = CountRuns(aCluster);
  for (const auto& [id, count] : runs) {
    cr_assert_leq(count, 1, "%s has run %d times", id.c_str(), count);
  }
  for (const auto& [id, result] : aTraffic.Results()) {
    if (result.outcome == "ran") {
      cr_assert_eq(runs[id], 1, "%s was answered but has not run", id.c_str());
      cr_assert_eq(result.callId, id, "%s got the answer of %s", id.c_str(), result.callId.c_str());
    }
    if (result.outcome == "not-run") {
      cr_assert_eq(runs[id], 0, "%s was reported as not run but has run", id.c_str());
    }
  }
}

void StartWithNote(Cluster& aCluster)
{
  aCluster.Start();
  cr_assert_eq(aCluster.Submit(0, aCluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(aCluster.WaitInForce(0, "first"));
}

} // namespace

Test(calls, non_idempotent_calls_run_at_most_once_while_nodes_are_killed)
{
  Cluster cluster(ClusterShape{ 8, 2, 1 });
  StartWithNote(cluster);
  Traffic traffic(cluster, { 0, 0, 1, 1, 2, 3 }, "POST");
  traffic.Begin();
  for (int node : { 4, 5, 6, 7 }) {
    cluster.Wait(milliseconds(300));
    cluster.Kill(node);
  }
  cluster.Wait(milliseconds(500));
  traffic.End();
  cr_assert_gt(traffic.Count("ran"), 100);
  CheckAgainstJournals(cluster, traffic);
}

Test(calls, non_idempotent_calls_run_at_most_once_while_nodes_are_suspended)
{
  Cluster cluster(ClusterShape{ 8, 2, 1 });
  StartWithNote(cluster);
  Traffic traffic(cluster, { 0, 0, 1, 1 }, "POST");
  traffic.Begin();
  for (int node : { 4, 5, 6 }) {
    cluster.Wait(milliseconds(300));
    cluster.Suspend(node);
    cluster.Wait(seconds(3));
    cluster.Resume(node);
  }
  traffic.End();
  cluster.Wait(seconds(1));
  cr_assert_gt(traffic.Count("ran"), 100);
  CheckAgainstJournals(cluster, traffic);
}

Test(calls, all_calls_complete_when_the_link_stalls)
{
  ClusterShape shape{ 4, 1, 2 };
  shape.hasPaidLink = true;
  shape.serviceTimeMs = 20;
  Cluster cluster(shape);
  StartWithNote(cluster);
  // Only the east has an upstream of s0 after this stop, so calls from the west cross the link.
  cluster.Terminate(1);
  cr_assert_eq(cluster.WaitForExit(1), 0);
  Traffic traffic(cluster, { 3, 3, 3 }, "POST");
  traffic.Begin();
  for (int round = 0; round < 3; ++round) {
    cluster.Wait(milliseconds(600));
    cluster.SetLinkFaults(R"({"silence_present": true})");
    cluster.Wait(seconds(3));
  }
  traffic.End();
  cr_assert_eq(traffic.CountOutstanding(), 0);
  cr_assert_gt(traffic.Count("ran"), 20);
  // The calls continue over new connections, so the silence leaves no outcome unknown.
  cr_assert_eq(traffic.Count("unknown"), 0);
  cr_assert(cluster.MetricsOf(3).find("dandelion_link_continuations_total 0\n") ==
            std::string::npos);
  CheckAgainstJournals(cluster, traffic);
}

Test(calls, call_is_cancelled_at_the_upstream_when_the_caller_disconnects)
{
  Cluster cluster(ClusterShape{ 4, 1, 2 });
  StartWithNote(cluster);
  for (int front : { 0, 2 }) {
    int64_t before = cluster.CountCancelledCalls(0) + cluster.CountCancelledCalls(1);
    Loop loop;
    HttpClient caller(loop);
    HttpRequest request{ "POST", "/s0/deposit", { { "x-work-ms", "60000" } }, "" };
    auto id = caller.Send(cluster.FrontOf(front), request, seconds(60), [](const HttpResult&) {});
    Timer disconnect = loop.After(milliseconds(500), [&] { caller.Cancel(id); });
    Timer end = loop.After(milliseconds(600), [&] { loop.Stop(); });
    loop.Run();
    cr_assert(cluster.WaitUntil(
      [&] { return cluster.CountCancelledCalls(0) + cluster.CountCancelledCalls(1) == before + 1; },
      seconds(8)));
  }
}

Test(calls, idempotent_calls_succeed_while_nodes_are_killed)
{
  Cluster cluster(ClusterShape{ 8, 2, 1 });
  StartWithNote(cluster);
  Traffic traffic(cluster, { 0, 1 }, "GET");
  traffic.Begin();
  for (int node : { 4, 5, 6, 7 }) {
    cluster.Wait(milliseconds(300));
    cluster.Kill(node);
  }
  cluster.Wait(milliseconds(300));
  traffic.End();
  cr_assert_eq(traffic.Count("ran"), static_cast<int>(traffic.Results().size()));
}

Test(calls, planned_stop_completes_calls_in_progress)
{
  ClusterShape shape{ 8, 2, 1 };
  shape.serviceTimeMs = 200;
  Cluster cluster(shape);
  StartWithNote(cluster);
  Traffic traffic(cluster, { 0, 0, 1, 1, 2, 2, 3, 3 }, "POST");
  traffic.Begin();
  for (int node : { 4, 5, 6, 7 }) {
    cluster.Wait(milliseconds(300));
    cluster.Terminate(node);
  }
  for (int node : { 4, 5, 6, 7 }) {
    cr_assert_eq(cluster.WaitForExit(node), 0);
  }
  traffic.End();
  CheckAgainstJournals(cluster, traffic);
  cr_assert_eq(traffic.Count("ran"), static_cast<int>(traffic.Results().size()));
}

/// Guards against a stop that arrives before the handlers of signals are in place and ends the
/// process at once, without the steps of a planned stop.
Test(calls, planned_stop_right_after_start_ends_in_order)
{
  Cluster cluster(ClusterShape{ 2, 1, 1 });
  StartWithNote(cluster);
  for (int attempt = 0; attempt < 5; ++attempt) {
    cluster.Kill(1);
    cluster.Restart(1);
    cluster.Terminate(1);
    cr_assert_eq(cluster.WaitForExit(1), 0);
  }
}
