/// Processes die in herds and come back; none returns to an older version.
#include "support/Check.h"
#include "support/Cluster.h"

#include <random>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// The versions that a node shows while it is ready must not be below the floor.
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

Test(herd, that_dies_and_returns_is_never_older)
{
  Cluster cluster(ClusterShape{ 12 });
  cr_assert(cluster.StartWithFirstNote());
  std::mt19937 random(7);
  int version = 1;
  for (int round = 0; round < 4; ++round) {
    std::string id = fmt::format("round-{}", round);
    cr_assert_eq(cluster.Submit(0, ChangeNote(id, "s0", 2 + round)).value("state", ""), "accepted");
    ++version;
    // Some die while the note spreads, among them relays.
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

Test(herd, that_returns_while_the_store_is_down_takes_the_version_of_its_neighbours)
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

Test(herd, does_not_wait_for_members_that_are_gone)
{
  Cluster cluster(ClusterShape{ 4, 1 });
  cr_assert(cluster.StartWithFirstNote());
  cluster.Kill(2);
  cluster.Kill(3);
  cr_assert(cluster.WaitUntil([&] { return cluster.CountAliveSeenBy(0) == 2; }));
  cr_assert(cluster.WaitUntil([&] { return cluster.CountAliveSeenBy(1) == 2; }));
  cluster.SetStoreFaults(R"({"down": true})");
  // Two peers are left of three; the third is known to be gone.
  cluster.Restart(2);
  cr_assert(BecomesReadyAtOrAbove(cluster, 2, 1));
}

Test(herd, of_all_nodes_serves_nothing_before_it_knows_its_version)
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
  // Nobody remembers anything and the store is silent: a call is refused as not run.
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
