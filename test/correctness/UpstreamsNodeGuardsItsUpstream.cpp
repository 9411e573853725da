/// The node beside an upstream hands it only what its own configuration allows.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// An admission service between mocks, beside an upstream of s0 with one slot.
class Bench
{
public:
  Bench()
    : context{ loop, registry, settings }
  {
    settings.id = "self";
    settings.service = "s0";
    AddTo<MetricsService>(registry, ServiceName::Metrics);
    links = &AddTo<MockLinks>(registry, ServiceName::Links);
    upstream = &AddTo<MockUpstream>(registry, ServiceName::Upstream);
    releases = &AddTo<FakeReleases>(registry, ServiceName::Releases);
    membership =
      &AddTo<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s0", 1));
    upstreamState = &AddTo<FakeUpstreamState>(registry, ServiceName::UpstreamState);
    admission = &AddTo<AdmissionService>(registry, ServiceName::Admission, context);
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

  /// Serves a call and keeps its reply.
  void Serve(const OpenCall& aCall)
  {
    admission->Serve(aCall, [this](const CallReply& aReply) { replies[aReply.id] = aReply; });
  }

  /// The second version, without route r0.
  Configuration WithoutRoute()
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

Test(upstreams_node, refuses_a_route_that_was_withdrawn_since_the_caller_looked)
{
  Bench bench;
  bench.releases->Set(bench.WithoutRoute());
  FORBID_CALL(*bench.upstream, Send(_, _));
  bench.Serve(bench.MakeCall(1, 1));
  cr_assert(bench.replies.at(1).outcome == CallOutcome::NotRun);
  cr_assert(bench.replies.at(1).error == ErrorKind::Withdrawn);
}

Test(upstreams_node, serves_a_newer_caller_whose_route_it_does_not_know_yet)
{
  Bench bench;
  OpenCall call = bench.MakeCall(1, 2);
  call.route = "new-route";
  REQUIRE_CALL(*bench.upstream, Send(_, _)).RETURN(7u);
  bench.Serve(call);
}

Test(upstreams_node, refuses_what_waited_while_its_route_was_withdrawn)
{
  Bench bench;
  Upstream::OnResult finish;
  REQUIRE_CALL(*bench.upstream, Send(_, _)).LR_SIDE_EFFECT(finish = _2).RETURN(7u).TIMES(1);
  bench.Serve(bench.MakeCall(1, 1));
  bench.Serve(bench.MakeCall(2, 1));
  cr_assert(bench.replies.empty());
  bench.releases->Set(bench.WithoutRoute());
  finish(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
  cr_assert(bench.replies.at(1).outcome == CallOutcome::Ran);
  cr_assert(bench.replies.at(2).outcome == CallOutcome::NotRun);
}

Test(upstreams_node, refuses_all_while_it_is_fenced)
{
  Bench bench;
  bench.membership->isFenced = true;
  FORBID_CALL(*bench.upstream, Send(_, _));
  bench.Serve(bench.MakeCall(1, 1));
  cr_assert(bench.replies.at(1).error == ErrorKind::Fenced);
}

Test(upstreams_node, cancels_down_to_the_upstream)
{
  Bench bench;
  REQUIRE_CALL(*bench.upstream, Send(_, _)).RETURN(7u).TIMES(2);
  REQUIRE_CALL(*bench.upstream, Cancel(7u));
  auto ticket = bench.admission->Serve(bench.MakeCall(1, 1), [](const CallReply&) {});
  bench.Serve(bench.MakeCall(2, 1));
  // The slot of the cancelled call goes to the one that waits.
  bench.admission->Cancel(ticket);
}

Test(upstreams_node, refuses_all_from_the_moment_its_upstream_leaves)
{
  Bench bench;
  Upstream::OnResult finish;
  REQUIRE_CALL(*bench.upstream, Send(_, _)).LR_SIDE_EFFECT(finish = _2).RETURN(7u).TIMES(1);
  bench.Serve(bench.MakeCall(1, 1));
  bench.Serve(bench.MakeCall(2, 1));
  bench.upstreamState->Set(0);
  // What waited can still run elsewhere; what runs is finished.
  cr_assert(bench.replies.at(2).error == ErrorKind::Leaving);
  bench.Serve(bench.MakeCall(3, 1));
  cr_assert(bench.replies.at(3).error == ErrorKind::Leaving);
  finish(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
  cr_assert(bench.replies.at(1).outcome == CallOutcome::Ran);
}

Test(upstreams_node, names_the_upstream_that_is_meant)
{
  Bench bench;
  REQUIRE_CALL(*bench.upstream, Send(_, _)).WITH(_1.upstreamId == "upstream-1").RETURN(7u);
  bench.Serve(bench.MakeCall(1, 1));
}
