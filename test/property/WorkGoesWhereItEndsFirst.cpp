/// The choice of upstream by the earliest finish, the split of calls and the shared budgets.
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

/// Upstreams near and far, and a node that has heard of each gate.
class Mesh
{
public:
  Mesh()
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

  void Hear(const std::string& aId, Duration aWait, Duration aWork, size_t aBytes = 500)
  {
    choice.OnAttemptBegan(aId);
    AttemptResult result;
    result.costClass = "k";
    result.answerBytes = aBytes;
    result.queueEstimate = QueueEstimate{ 6, 6, aWait == Duration::zero() ? 3 : 0, aWait, aWork };
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

Test(earliest_finish, stays_in_the_zone_while_its_upstream_can_answer_in_time)
{
  Mesh mesh;
  for (const char* id : { "own-zone", "own-region", "far" }) {
    mesh.Hear(id, Duration::zero(), milliseconds(100));
  }
  cr_assert_eq(mesh.Choose(), "own-zone");
}

Test(earliest_finish, leaves_an_upstream_that_turned_slow_and_tries_it_again)
{
  Mesh mesh;
  for (int i = 0; i < 20; ++i) {
    mesh.Hear("own-region", Duration::zero(), milliseconds(100));
    mesh.Hear("far", Duration::zero(), milliseconds(100));
  }
  mesh.Hear("own-zone", milliseconds(300), milliseconds(1200));
  cr_assert_eq(mesh.Choose(), "own-region");
  // Evidence fades; without calls nobody would see that it is well again.
  mesh.now += seconds(30);
  cr_assert_eq(mesh.Choose(), "own-zone");
}

Test(earliest_finish, keeps_large_answers_off_the_link_between_regions)
{
  Mesh mesh;
  mesh.Hear("own-zone", seconds(2), milliseconds(80), 90000);
  mesh.Hear("own-region", seconds(2), milliseconds(80), 90000);
  mesh.Hear("far", Duration::zero(), milliseconds(80), 90000);
  cr_assert_neq(mesh.Choose(), "far");
}

Test(earliest_finish, asks_no_second_upstream_that_cannot_make_it)
{
  Mesh mesh;
  for (const char* id : { "own-zone", "own-region", "far" }) {
    mesh.Hear(id, milliseconds(900), milliseconds(100));
  }
  cr_assert_neq(mesh.Choose(), "");
  mesh.tried.insert("own-zone");
  cr_assert_eq(mesh.Choose(), "");
}

Test(earliest_finish, spreads_a_burst_before_any_answer_has_come)
{
  Mesh mesh;
  for (const char* id : { "own-zone", "own-region" }) {
    mesh.Hear(id, Duration::zero(), milliseconds(100));
  }
  std::map<std::string, int> sent;
  for (int i = 0; i < 30; ++i) {
    std::string chosen = mesh.Choose();
    mesh.choice.OnAttemptBegan(chosen);
    ++sent[chosen];
  }
  cr_assert_geq(sent["own-region"], 8, "own region got %d of 30", sent["own-region"]);
}

Test(split, keeps_the_weights_over_many_nodes_and_short_spans)
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

Test(retry_budgets, of_all_nodes_together_keep_the_bound)
{
  CHECK_PROPERTY("any number of nodes, all calls fail", [] {
    size_t nodes = *rc::gen::inRange<size_t>(1, 100);
    RetryLimits all{ 0.2, 62 };
    int64_t calls = 0;
    int64_t repeats = 0;
    for (size_t node = 0; node < nodes; ++node) {
      RetryBudgets budgets(all);
      budgets.SetNodes(nodes);
      int own = *rc::gen::inRange(0, 60);
      for (int i = 0; i < own; ++i) {
        ++calls;
        budgets.For("s").OnCall();
        repeats += budgets.For("s").Spend() ? 1 : 0;
      }
    }
    // A node's share is one repeat at least, so the slack is kept up to its own number of nodes.
    double burst = std::max(all.burst, static_cast<double>(nodes));
    RC_ASSERT(static_cast<double>(repeats) <= all.ratio * static_cast<double>(calls) + burst);
  });
}
