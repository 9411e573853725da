/// A store that comes back without its newest entries is not followed; it is mended.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(store, that_comes_back_behind_is_mended_and_not_followed)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  for (int i = 0; i < 4; ++i) {
    std::string id = fmt::format("n{}", i);
    cr_assert_eq(cluster.Submit(0, ChangeNote(id, "s0", 2 + i)).value("state", ""), "accepted");
    cr_assert(cluster.WaitInForce(3, id));
  }
  std::string hash = cluster.VersionOf(0).value("hash", "");
  cluster.SetStoreFaults(R"({"forget": 2})");
  // A note on top of what was lost waits until the log is whole again.
  Json answer = cluster.Submit(1, ChangeNote("after", "s1", 5), seconds(40));
  cr_assert_eq(answer.value("state", ""), "accepted");
  cr_assert_eq(answer.value("version", 0), 6);
  cr_assert(cluster.WaitInForce(2, "after"));
  for (int i = 0; i < cluster.Size(); ++i) {
    cr_assert_eq(cluster.VersionOf(i).value("version", 0), 6);
  }
  // A node without a past reads the mended log and gets the same configuration.
  cluster.Kill(3);
  cluster.Restart(3);
  cr_assert(cluster.WaitUntil([&] { return cluster.VersionOf(3).value("ready", false); }));
  cr_assert_eq(cluster.VersionOf(3).value("hash", ""), cluster.VersionOf(0).value("hash", ""));
}
