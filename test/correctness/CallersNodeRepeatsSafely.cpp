/// The node of the caller sends a call again only where that is safe.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/CallsService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// A calls service between mocks, with two upstreams of s0 beside other nodes.
class Bench
{
public:
  Bench()
    : context{ loop, registry, settings }
  {
    settings.id = "self";
    settings.region = "east";
    settings.hedge = HedgeName::None;
    AddTo<MetricsService>(registry, ServiceName::Metrics);
    links = &AddTo<MockLinks>(registry, ServiceName::Links);
    releases = &AddTo<FakeReleases>(registry, ServiceName::Releases);
    releases->Set(MakeFirstConfiguration());
    auto& membership =
      AddTo<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s9", 1));
    membership.table.Merge(MakeMember("a", "s0", 2));
    membership.table.Merge(MakeMember("b", "s0", 3));
    AddTo<FakeSpreading>(registry, ServiceName::Spreading);
    AddTo<MockAdmission>(registry, ServiceName::Admission);
    calls = &AddTo<CallsService>(registry, ServiceName::Calls, context, 3u);
    expectations.push_back(NAMED_ALLOW_CALL(*links, AddHandler(_)));
    expectations.push_back(NAMED_ALLOW_CALL(*links, AwaitAnswer(_)));
    expectations.push_back(NAMED_ALLOW_CALL(*links, AnswerReceived(_)));
    expectations.push_back(
      NAMED_ALLOW_CALL(*links, Open(_, _)).RETURN(static_cast<LinkId>(_1.port)));
    expectations.push_back(
      NAMED_ALLOW_CALL(*links, Send(_, _)).LR_SIDE_EFFECT(sent.emplace_back(_1, _2)));
    cr_assert(registry.StartAll().ok());
  }

  void Begin(const std::string& aMethod)
  {
    calls->Begin(CallerRequest{ aMethod, "/r0/x", {}, "", limits },
                 [this](const CallerAnswer& aAnswer) { answers.push_back(aAnswer); });
  }

  /// Ends the newest attempt with an outcome.
  void Reply(CallOutcome aOutcome,
             std::optional<ErrorKind> aError,
             bool aIsRetried = false,
             int64_t aStatus = 200)
  {
    auto [link, message] = sent.back();
    CallReply reply;
    reply.id = std::get<OpenCall>(message).id;
    reply.outcome = aOutcome;
    reply.error = aError;
    reply.isRetried = aIsRetried;
    reply.status = aOutcome == CallOutcome::Ran ? aStatus : 0;
    calls->OnLinkMessage(link, reply);
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context;
  FakeReleases* releases = nullptr;
  MockLinks* links = nullptr;
  CallsService* calls = nullptr;
  InheritedLimits limits;
  std::vector<std::pair<LinkId, LinkMessage>> sent;
  std::vector<CallerAnswer> answers;
  std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
};

} // namespace

Test(callers_node, tries_another_upstream_after_a_refusal)
{
  Bench bench;
  bench.Begin("POST");
  bench.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(bench.sent.size(), 2);
  cr_assert_neq(bench.sent[0].first, bench.sent[1].first);
  bench.Reply(CallOutcome::Ran, std::nullopt);
  cr_assert_eq(bench.answers.size(), 1);
  cr_assert(bench.answers[0].outcome == CallOutcome::Ran);
}

Test(callers_node, never_sends_a_deposit_again_that_may_have_run)
{
  Bench bench;
  bench.Begin("POST");
  bench.Reply(CallOutcome::Unknown, ErrorKind::OutcomeUnknown);
  cr_assert_eq(bench.sent.size(), 1);
  cr_assert(bench.answers.at(0).outcome == CallOutcome::Unknown);
}

Test(callers_node, sends_a_lookup_again_that_may_have_run)
{
  Bench bench;
  bench.Begin("GET");
  bench.Reply(CallOutcome::Unknown, ErrorKind::OutcomeUnknown);
  cr_assert_eq(bench.sent.size(), 2);
}

Test(callers_node, knows_what_never_left_on_a_lost_link)
{
  Bench bench;
  bench.Begin("POST");
  auto [link, message] = bench.sent.back();
  // The frame still waited for the link to open, so the call has certainly not run.
  bench.calls->OnLinkClosed(link, { message });
  cr_assert_eq(bench.sent.size(), 2);
  // This one had left.
  bench.calls->OnLinkClosed(bench.sent.back().first, {});
  cr_assert_eq(bench.sent.size(), 2);
  cr_assert(bench.answers.at(0).outcome == CallOutcome::Unknown);
}

