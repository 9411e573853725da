/// Regions lose each other for a while: one event about a region, not the death of its members.
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

/// What node 0 says of the zones of a region, for a note: members that have it in force.
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

Test(regions, that_part_keep_serving_and_take_the_note_when_they_meet)
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
  // The other region's members have not been found dead, and the note waits for them.
  cr_assert_eq(cluster.CountAliveSeenBy(0), 8);
  cr_assert_eq(cluster.CountAliveSeenBy(1), 8);
  cr_assert_eq(cluster.StatusOf(0, "while-cut").value("state", ""), "spreading");
  for (int node = 0; node < cluster.Size(); ++node) {
    cr_assert_eq(cluster.Call(node, "GET", "/s0/x").outcome, "ran");
  }
  // A note that comes in on the far side cannot be decided there, and is not called refused.
  Json remoteNote = ChangeNote("far", "s0", 4);
  remoteNote["base"] = 1;
  cr_assert_eq(cluster.Submit(1, remoteNote, milliseconds(800)).value("state", ""), "undecided");
  cluster.SetLinkFaults("{}");
  cr_assert(cluster.WaitInForce(0, "while-cut"));
  // It was written against a version that another note has meanwhile changed.
  cr_assert_eq(cluster.Submit(1, remoteNote).value("error", ""), "conflict");
}

Test(regions, are_told_apart_from_connections_that_went_silent)
{
  Cluster cluster(TwoRegions());
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  for (int round = 0; round < 3; ++round) {
    // All connections of now pass nothing any more; new ones work.
    cluster.SetLinkFaults(R"({"silence_present": true})");
    std::string id = fmt::format("round-{}", round);
    cr_assert_eq(cluster.Submit(0, ChangeNote(id, "s0", 2 + round)).value("state", ""), "accepted");
    cr_assert(cluster.WaitInForce(1, id));
  }
}
