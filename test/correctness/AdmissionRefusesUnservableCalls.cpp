/// The admission service sends a call to its upstream only where its own configuration, its
/// membership and the state of the upstream allow it. Guards against running a call that was
/// allowed when it was sent: its route was withdrawn while it was on the way or queued, the node
/// was fenced, or the upstream began to leave.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"

#include <set>

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// An admission service with mocked dependencies and an upstream of service s0 with one slot.
class Fixture
{
public:
  explicit Fixture(QueueOrderName aQueue = NodeSettings().queue)
    : context{ loop, registry, settings }
  {
    settings.id = "self";
    settings.queue = aQueue;
    settings.service = "s0";
    AddService<MetricsService>(registry, ServiceName::Metrics);
    links = &AddService<MockLinks>(registry, ServiceName::Links);
    upstream = &AddService<MockUpstream>(registry, ServiceName::Upstream);
    releases = &AddService<FakeReleases>(registry, ServiceName::Releases);
    membership =
      &AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s0", 1));
    upstreamState = &AddService<FakeUpstreamState>(registry, ServiceName::UpstreamState);
    admission = &AddService<AdmissionService>(registry, ServiceName::Admission, context);
    ALLOW_CALL(*links, AddHandler(_));
    cr_assert(registry.StartAll().ok());
    releases->Set(MakeFirstConfiguration());
  }

  OpenCall MakeCall(uint64_t aId, Version aVersion)
  {
    OpenCall call;
    call.id = aId;
    call.service = "s0";
    call.route = "r0";
    call.version = aVersion;
    call.deadlineMs = 10000;
    return call;
  }

  /// Serves a call and records its reply.
  void Serve(const OpenCall& aCall)
  {
    admission->Serve(aCall, [this](const CallReply& aReply) { replies[aReply.id] = aReply; });
  }

  /// Version 2 of the configuration, with route r0 withdrawn.
  Configuration ConfigurationWithoutRoute()
  {
    Note note;
    note.id = "withdraw";
    note.withdraw.routes = { "r0" };
    return *Apply(*releases->Current(), note, 1);
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context;
  MockLinks* links = nullptr;
  MockUpstream* upstream = nullptr;
  FakeReleases* releases = nullptr;
  FakeMembership* membership = nullptr;
  FakeUpstreamState* upstreamState = nullptr;
  AdmissionService* admission = nullptr;
  std::map<uint64_t, CallReply> replies;
};

} // namespace

Test(upstreams_node, refuses_call_on_withdrawn_route)
{
  Fixture fixture;
  fixture.releases->Set(fixture.ConfigurationWithoutRoute());
  FORBID_CALL(*fixture.upstream, Send(_, _));
  fixture.Serve(fixture.MakeCall(1, 1));
  cr_assert(fixture.replies.at(1).outcome == CallOutcome::NotRun);
  cr_assert(fixture.replies.at(1).error == ErrorKind::Withdrawn);
}

Test(upstreams_node, serves_call_of_newer_version_with_unknown_route)
{
  Fixture fixture;
  OpenCall call = fixture.MakeCall(1, 2);
  call.route = "new-route";
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).RETURN(7u);
  fixture.Serve(call);
}

Test(upstreams_node, refuses_queued_call_when_its_route_is_withdrawn)
{
  Fixture fixture;
  Upstream::OnResult onResult;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(onResult = _2).RETURN(7u).TIMES(1);
  fixture.Serve(fixture.MakeCall(1, 1));
  fixture.Serve(fixture.MakeCall(2, 1));
  cr_assert(fixture.replies.empty());
  fixture.releases->Set(fixture.ConfigurationWithoutRoute());
  onResult(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
  cr_assert(fixture.replies.at(1).outcome == CallOutcome::Ran);
  cr_assert(fixture.replies.at(2).outcome == CallOutcome::NotRun);
}

Test(upstreams_node, refuses_all_calls_while_fenced)
{
  Fixture fixture;
  fixture.membership->isFenced = true;
  FORBID_CALL(*fixture.upstream, Send(_, _));
  fixture.Serve(fixture.MakeCall(1, 1));
  cr_assert(fixture.replies.at(1).error == ErrorKind::Fenced);
}

Test(upstreams_node, cancels_running_call_at_upstream_and_frees_its_slot)
{
  Fixture fixture;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).RETURN(7u).TIMES(2);
  REQUIRE_CALL(*fixture.upstream, Cancel(7u));
  auto ticket = fixture.admission->Serve(fixture.MakeCall(1, 1), [](const CallReply&) {});
  fixture.Serve(fixture.MakeCall(2, 1));
  // Cancelling the running call frees its slot for the queued call.
  fixture.admission->Cancel(ticket);
}

Test(upstreams_node, refuses_queued_and_new_calls_once_upstream_leaves)
{
  Fixture fixture;
  Upstream::OnResult onResult;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(onResult = _2).RETURN(7u).TIMES(1);
  fixture.Serve(fixture.MakeCall(1, 1));
  fixture.Serve(fixture.MakeCall(2, 1));
  fixture.upstreamState->Set(0);
  // The queued call is refused, since it can still run elsewhere; the running call finishes.
  cr_assert(fixture.replies.at(2).error == ErrorKind::Leaving);
  fixture.Serve(fixture.MakeCall(3, 1));
  cr_assert(fixture.replies.at(3).error == ErrorKind::Leaving);
  onResult(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
  cr_assert(fixture.replies.at(1).outcome == CallOutcome::Ran);
}

/// The slot of a call that is taken back must not let a waiting call reach the leaving upstream.
Test(upstreams_node, takes_back_unsent_calls_once_upstream_leaves)
{
  Fixture fixture;
  Upstream::OnResult onResult;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(onResult = _2).RETURN(7u).TIMES(1);
  fixture.Serve(fixture.MakeCall(1, 1));
  fixture.Serve(fixture.MakeCall(2, 1));
  fixture.upstream->onWithdrawUnsent = [&] {
    onResult(UpstreamResult{ CallOutcome::NotRun, false, 0, {}, "", false });
  };
  fixture.upstreamState->Set(0);
  for (uint64_t id : { 1, 2 }) {
    cr_assert(fixture.replies.at(id).outcome == CallOutcome::NotRun);
    cr_assert(fixture.replies.at(id).error == ErrorKind::Leaving);
  }
}

Test(upstreams_node, sends_upstream_id_with_each_call)
{
  // The id tells the upstream which incarnation the call is meant for.
  Fixture fixture;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).WITH(_1.upstreamId == "upstream-1").RETURN(7u);
  fixture.Serve(fixture.MakeCall(1, 1));
}

