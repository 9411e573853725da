/// A mesh with keys works as one without, and takes notes only from those who have the key.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(keys, let_members_and_operators_in_and_nobody_else)
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
