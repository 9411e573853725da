/// The calls service retries or hedges a call only where it cannot run twice, or running it twice
/// does no harm. Guards against a call that runs twice although it must not, for example because
/// its answer was lost with the link and the call was sent to another upstream.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/CallsService.h"
#include "dandeliond/CarrierService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// A calls service with mocked dependencies and two upstreams of service s0 at other nodes.
class Fixture
{
public:
  Fixture()
    : context{ loop, registry, settings }
  {
    settings.id = "self";
    settings.region = "east";
    settings.hedge = HedgeName::None;
    AddService<MetricsService>(registry, ServiceName::Metrics);
    links = &AddService<MockLinks>(registry, ServiceName::Links);
    releases = &AddService<FakeReleases>(registry, ServiceName::Releases);
    releases->Set(MakeFirstConfiguration());
    membership =
      &AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s9", 1));
    membership->table.Merge(MakeMember("a", "s0", 2));
    membership->table.Merge(MakeMember("b", "s0", 3));
    AddService<FakeSpreading>(registry, ServiceName::Spreading);
    AddService<MockAdmission>(registry, ServiceName::Admission);
    carrier = &AddService<CarrierService>(registry, ServiceName::Carrier, context);
    AddService<FakeAccountCaps>(registry, ServiceName::AccountCaps);
    calls = &AddService<CallsService>(registry, ServiceName::Calls, context, 3u);
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

  /// Replies to the newest attempt.
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
    carrier->OnLinkMessage(link, reply);
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context;
  FakeReleases* releases = nullptr;
  FakeMembership* membership = nullptr;
  MockLinks* links = nullptr;
  CarrierService* carrier = nullptr;
  CallsService* calls = nullptr;
  InheritedLimits limits;
  std::vector<std::pair<LinkId, LinkMessage>> sent;
  std::vector<CallerAnswer> answers;
  std::vector<std::unique_ptr<trompeloeil::expectation>> expectations;
};

} // namespace

Test(callers_node, retries_refused_call_at_another_upstream)
{
  Fixture fixture;
  fixture.Begin("POST");
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(fixture.sent.size(), 2);
  cr_assert_neq(fixture.sent[0].first, fixture.sent[1].first);
  fixture.Reply(CallOutcome::Ran, std::nullopt);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].outcome == CallOutcome::Ran);
}

Test(callers_node, does_not_retry_unsafe_call_with_unknown_outcome)
{
  Fixture fixture;
  fixture.Begin("POST");
  fixture.Reply(CallOutcome::Unknown, ErrorKind::OutcomeUnknown);
  cr_assert_eq(fixture.sent.size(), 1);
  cr_assert(fixture.answers.at(0).outcome == CallOutcome::Unknown);
}

Test(callers_node, retries_idempotent_call_with_unknown_outcome)
{
  Fixture fixture;
  fixture.Begin("GET");
  fixture.Reply(CallOutcome::Unknown, ErrorKind::OutcomeUnknown);
  cr_assert_eq(fixture.sent.size(), 2);
}

Test(callers_node, treats_only_unsent_calls_of_closed_link_as_not_run)
{
  Fixture fixture;
  fixture.Begin("POST");
  auto [link, message] = fixture.sent.back();
  // The message was not sent before the link closed, so the call has not run and is retried.
  fixture.carrier->OnLinkClosed(link, { message });
  cr_assert_eq(fixture.sent.size(), 2);
  // The second message was sent, so the call may have run and is not retried.
  fixture.carrier->OnLinkClosed(fixture.sent.back().first, {});
  cr_assert_eq(fixture.sent.size(), 2);
  cr_assert(fixture.answers.at(0).outcome == CallOutcome::Unknown);
}

Test(callers_node, answers_not_run_when_every_upstream_refuses)
{
  Fixture fixture;
  fixture.Begin("GET");
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Leaving);
  cr_assert_eq(fixture.sent.size(), 2);
  cr_assert(fixture.answers.at(0).outcome == CallOutcome::NotRun);
  cr_assert(fixture.answers.at(0).error == ErrorKind::Leaving);
}

Test(callers_node, refuses_call_whose_route_is_withdrawn_after_sending)
{
  Fixture fixture;
  fixture.Begin("GET");
  // From here on only the call keeps the route table that its route points into.
  Configuration empty;
  empty.version = 2;
  fixture.releases->Set(empty);
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Withdrawn);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].outcome == CallOutcome::NotRun);
  cr_assert(fixture.answers[0].error == ErrorKind::NoRoute);
}

Test(callers_node, does_not_retry_call_already_retried_deeper_in_chain)
{
  // Only the node nearest to a refusal retries: retries at every node of a chain would multiply.
  Fixture fixture;
  fixture.Begin("GET");
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded, true);
  cr_assert_eq(fixture.sent.size(), 1);
  cr_assert(fixture.answers.at(0).outcome == CallOutcome::NotRun);
  cr_assert(fixture.answers.at(0).isRetried);
}

Test(callers_node, sends_remaining_limits_with_each_attempt)
{
  Fixture fixture;
  fixture.limits = InheritedLimits{ milliseconds(900), TrafficClass::Background, 1 };
  fixture.Begin("GET");
  const auto& first = std::get<OpenCall>(fixture.sent.at(0).second);
  cr_assert_leq(first.deadlineMs, 900);
  cr_assert_eq(first.retriesLeft, 1);
  cr_assert(first.trafficClass == TrafficClass::Background);
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(std::get<OpenCall>(fixture.sent.at(1).second).retriesLeft, 0);
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  cr_assert_eq(fixture.sent.size(), 2);
}

