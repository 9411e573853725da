/// The store loses the answer to a write, applies a write late, or does not answer. A note is
/// accepted at most once, and never reported as refused while its outcome is unknown.
#include "support/Check.h"
#include "support/Cluster.h"

#include <algorithm>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Returns how often the log key of a version was created.
int64_t CountCreations(Cluster& aCluster, const std::string& aVersion)
{
  auto created = aCluster.StoreStats().value("created", std::vector<std::string>());
  return std::count_if(created.begin(), created.end(), [&](const std::string& aKey) {
    return aKey == "dandelion/notes/" + std::string(20 - aVersion.size(), '0') + aVersion;
  });
}

/// Returns the number of keys created in the store, one for each version in the log.
size_t CountCreatedKeys(Cluster& aCluster)
{
  return aCluster.StoreStats().value("created", std::vector<std::string>()).size();
}

} // namespace

Test(store, note_is_accepted_once_when_the_answer_is_lost)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cluster.SetStoreFaults(R"({"lose_answers": 1})");
  Json answer = cluster.Submit(0, cluster.FirstNote());
  cr_assert_eq(answer.value("state", ""), "accepted");
  cr_assert_eq(answer.value("version", 0), 1);
  cr_assert(cluster.WaitInForce(3, "first"));
  // The operator submits the same note again through another node.
  Json again = cluster.Submit(1, cluster.FirstNote());
  cr_assert_eq(again.value("state", ""), "accepted");
  cr_assert_eq(again.value("version", 0), 1);
  cr_assert_eq(CountCreatedKeys(cluster), 1);
}

Test(store, note_is_accepted_once_when_the_write_takes_effect_late)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cluster.SetStoreFaults(R"({"land_late": 1, "land_late_ms": 1200})");
  Json answer = cluster.Submit(0, cluster.FirstNote());
  cr_assert_eq(answer.value("state", ""), "accepted");
  cluster.Wait(milliseconds(1500));
  cr_assert(cluster.WaitInForce(3, "first"));
  cr_assert_eq(CountCreatedKeys(cluster), 1);
  cr_assert_eq(CountCreations(cluster, "1"), 1);
}

Test(store, note_is_undecided_and_not_refused_when_the_store_does_not_answer)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(3, "first"));
  cluster.SetStoreFaults(R"({"land_late": 1, "land_late_ms": 3000})");
  Json answer = cluster.Submit(0, ChangeNote("late", "s0", 3), milliseconds(10));
  // The time limit is shorter than the store's timeout, so the node cannot know the outcome.
  cr_assert_eq(answer.value("state", ""), "undecided");
  cr_assert_neq(cluster.StatusOf(1, "late").value("state", ""), "refused");
  cr_assert(cluster.WaitInForce(2, "late"));
  cr_assert_eq(CountCreatedKeys(cluster), 2);
}

Test(store, calls_continue_while_the_store_is_down_and_notes_are_accepted_afterwards)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(3, "first"));
  cluster.SetStoreFaults(R"({"down": true})");
  Json answer = cluster.Submit(0, ChangeNote("second", "s0", 3), milliseconds(800));
  cr_assert_eq(answer.value("state", ""), "undecided");
  for (int i = 0; i < cluster.Size(); ++i) {
    cr_assert_eq(cluster.Call(i, "GET", "/s0/x").outcome, "ran");
  }
  cluster.SetStoreFaults("{}");
  cr_assert_eq(cluster.Submit(1, ChangeNote("second", "s0", 3)).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(3, "second"));
  cr_assert_eq(CountCreatedKeys(cluster), 2);
}
