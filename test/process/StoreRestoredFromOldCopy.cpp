/// The store is restored without its newest log entries: nodes keep their version and write the
/// missing entries back.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(store, lost_log_entries_are_written_back)
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
  // A note submitted after the loss waits until the log is complete again.
  Json answer = cluster.Submit(1, ChangeNote("after", "s1", 5), seconds(40));
  cr_assert_eq(answer.value("state", ""), "accepted");
  cr_assert_eq(answer.value("version", 0), 6);
  cr_assert(cluster.WaitInForce(2, "after"));
  for (int i = 0; i < cluster.Size(); ++i) {
    cr_assert_eq(cluster.VersionOf(i).value("version", 0), 6);
  }
  // A restarted node reads the repaired log and gets the same configuration.
  cluster.Kill(3);
  cluster.Restart(3);
  cr_assert(cluster.WaitUntil([&] { return cluster.VersionOf(3).value("ready", false); }));
  cr_assert_eq(cluster.VersionOf(3).value("hash", ""), cluster.VersionOf(0).value("hash", ""));
}
