/// Checks that calls go to the upstream with the earliest expected finish: not to a slow one, not
/// over the link between regions with large answers, and not all to one upstream before its first
/// answer. Checks also that the nodes together keep the weights of a split and the limits of the
/// retry budget, although no node sees the calls of the others.
#include "support/Check.h"

#include "routing/Routing.h"

#include <cmath>

using namespace dandelion;

namespace {

Member MakePeer(const std::string& aId, const std::string& aRegion, const std::string& aZone)
{
  Member member;
  member.id = aId;
  member.region = aRegion;
  member.zone = aZone;
  member.service = "s";
  member.endpoint = Endpoint{ "10.0.0.1", 1 };
  member.incarnation = 1;
  member.slots = 6;
  return member;
}

/// A node with an upstream in its own zone, one in another zone of its region and one in another
/// region.
class Topology
{
public:
  Topology()
    : self(MakePeer("self", "east", "east-0"))
    , choice(EarliestFinish{}, 5, TimePoint())
  {
    self.service = "other";
    for (const Member& member : { self,
                                  MakePeer("own-zone", "east", "east-0"),
                                  MakePeer("own-region", "east", "east-1"),
                                  MakePeer("far", "west", "west-0") }) {
      table.Merge(member);
    }
  }

  void ReportEstimate(const std::string& aId,
                      Duration aQueueDelay,
                      Duration aServiceTime,
                      size_t aBytes = 500)
  {
    choice.OnAttemptStarted(aId);
    AttemptResult result;
    result.costClass = "k";
    result.answerBytes = aBytes;
    result.queueEstimate =
      QueueEstimate{ 6, 6, aQueueDelay == Duration::zero() ? 3 : 0, aQueueDelay, aServiceTime };
    choice.OnAttemptEnded(aId, result, now);
  }

  std::string Choose()
  {
    ChoiceQuery query{ "s", true, Duration::zero(), tried, "k", milliseconds(400) };
    query.mustMeetTarget = !tried.empty();
    const Member* member = choice.Choose(table, self, query, now);
    return member == nullptr ? "" : member->id;
  }

  Member self;
  MemberTable table;
  UpstreamChoice choice;
  std::set<std::string> tried;
  TimePoint now = TimePoint(seconds(10));
};

} // namespace

Test(earliest_finish, prefers_own_zone_when_estimates_are_equal)
{
  Topology topology;
  for (const char* id : { "own-zone", "own-region", "far" }) {
    topology.ReportEstimate(id, Duration::zero(), milliseconds(100));
  }
  cr_assert_eq(topology.Choose(), "own-zone");
}

Test(earliest_finish, avoids_slow_upstream_until_its_estimate_decays)
{
  Topology topology;
  for (int i = 0; i < 20; ++i) {
    topology.ReportEstimate("own-region", Duration::zero(), milliseconds(100));
    topology.ReportEstimate("far", Duration::zero(), milliseconds(100));
  }
  topology.ReportEstimate("own-zone", milliseconds(300), milliseconds(1200));
  cr_assert_eq(topology.Choose(), "own-region");
  // The estimate decays; otherwise no call would show that the upstream has recovered.
  topology.now += seconds(30);
  cr_assert_eq(topology.Choose(), "own-zone");
}

Test(earliest_finish, keeps_large_answers_in_region)
{
  Topology topology;
  topology.ReportEstimate("own-zone", seconds(2), milliseconds(80), 90000);
  topology.ReportEstimate("own-region", seconds(2), milliseconds(80), 90000);
  topology.ReportEstimate("far", Duration::zero(), milliseconds(80), 90000);
  cr_assert_neq(topology.Choose(), "far");
}

Test(earliest_finish, chooses_no_further_upstream_that_would_miss_target)
{
  Topology topology;
  for (const char* id : { "own-zone", "own-region", "far" }) {
    topology.ReportEstimate(id, milliseconds(900), milliseconds(100));
  }
  cr_assert_neq(topology.Choose(), "");
  topology.tried.insert("own-zone");
  cr_assert_eq(topology.Choose(), "");
}

Test(earliest_finish, spreads_burst_before_first_answer)
{
  Topology topology;
  for (const char* id : { "own-zone", "own-region" }) {
    topology.ReportEstimate(id, Duration::zero(), milliseconds(100));
  }
  std::map<std::string, int> sent;
  for (int i = 0; i < 30; ++i) {
    std::string chosen = topology.Choose();
    topology.choice.OnAttemptStarted(chosen);
    ++sent[chosen];
  }
  cr_assert_geq(sent["own-region"], 8, "own region got %d of 30", sent["own-region"]);
}

Test(split_choice, keeps_weights_across_nodes_over_few_calls)
{
  CHECK_PROPERTY("any weights and seeds", [] {
    RouteSpec route{ "r", "/r/", "a", "p" };
    int64_t weight = *rc::gen::inRange<int64_t>(1, 100);
    route.split = { { "a", weight }, { "b", 100 - weight } };
    int inA = 0;
    constexpr int kNodes = 12;
    constexpr int kCalls = 25;
    for (uint64_t node = 0; node < kNodes; ++node) {
      SplitChoice choice(*rc::gen::arbitrary<uint64_t>());
      for (int i = 0; i < kCalls; ++i) {
        inA += choice.Choose(route) == "a" ? 1 : 0;
      }
    }
    double share = static_cast<double>(inA) / (kNodes * kCalls);
    RC_ASSERT(std::abs(share - static_cast<double>(weight) / 100) < 0.1);
  });
}

Test(retry_budgets, bound_retries_of_all_nodes_together)
{
  CHECK_PROPERTY("any number of nodes, all calls fail", [] {
    size_t nodes = *rc::gen::inRange<size_t>(1, 100);
    RetryLimits all{ 0.2, 62 };
    int64_t calls = 0;
    int64_t retries = 0;
    for (size_t node = 0; node < nodes; ++node) {
      RetryBudgets budgets(all);
      budgets.SetNodeCount(nodes);
      int own = *rc::gen::inRange(0, 60);
      for (int i = 0; i < own; ++i) {
        ++calls;
        budgets.For("s").OnCall();
        retries += budgets.For("s").TryTake() ? 1 : 0;
      }
    }
    // Each node's share is at least one retry, so with more nodes than the burst the bound is the
    // number of nodes.
    double burst = std::max(all.burst, static_cast<double>(nodes));
    RC_ASSERT(static_cast<double>(retries) <= all.ratio * static_cast<double>(calls) + burst);
  });
}
