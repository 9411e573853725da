/// Many nodes are killed and restarted at once; none serves an older version afterwards.
#include "support/Check.h"
#include "support/Cluster.h"

#include <random>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Waits until a node is ready. False if it reported a version below `aMinVersion` while ready, or
/// is not ready in time.
bool BecomesReadyAtOrAbove(Cluster& aCluster, int aNode, int aMinVersion)
{
  bool wasBelowMinimum = false;
  bool isReady = aCluster.WaitUntil([&] {
    Json version = aCluster.VersionOf(aNode);
    bool ready = version.value("ready", false);
    wasBelowMinimum = wasBelowMinimum || (ready && version.value("version", 0) < aMinVersion);
    return ready;
  });
  return isReady && !wasBelowMinimum;
}

} // namespace

Test(mass_restart, restarted_nodes_never_serve_an_older_version)
{
  Cluster cluster(ClusterShape{ 12 });
  cr_assert(cluster.StartWithFirstNote());
  std::mt19937 random(7);
  int version = 1;
  for (int round = 0; round < 4; ++round) {
    std::string id = fmt::format("round-{}", round);
    cr_assert_eq(cluster.Submit(0, ChangeNote(id, "s0", 2 + round)).value("state", ""), "accepted");
    ++version;
    // Kills some nodes during the rollout, relays among them.
    std::vector<int> killed;
    for (int i = 1; i < cluster.Size(); ++i) {
      if (random() % 2 == 0) {
        cluster.Kill(i);
        killed.push_back(i);
      }
    }
    for (int node : killed) {
      cluster.Restart(node);
    }
    for (int node : killed) {
      cr_assert(BecomesReadyAtOrAbove(cluster, node, version));
    }
    cr_assert(cluster.WaitInForce(0, id, seconds(60)));
  }
}

Test(mass_restart, restarted_nodes_get_the_version_from_peers_while_the_store_is_down)
{
  Cluster cluster(ClusterShape{ 8 });
  cr_assert(cluster.StartWithFirstNote());
  cr_assert_eq(cluster.Submit(0, ChangeNote("second", "s0", 3)).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(0, "second"));
  cluster.SetStoreFaults(R"({"down": true})");
  for (int node : { 2, 4, 5, 7 }) {
    cluster.Kill(node);
  }
  for (int node : { 2, 4, 5, 7 }) {
    cluster.Restart(node);
  }
  for (int node : { 2, 4, 5, 7 }) {
    cr_assert(BecomesReadyAtOrAbove(cluster, node, 2));
    cr_assert_eq(cluster.Call(node, "GET", "/s0/x").outcome, "ran");
  }
}

Test(mass_restart, restarted_node_does_not_wait_for_failed_members)
{
  Cluster cluster(ClusterShape{ 4, 1 });
  cr_assert(cluster.StartWithFirstNote());
  cluster.Kill(2);
  cluster.Kill(3);
  cr_assert(cluster.WaitUntil([&] { return cluster.CountAliveSeenBy(0) == 2; }));
  cr_assert(cluster.WaitUntil([&] { return cluster.CountAliveSeenBy(1) == 2; }));
  cluster.SetStoreFaults(R"({"down": true})");
  // Two of three peers are alive; the third is known to have failed.
  cluster.Restart(2);
  cr_assert(BecomesReadyAtOrAbove(cluster, 2, 1));
}

Test(mass_restart, calls_are_refused_until_the_version_is_known)
{
  Cluster cluster(ClusterShape{ 4 });
  cr_assert(cluster.StartWithFirstNote());
  cluster.SetStoreFaults(R"({"down": true})");
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Kill(node);
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Restart(node);
  }
  cluster.Wait(seconds(3));
  // No node has a version and the store does not answer, so calls are refused as not run.
  for (int node = 0; node < cluster.Size(); ++node) {
    CallResult call = cluster.Call(node, "GET", "/s0/x");
    cr_assert_eq(call.outcome, "not-run");
    cr_assert_eq(call.error, "not-ready");
  }
  cluster.SetStoreFaults("{}");
  for (int node = 0; node < cluster.Size(); ++node) {
    cr_assert(BecomesReadyAtOrAbove(cluster, node, 1));
  }
}
