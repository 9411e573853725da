/// A note accepted through any node comes in force on every node, as the same version.
#include "support/Check.h"
#include "support/Cluster.h"

#include <set>

using namespace dandelion;
using namespace dandelion::testing;

Test(rollout, each_note_reaches_every_node)
{
  Cluster cluster(ClusterShape{ 8 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(3, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(6, "first"));
  for (int i = 0; i < 5; ++i) {
    std::string id = fmt::format("change-{}", i);
    cr_assert_eq(cluster.Submit(i, ChangeNote(id, "s0", 2 + i)).value("state", ""), "accepted");
    cr_assert(cluster.WaitInForce(7 - i, id));
  }
  std::set<std::string> hashes;
  for (int i = 0; i < cluster.Size(); ++i) {
    Json version = cluster.VersionOf(i);
    cr_assert_eq(version.value("version", 0), 6);
    hashes.insert(version.value("hash", ""));
  }
  cr_assert_eq(hashes.size(), 1);
}

Test(rollout, status_lists_the_missing_nodes)
{
  Cluster cluster(ClusterShape{ 6 });
  cr_assert(cluster.StartWithFirstNote());
  cluster.Suspend(5);
  cr_assert_eq(cluster.Submit(0, ChangeNote("second", "s0", 3)).value("state", ""), "accepted");
  // A suspended node may still have the old version, so the note is not in force everywhere.
  bool isMissingShown = cluster.WaitUntil([&] {
    Json status = cluster.StatusOf(0, "second");
    for (const Json& zone : status.value("zones", Json::array())) {
      for (const Json& id : zone.value("missing", Json::array())) {
        if (id == cluster.IdOf(5)) {
          return status.value("state", "") == "spreading";
        }
      }
    }
    return false;
  });
  cr_assert(isMissingShown);
  cluster.Resume(5);
  cr_assert(cluster.WaitInForce(0, "second"));
  cr_assert_eq(cluster.VersionOf(5).value("version", 0), 2);
}