Test(callers_node, answers_with_failed_run_when_retry_is_refused_or_unknown)
{
  for (CallOutcome retryOutcome : { CallOutcome::NotRun, CallOutcome::Unknown }) {
    Fixture fixture;
    fixture.Begin("GET");
    fixture.Reply(CallOutcome::Ran, std::nullopt, false, 500);
    cr_assert_eq(fixture.sent.size(), 2);
    fixture.Reply(retryOutcome, ErrorKind::Overloaded);
    cr_assert_eq(fixture.answers.size(), 1);
    cr_assert(fixture.answers[0].outcome == CallOutcome::Ran);
    cr_assert_eq(fixture.answers[0].status, 500);
  }
}

Test(callers_node, hedges_outstanding_idempotent_call_once)
{
  // An upstream that hangs may not answer before the caller's node is killed at the end of its
  // grace period, so a stopping node hedges its outstanding calls.
  Fixture fixture;
  fixture.Begin("GET");
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 2);
  cr_assert_neq(fixture.sent[0].first, fixture.sent[1].first);
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 2, "a call with two open attempts was hedged again");
  fixture.Reply(CallOutcome::Ran, std::nullopt);
  cr_assert_eq(fixture.answers.size(), 1);
  cr_assert(fixture.answers[0].outcome == CallOutcome::Ran);
}

Test(callers_node, hedges_outstanding_call_after_its_target)
{
  // A second upstream that cannot meet the target is normally not chosen, but here a late answer is
  // better than none. The fixture's calls service has another choice, so the test adds its own.
  Fixture fixture;
  fixture.settings.choice = ChoiceName::EarliestFinish;
  fixture.calls =
    &AddService<CallsService>(fixture.registry, ServiceName::Front, fixture.context, 3u);
  cr_assert(fixture.calls->Start().ok());
  Configuration configuration = MakeFirstConfiguration();
  for (auto& [name, policy] : configuration.policies) {
    policy.spec.targetMs = 1;
  }
  fixture.releases->Set(configuration);
  fixture.Begin("GET");
  Timer targetPassed = fixture.loop.After(milliseconds(20), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 2);
}

Test(callers_node, does_not_hedge_outstanding_unsafe_call)
{
  Fixture fixture;
  fixture.Begin("POST");
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 1);
}

Test(callers_node, stopping_refuses_calls_that_it_could_not_finish)
{
  // A call that arrives late in a planned stop would be cut off at its end without an answer.
  for (const std::string method : { "GET", "POST" }) {
    Fixture fixture;
    Duration limit =
      milliseconds(fixture.releases->Current()->policies.begin()->second.spec.timeoutMs);
    TimePoint now = fixture.loop.Now();
    fixture.calls->RefuseCallsEndingAfter(now + limit - milliseconds(1));
    fixture.Begin(method);
    cr_assert(fixture.sent.empty());
    cr_assert_eq(fixture.answers.size(), 1);
    cr_assert(fixture.answers[0].outcome == CallOutcome::NotRun);
    fixture.calls->RefuseCallsEndingAfter(now + limit + seconds(10));
    fixture.Begin(method);
    cr_assert_eq(fixture.sent.size(), 1);
  }
}

Test(callers_node, prefers_upstreams_with_a_short_way)
{
  // Guards against calls, downloads above all, that go to an upstream behind a slow link because
  // only its queue is looked at.
  Fixture fixture;
  fixture.settings.choice = ChoiceName::EarliestFinish;
  fixture.calls =
    &AddService<CallsService>(fixture.registry, ServiceName::Front, fixture.context, 3u);
  cr_assert(fixture.calls->Start().ok());
  auto reply = [&](size_t aSent) {
    CallReply ran;
    ran.id = std::get<OpenCall>(fixture.sent.at(aSent).second).id;
    ran.outcome = CallOutcome::Ran;
    ran.status = 200;
    ran.slots = 4;
    ran.freeSlots = 4;
    ran.serviceTimeUs = 1000;
    ran.elapsedUs = 1000;
    fixture.carrier->OnLinkMessage(fixture.sent.at(aSent).first, ran);
  };
  fixture.Begin("GET");
  LinkId distant = fixture.sent.at(0).first;
  Timer arrived = fixture.loop.After(milliseconds(100), [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  reply(0);
  constexpr size_t kCalls = 8;
  for (size_t i = 1; i <= kCalls; ++i) {
    fixture.Begin("GET");
    reply(i);
    cr_assert_neq(fixture.sent.at(i).first, distant);
  }
}

Test(callers_node, refused_hedge_leaves_the_budget_for_the_next_one)
{
  // Guards against a stop that breaks a lookup off because the one other upstream that it was sent
  // to had no free slot.
  Fixture fixture;
  fixture.settings.retries.ratio = 0;
  fixture.settings.retries.burst = 1;
  fixture.calls =
    &AddService<CallsService>(fixture.registry, ServiceName::Front, fixture.context, 3u);
  cr_assert(fixture.calls->Start().ok());
  fixture.membership->table.Merge(MakeMember("c", "s0", 4));
  fixture.Begin("GET");
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 2);
  fixture.Reply(CallOutcome::NotRun, ErrorKind::Overloaded);
  fixture.calls->HedgeOutstanding();
  cr_assert_eq(fixture.sent.size(), 3);
  cr_assert(fixture.answers.empty());
}