// Guards against LOST: a node ended by itself when a configuration withdrew calls that waited for
// slots which a report had just opened.
Test(upstreams_node, withdrawal_after_more_slots_are_reported_answers_each_queued_call)
{
  constexpr uint64_t kCalls = 6;
  for (const auto& order : EnumNames<QueueOrderName>::kTable) {
    Fixture fixture(order.value);
    std::set<uint64_t> sent;
    ALLOW_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(sent.insert(_1.id)).RETURN(7u);
    for (uint64_t id = 1; id <= kCalls; ++id) {
      fixture.Serve(fixture.MakeCall(id, 1));
    }
    fixture.upstreamState->Set(3);
    fixture.releases->Set(fixture.ConfigurationWithoutRoute());
    for (uint64_t id = 1; id <= kCalls; ++id) {
      bool isRefused =
        fixture.replies.count(id) > 0 && fixture.replies.at(id).outcome == CallOutcome::NotRun;
      cr_assert(isRefused != (sent.count(id) > 0), "call %d", static_cast<int>(id));
    }
  }
}

// Guards against LOST: a node ended by itself when the refusal of one withdrawn call freed a slot,
// for which the next withdrawn call was chosen.
Test(upstreams_node, withdrawal_survives_a_slot_freed_by_the_first_refusal)
{
  Fixture fixture(QueueOrderName::ByTarget);
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).RETURN(7u).TIMES(1);
  REQUIRE_CALL(*fixture.upstream, Cancel(7u));
  auto running = fixture.admission->Serve(fixture.MakeCall(1, 1), [](const CallReply&) {});
  fixture.admission->Serve(fixture.MakeCall(2, 1),
                           [&](const CallReply&) { fixture.admission->Cancel(running); });
  fixture.Serve(fixture.MakeCall(3, 1));
  fixture.Serve(fixture.MakeCall(4, 1));
  fixture.releases->Set(fixture.ConfigurationWithoutRoute());
  cr_assert(fixture.replies.at(3).error == ErrorKind::Withdrawn);
  cr_assert(fixture.replies.at(4).error == ErrorKind::Withdrawn);
}

// Guards against LOST: a node ended by itself when the answer of one call made its caller leave,
// and with it the call that had been chosen for the freed slot.
Test(upstreams_node, call_cancelled_while_an_answer_is_delivered_gives_its_slot_back)
{
  for (const auto& order : EnumNames<QueueOrderName>::kTable) {
    Fixture fixture(order.value);
    std::map<uint64_t, Upstream::OnResult> sent;
    ALLOW_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(sent[_1.id] = _2).RETURN(7u);
    Admission::Ticket second = 0;
    fixture.admission->Serve(fixture.MakeCall(1, 1),
                             [&](const CallReply&) { fixture.admission->Cancel(second); });
    second = fixture.admission->Serve(fixture.MakeCall(2, 1), [](const CallReply&) {});
    fixture.Serve(fixture.MakeCall(3, 1));
    sent.at(1)(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
    cr_assert_eq(sent.count(2), 0u);
    cr_assert_eq(sent.count(3), 1u);
  }
}

// Guards against LOST: the same where a whole queue is refused, as at a planned stop.
Test(upstreams_node, call_cancelled_while_the_queue_is_closed_is_not_refused_again)
{
  for (const auto& order : EnumNames<QueueOrderName>::kTable) {
    Fixture fixture(order.value);
    REQUIRE_CALL(*fixture.upstream, Send(_, _)).RETURN(7u).TIMES(1);
    fixture.Serve(fixture.MakeCall(1, 1));
    Admission::Ticket third = 0;
    fixture.admission->Serve(fixture.MakeCall(2, 1),
                             [&](const CallReply&) { fixture.admission->Cancel(third); });
    third = fixture.admission->Serve(fixture.MakeCall(3, 1), [](const CallReply&) {});
    fixture.Serve(fixture.MakeCall(4, 1));
    fixture.upstreamState->Set(0);
    cr_assert(fixture.replies.at(4).error == ErrorKind::Leaving);
  }
}

// Guards against calls that wait beside free slots: raised slots stayed empty until the next call
// arrived or ended.
Test(upstreams_node, slots_raised_by_a_report_start_waiting_calls)
{
  for (const auto& order : EnumNames<QueueOrderName>::kTable) {
    Fixture fixture(order.value);
    std::set<uint64_t> sent;
    ALLOW_CALL(*fixture.upstream, Send(_, _)).LR_SIDE_EFFECT(sent.insert(_1.id)).RETURN(7u);
    for (uint64_t id = 1; id <= 4; ++id) {
      fixture.Serve(fixture.MakeCall(id, 1));
    }
    cr_assert_eq(sent.size(), 1u);
    fixture.upstreamState->Set(3);
    cr_assert_eq(sent.size(), 3u);
  }
}
