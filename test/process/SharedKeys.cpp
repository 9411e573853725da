/// A cluster with shared keys works like one without, and accepts operator requests only with the
/// operators' key.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(keys, only_holders_of_the_keys_are_accepted)
{
  ClusterShape shape{ 8 };
  shape.nodeKey = "the key of the nodes";
  shape.operatorKey = "the key of the operators";
  Cluster cluster(shape);
  cr_assert(cluster.StartWithFirstNote());
  cr_assert(cluster.WaitInForce(7, "first"));
  for (int i = 0; i < cluster.Size(); ++i) {
    cr_assert_eq(cluster.Call(i, "GET", "/s0/x").outcome, "ran");
    cr_assert_eq(cluster.Call(i, "GET", "/s1/x").outcome, "ran");
  }
  cluster.SetOperatorKey("another key of somebody");
  Json answer =
    cluster.Submit(0, Json{ { "id", "evil" }, { "withdraw", { { "routes", { "s0" } } } } });
  cr_assert_eq(answer.value("error", ""), "forbidden");
  cluster.SetOperatorKey("");
  cr_assert_eq(cluster.VersionOf(0).value("error", ""), "forbidden");
  cluster.SetOperatorKey(shape.operatorKey);
  cr_assert_eq(cluster.VersionOf(0).value("version", 0), 1);
}
