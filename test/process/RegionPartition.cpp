/// The link between regions fails for a while. Nodes treat this as one unreachable region, not as
/// the failure of each of its members.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

ClusterShape TwoRegions()
{
  ClusterShape shape{ 8, 2, 1 };
  shape.hasPaidLink = true;
  return shape;
}

/// Returns the number of members of a region that have a note in force, as node 0 reports it.
int CountInForceIn(Cluster& aCluster, const std::string& aId, const std::string& aRegion)
{
  int inForce = 0;
  Json status = aCluster.StatusOf(0, aId);
  for (const Json& zone : status.value("zones", Json::array())) {
    inForce += zone.value("region", "") == aRegion ? zone.value("in_force", 0) : 0;
  }
  return inForce;
}

bool IsRegionShownUnreachable(Cluster& aCluster, const std::string& aId, const std::string& aRegion)
{
  Json status = aCluster.StatusOf(0, aId);
  for (const Json& zone : status.value("zones", Json::array())) {
    if (zone.value("region", "") == aRegion && zone.value("reachable", true)) {
      return false;
    }
  }
  return !status.empty();
}

} // namespace

Test(region_partition, both_regions_serve_calls_and_the_note_arrives_after_the_partition)
{
  Cluster cluster(TwoRegions());
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  cluster.SetLinkFaults(R"({"cut": true})");
  cr_assert_eq(cluster.Submit(0, ChangeNote("while-cut", "s0", 3)).value("state", ""), "accepted");
  cr_assert(cluster.WaitUntil([&] { return CountInForceIn(cluster, "while-cut", "east") == 4; }));
  cr_assert(
    cluster.WaitUntil([&] { return IsRegionShownUnreachable(cluster, "while-cut", "west"); }));
  // The other region's members are not declared failed, and the rollout waits for them.
  cr_assert_eq(cluster.CountAliveSeenBy(0), 8);
  cr_assert_eq(cluster.CountAliveSeenBy(1), 8);
  cr_assert_eq(cluster.StatusOf(0, "while-cut").value("state", ""), "spreading");
  for (int node = 0; node < cluster.Size(); ++node) {
    cr_assert_eq(cluster.Call(node, "GET", "/s0/x").outcome, "ran");
  }
  // A note submitted in the region without the store cannot be decided there, and is not reported
  // as refused.
  Json remoteNote = ChangeNote("far", "s0", 4);
  remoteNote["base"] = 1;
  cr_assert_eq(cluster.Submit(1, remoteNote, milliseconds(800)).value("state", ""), "undecided");
  cluster.SetLinkFaults("{}");
  cr_assert(cluster.WaitInForce(0, "while-cut"));
  // Another note has changed the same service since the base version of this note.
  cr_assert_eq(cluster.Submit(1, remoteNote).value("error", ""), "conflict");
}

Test(region_partition, notes_come_in_force_when_open_connections_stall)
{
  Cluster cluster(TwoRegions());
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  for (int round = 0; round < 3; ++round) {
    // Open connections pass no more data; new connections work.
    cluster.SetLinkFaults(R"({"silence_present": true})");
    std::string id = fmt::format("round-{}", round);
    cr_assert_eq(cluster.Submit(0, ChangeNote(id, "s0", 2 + round)).value("state", ""), "accepted");
    cr_assert(cluster.WaitInForce(1, id));
  }
}
