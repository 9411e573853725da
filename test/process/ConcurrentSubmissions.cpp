/// Two operators submit notes concurrently, without knowledge of each other's note. If
/// both change one object, one note is refused, so that neither change is overwritten unnoticed.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Submits two notes through two nodes at once. The tests let the store delay its answers, so that
/// the submissions overlap.
std::pair<Json, Json> SubmitConcurrently(Cluster& aCluster, const Json& aFirst, const Json& aSecond)
{
  std::pair<Json, Json> answers;
  Loop loop;
  HttpClient client(loop);
  int outstanding = 2;
  auto send = [&](int aNode, const Json& aNote, Json& aAnswer) {
    HttpRequest request{ "POST", "/v1/notes", {}, aNote.dump() };
    client.Send(
      aCluster.OperatorEndpointOf(aNode), request, seconds(20), [&](const HttpResult& aResult) {
        aAnswer = Json::parse(aResult.response.body, nullptr, false);
        if (--outstanding == 0) {
          loop.Stop();
        }
      });
  };
  send(0, aFirst, answers.first);
  send(1, aSecond, answers.second);
  loop.Run();
  return answers;
}

} // namespace

Test(operators, one_of_two_concurrent_changes_to_one_object_is_accepted)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  for (int round = 0; round < 5; ++round) {
    cluster.SetStoreFaults(R"({"delay_ms": 20})");
    uint64_t base = cluster.VersionOf(0).value("version", uint64_t{ 0 });
    Json a = ChangeNote(fmt::format("a-{}", round), "s0", 3);
    Json b = ChangeNote(fmt::format("b-{}", round), "s0", 4);
    a["base"] = base;
    b["base"] = base;
    auto [first, second] = SubmitConcurrently(cluster, a, b);
    bool isFirstAccepted = first.value("state", "") == "accepted";
    const Json& refused = isFirstAccepted ? second : first;
    cr_assert_eq((isFirstAccepted ? first : second).value("state", ""), "accepted");
    cr_assert_eq(refused.value("state", ""), "refused");
    cr_assert_eq(refused.value("error", ""), "conflict");
    cluster.SetStoreFaults("{}");
    cr_assert(cluster.WaitInForce(2, fmt::format("{}-{}", isFirstAccepted ? "a" : "b", round)));
    // A node that took part in neither submission also reports the refusal.
    Json status = cluster.StatusOf(3, fmt::format("{}-{}", isFirstAccepted ? "b" : "a", round));
    cr_assert_eq(status.value("state", ""), "refused");
  }
}

Test(operators, concurrent_changes_to_different_objects_are_both_accepted)
{
  Cluster cluster(ClusterShape{ 4 });
  cluster.Start();
  cr_assert_eq(cluster.Submit(0, cluster.FirstNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(1, "first"));
  cluster.SetStoreFaults(R"({"delay_ms": 20})");
  auto [first, second] =
    SubmitConcurrently(cluster, ChangeNote("a", "s0", 3), ChangeNote("b", "s1", 4));
  cr_assert_eq(first.value("state", ""), "accepted");
  cr_assert_eq(second.value("state", ""), "accepted");
  cr_assert_neq(first.value("version", 0), second.value("version", 0));
  cluster.SetStoreFaults("{}");
  cr_assert(cluster.WaitInForce(2, "a"));
  cr_assert(cluster.WaitInForce(2, "b"));
}
