/// Compaction bounds the size of the log. Nodes that restart after the first entries were removed
/// start from the snapshot, and a repeated note is still recognised.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(compaction, restarted_nodes_start_from_the_snapshot)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  constexpr int kNotes = 160;
  for (int i = 0; i < kNotes; ++i) {
    Json answer = cluster.Submit(i % 4, ChangeNote(fmt::format("n{}", i), "s0", 1 + i % 9));
    cr_assert_eq(answer.value("state", ""), "accepted");
  }
  cr_assert(cluster.WaitInForce(0, fmt::format("n{}", kNotes - 1)));
  // Compaction has removed the first notes from the log.
  cr_assert(cluster.WaitUntil([&] { return cluster.StoreStats().value("notes", 0) < kNotes; }));
  std::string hash = cluster.VersionOf(0).value("hash", "");
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Kill(node);
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    cluster.Restart(node);
  }
  for (int node = 0; node < cluster.Size(); ++node) {
    cr_assert(cluster.WaitUntil([&] { return cluster.VersionOf(node).value("ready", false); }));
    cr_assert_eq(cluster.VersionOf(node).value("version", 0), kNotes + 1);
    cr_assert_eq(cluster.VersionOf(node).value("hash", ""), hash);
  }
  // A repeated note is still recognised after its log entry was removed.
  Json again = cluster.Submit(2, ChangeNote("n0", "s0", 1));
  cr_assert_eq(again.value("state", ""), "accepted");
  cr_assert_eq(again.value("version", 0), 2);
}
