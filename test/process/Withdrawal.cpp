/// A withdrawn service receives no more traffic, not even from a node that was suspended when the
/// note came in force.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

Json WithdrawNote()
{
  return Json{ { "id", "withdraw" },
               { "withdraw",
                 { { "services", Json::array({ "s1" }) }, { "routes", Json::array({ "s1" }) } } } };
}

size_t JournalSize(Cluster& aCluster, const std::string& aService)
{
  size_t size = 0;
  for (int i = 0; i < aCluster.Size(); ++i) {
    size += aCluster.ServiceOf(i) == aService ? aCluster.JournalOf(i).size() : 0;
  }
  return size;
}

} // namespace

Test(withdrawal, stops_traffic_to_the_withdrawn_service_only)
{
  Cluster cluster(ClusterShape{ 8 });
  cr_assert(cluster.StartWithFirstNote());
  std::vector<std::string> unexpected;
  int answered = 0;
  int refused = 0;
  bool isFinished = false;
  std::function<void(int)> next = [&](int aNode) {
    std::string service = answered % 2 == 0 ? "/s0/x" : "/s1/x";
    cluster.BeginCall(aNode, "GET", service, "c", [&, aNode, service](const CallResult& aCall) {
      ++answered;
      bool hasRun = aCall.outcome == "ran" && aCall.status == 200;
      bool isRefused = aCall.outcome == "not-run" && service == "/s1/x";
      refused += isRefused ? 1 : 0;
      if (!hasRun && !isRefused) {
        unexpected.push_back(service + ": " + aCall.outcome + " " + std::to_string(aCall.status) +
                             " " + aCall.body);
      }
      if (!isFinished) {
        next(aNode);
      }
    });
  };
  for (int i = 0; i < cluster.Size(); ++i) {
    next(i);
  }
  cluster.Wait(milliseconds(300));
  cr_assert_eq(cluster.Submit(5, WithdrawNote()).value("state", ""), "accepted");
  cr_assert(cluster.WaitInForce(2, "withdraw"));
  size_t before = JournalSize(cluster, "s1");
  cluster.Wait(seconds(1));
  cr_assert_eq(JournalSize(cluster, "s1"), before);
  isFinished = true;
  cluster.Wait(milliseconds(500));
  cr_assert(unexpected.empty(),
            "%zu unexpected answers, the first: %s",
            unexpected.size(),
            unexpected.empty() ? "" : unexpected[0].c_str());
  cr_assert_gt(refused, 0);
}

Test(withdrawal, is_enforced_on_a_node_that_was_suspended)
{
  Cluster cluster(ClusterShape{ 8 });
  cr_assert(cluster.StartWithFirstNote());
  // Node 4 has an upstream of s1 and would send calls to it without asking another node.
  cr_assert_eq(cluster.ServiceOf(4), "s1");
  cr_assert_eq(cluster.Call(4, "GET", "/s1/x").outcome, "ran");
  cluster.Suspend(4);
  cr_assert_eq(cluster.Submit(0, WithdrawNote()).value("state", ""), "accepted");
  // The other nodes consider node 4 failed, so the note comes in force everywhere.
  cr_assert(cluster.WaitInForce(0, "withdraw", seconds(60)));
  size_t before = JournalSize(cluster, "s1");
  cluster.Resume(4);
  // The resumed node still has the old version; it is fenced so that it does not use it.
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(cluster.Call(4, "GET", "/s1/x").outcome, "not-run");
  }
  cr_assert_eq(JournalSize(cluster, "s1"), before);
  cr_assert(cluster.WaitUntil([&] { return cluster.VersionOf(4).value("version", 0) == 2; }));
  cr_assert(cluster.WaitUntil([&] { return cluster.Call(4, "GET", "/s0/x").outcome == "ran"; }));
}
