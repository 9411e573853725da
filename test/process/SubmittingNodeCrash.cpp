/// A node is killed in the middle of a submission; the operator repeats it through another.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(submitting_node, that_is_killed_leaves_a_note_that_is_taken_once)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(1, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  size_t expected = 1;
  // The store delays each step by 100 ms, so that the kill hits another step each time.
  for (int killAfterMs : { 50, 150, 250, 350, 450 }) {
    cluster.SetStoreFaults(R"({"delay_ms": 100})");
    Json note = ChangeNote(fmt::format("killed-after-{}", killAfterMs), "s0", 2);
    Loop loop;
    HttpClient client(loop);
    HttpRequest request{ "POST", "/v1/notes", {}, note.dump() };
    client.Send(cluster.OperatorEndpointOf(0), request, seconds(20), [](const HttpResult&) {});
    Timer kill = loop.After(milliseconds(killAfterMs), [&] { loop.Stop(); });
    loop.Run();
    cluster.Kill(0);
    cr_assert_neq(cluster.StatusOf(2, note["id"]).value("state", ""), "refused");
    cr_assert_eq(cluster.Submit(1, note).value("state", ""), "accepted");
    cluster.SetStoreFaults("{}");
    // It was alone in its zone, so a note that it has not acknowledged waits until it is back.
    cluster.Restart(0);
    cr_assert(cluster.WaitInForce(2, note["id"]));
    cr_assert_eq(cluster.StoreStats()["created"].size(), ++expected);
  }
}