Test(callers_node, ends_when_every_upstream_has_refused)
{
  Bench bench;
  bench.Begin("GET");
  bench.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  bench.Reply(CallOutcome::NotRun, ErrorKind::Leaving);
  cr_assert_eq(bench.sent.size(), 2);
  cr_assert(bench.answers.at(0).outcome == CallOutcome::NotRun);
  cr_assert(bench.answers.at(0).error == ErrorKind::Leaving);
}

Test(callers_node, refuses_a_call_whose_route_was_withdrawn_meanwhile)
{
  Bench bench;
  bench.Begin("GET");
  // The call alone still holds the version it was routed by.
  Configuration empty;
  empty.version = 2;
  bench.releases->Set(empty);
  bench.Reply(CallOutcome::NotRun, ErrorKind::Withdrawn);
  cr_assert_eq(bench.answers.size(), 1);
  cr_assert(bench.answers[0].outcome == CallOutcome::NotRun);
  cr_assert(bench.answers[0].error == ErrorKind::NoRoute);
}

Test(callers_node, leaves_repeats_to_the_node_nearest_to_a_refusal)
{
  Bench bench;
  bench.Begin("GET");
  bench.Reply(CallOutcome::NotRun, ErrorKind::Overloaded, true);
  cr_assert_eq(bench.sent.size(), 1);
  cr_assert(bench.answers.at(0).outcome == CallOutcome::NotRun);
  cr_assert(bench.answers.at(0).isRetried);
}

Test(callers_node, hands_down_what_is_left_of_the_limits)
{
  Bench bench;
  bench.limits = InheritedLimits{ milliseconds(900), TrafficClass::Background, 1 };
  bench.Begin("GET");
  const auto& first = std::get<OpenCall>(bench.sent.at(0).second);
  cr_assert_leq(first.deadlineMs, 900);
  cr_assert_eq(first.retriesLeft, 1);
  cr_assert(first.trafficClass == TrafficClass::Background);
  bench.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(std::get<OpenCall>(bench.sent.at(1).second).retriesLeft, 0);
  bench.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(bench.sent.size(), 2);
}

Test(callers_node, answers_with_the_failure_of_the_run_when_the_repeat_is_refused)
{
  for (CallOutcome repeat : { CallOutcome::NotRun, CallOutcome::Unknown }) {
    Bench bench;
    bench.Begin("GET");
    bench.Reply(CallOutcome::Ran, std::nullopt, false, 500);
    cr_assert_eq(bench.sent.size(), 2);
    bench.Reply(repeat, ErrorKind::Overloaded);
    cr_assert_eq(bench.answers.size(), 1);
    cr_assert(bench.answers[0].outcome == CallOutcome::Ran);
    cr_assert_eq(bench.answers[0].status, 500);
  }
}

Test(callers_node, asks_a_second_upstream_for_lookups_that_a_stop_would_break_off)
{
  // An upstream that hangs outlasts the grace time of the node that waits for it.
  Bench bench;
  bench.Begin("GET");
  bench.calls->HedgeOutstanding();
  cr_assert_eq(bench.sent.size(), 2);
  cr_assert_neq(bench.sent[0].first, bench.sent[1].first);
  bench.calls->HedgeOutstanding();
  cr_assert_eq(bench.sent.size(), 2, "two at a time are enough");
  bench.Reply(CallOutcome::Ran, std::nullopt);
  cr_assert_eq(bench.answers.size(), 1);
  cr_assert(bench.answers[0].outcome == CallOutcome::Ran);
}

Test(callers_node, asks_a_second_upstream_also_when_the_target_has_passed)
{
  Bench bench;
  bench.settings.choice = ChoiceName::EarliestFinish;
  bench.calls = &AddTo<CallsService>(bench.registry, ServiceName::Front, bench.context, 3u);
  cr_assert(bench.calls->Start().ok());
  Configuration configuration = MakeFirstConfiguration();
  for (auto& [name, policy] : configuration.policies) {
    policy.spec.targetMs = 1;
  }
  bench.releases->Set(configuration);
  bench.Begin("GET");
  Timer late = bench.loop.After(milliseconds(20), [&] { bench.loop.Stop(); });
  bench.loop.Run();
  bench.calls->HedgeOutstanding();
  cr_assert_eq(bench.sent.size(), 2);
}

Test(callers_node, never_asks_a_second_upstream_for_a_deposit_in_progress)
{
  Bench bench;
  bench.Begin("POST");
  bench.calls->HedgeOutstanding();
  cr_assert_eq(bench.sent.size(), 1);
}
