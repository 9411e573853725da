/// Guards against an upstream in need that is sent more calls than it takes by its own answers,
/// also after its node has restarted and does not know its limit yet.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

constexpr int kSlots = 18;
constexpr double kLimit = 40;

/// The node of an upstream that answers each call after some milliseconds, and names its limit.
class LimitedUpstream
{
public:
  explicit LimitedUpstream(QueueOrderName aQueue)
  {
    settings.queue = aQueue;
    settings.service = "s0";
    context.headerNames.rateLimit = "limit";
    AddService<MetricsService>(registry, ServiceName::Metrics);
    auto& links = AddService<MockLinks>(registry, ServiceName::Links);
    upstream = &AddService<MockUpstream>(registry, ServiceName::Upstream);
    auto& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s0", 1));
    auto& state = AddService<FakeUpstreamState>(registry, ServiceName::UpstreamState);
    admission = &AddService<AdmissionService>(registry, ServiceName::Admission, context);
    ALLOW_CALL(links, AddHandler(_));
    cr_assert(registry.StartAll().ok());
    releases.Set(MakeFirstConfiguration());
    state.Set(kSlots);
    expectation = NAMED_ALLOW_CALL(*upstream, Send(_, _)).LR_SIDE_EFFECT(OnSent(_2)).RETURN(7u);
  }
  void OnSent(const Upstream::OnResult& aOnResult)
  {
    ++sent;
    if (!isAnswering) {
      return;
    }
    constexpr Duration kServiceTime = milliseconds(5);
    timers.push_back(loop.After(kServiceTime, [this, aOnResult] {
      UpstreamResult result;
      result.outcome = CallOutcome::Ran;
      result.status = 200;
      result.notices = UpstreamNotices{ limit };
      aOnResult(result);
    }));
  }
  void Serve(int aCalls)
  {
    for (int i = 0; i < aCalls; ++i) {
      OpenCall call;
      call.service = "s0";
      call.route = "r0";
      call.version = 1;
      call.deadlineMs = 60000;
      admission->Serve(call, [this](const CallReply& aReply) {
        refused += aReply.outcome == CallOutcome::NotRun ? 1 : 0;
      });
    }
  }
  /// Keeps calls waiting for some time. Returns how many the upstream was sent meanwhile.
  int SentWithin(Duration aTime)
  {
    int before = sent;
    TimePoint end = loop.Now() + aTime;
    while (loop.Now() < end) {
      Serve(20);
      RunFor(loop, milliseconds(20));
    }
    return sent - before;
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  MockUpstream* upstream = nullptr;
  AdmissionService* admission = nullptr;
  std::unique_ptr<trompeloeil::expectation> expectation;
  std::vector<Timer> timers;
  std::optional<double> limit = kLimit;
  bool isAnswering = true;
  int sent = 0;
  int refused = 0;
};

void CheckLimitHolds(QueueOrderName aQueue)
{
  LimitedUpstream node(aQueue);
  node.SentWithin(milliseconds(100));
  TimePoint begin = node.loop.Now();
  int sent = node.SentWithin(seconds(1));
  double elapsed = std::chrono::duration<double>(node.loop.Now() - begin).count();
  cr_assert_leq(sent, 1.5 * kLimit * elapsed + 5);
  cr_assert_gt(sent, 0);
  // The limit stands only as long as answers name it.
  node.limit = std::nullopt;
  constexpr int kFreely = 200;
  cr_assert(RunUntil(node.loop, [&] {
    node.Serve(20);
    return node.sent > sent + kFreely;
  }));
}

} // namespace

Test(upstream_limits, hold_for_calls_ordered_by_target)
{
  CheckLimitHolds(QueueOrderName::ByTarget);
}

Test(upstream_limits, hold_for_calls_in_class_lanes)
{
  CheckLimitHolds(QueueOrderName::ClassLanes);
}

/// Answers before the restart may have named a limit. Only the first answer after it tells.
Test(upstream_limits, of_before_a_restart_are_not_exceeded_before_the_first_answer)
{
  LimitedUpstream node(QueueOrderName::ByTarget);
  node.isAnswering = false;
  node.Serve(kSlots);
  cr_assert_gt(node.sent, 0);
  cr_assert_leq(node.sent, 5);
}
