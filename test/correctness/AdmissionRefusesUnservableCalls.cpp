/// The admission service sends a call to its upstream only where its own configuration, its
/// membership and the state of the upstream allow it. Guards against running a call that was
/// allowed when it was sent: its route was withdrawn while it was on the way or queued, the node
/// was fenced, or the upstream began to leave.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// An admission service with mocked dependencies and an upstream of service s0 with one slot.
class Fixture
{
public:
  Fixture()
    : context{ loop, registry, settings }
  {
    settings.id = "self";
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

Test(upstreams_node, sends_upstream_id_with_each_call)
{
  // The id tells the upstream which incarnation the call is meant for.
  Fixture fixture;
  REQUIRE_CALL(*fixture.upstream, Send(_, _)).WITH(_1.upstreamId == "upstream-1").RETURN(7u);
  fixture.Serve(fixture.MakeCall(1, 1));
}
