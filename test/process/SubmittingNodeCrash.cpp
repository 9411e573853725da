/// A node is killed during a submission; the operator repeats the submission through another node.
/// The note is accepted once, whichever step the crash interrupts.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

Test(submission, note_is_accepted_once_when_the_submitting_node_is_killed)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(1, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  size_t expected = 1;
  // The store delays each step by 100 ms, so that each round kills the node in another step.
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
    // Node 0 is alone in its zone, so a note that it has not acknowledged is not in force
    // everywhere until it has restarted.
    cluster.Restart(0);
    cr_assert(cluster.WaitInForce(2, note["id"]));
    cr_assert_eq(cluster.StoreStats()["created"].size(), ++expected);
  }
}
