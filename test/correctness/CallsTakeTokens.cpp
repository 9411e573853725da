/// A call of an account is sent only with a token, and a token that was not used is returned.
/// Guards against calls beyond a cap, and against tokens that are lost with refused calls or used
/// again for a call that may have run.
#include "support/Check.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/CallsService.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Keeps the attempts until the test replies to them.
class SilentCarrier
  : public Service
  , public Carrier
{
public:
  void Send(const Member& /* aMember */, const OpenCall& /* aCall */, OnReply aReply) override
  {
    sent.push_back(std::move(aReply));
  }
  void Cancel(uint64_t /* aAttempt */) override {}

  std::vector<OnReply> sent;
};

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
    auto& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
    auto& membership =
      AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s9", 1));
    membership.table.Merge(MakeMember("a", "s0", 2));
    AddService<FakeSpreading>(registry, ServiceName::Spreading);
    carrier = &AddService<SilentCarrier>(registry, ServiceName::Carrier);
    caps = &AddService<FakeAccountCaps>(registry, ServiceName::AccountCaps);
    calls = &AddService<CallsService>(registry, ServiceName::Calls, context, 3u);
    cr_assert(registry.StartAll().ok());
    Configuration configuration = MakeFirstConfiguration();
    AccountSpec account;
    account.name = "one";
    account.keyDigests = { DigestOfKey("key-of-one") };
    configuration.accounts["one"] = { account, 1 };
    releases.Set(configuration);
  }

  Calls::CallId Begin()
  {
    CallerRequest request{ "GET", "/r0/x", { { "Authorization", "Bearer key-of-one" } }, "", {} };
    return calls->Begin(request, [this](const CallerAnswer& aAnswer) { answer = aAnswer; });
  }

  void Reply(CallOutcome aOutcome, bool aHasReachedUpstream)
  {
    CallReply reply;
    reply.outcome = aOutcome;
    reply.hasReachedUpstream = aHasReachedUpstream;
    reply.status = 200;
    carrier->sent.back()(reply);
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context;
  SilentCarrier* carrier = nullptr;
  FakeAccountCaps* caps = nullptr;
  CallsService* calls = nullptr;
  std::optional<CallerAnswer> answer;
};

const std::vector<std::string> kOne = { "one" };

} // namespace

Test(call_tokens, without_one_a_call_is_refused_as_not_run)
{
  Fixture fixture;
  fixture.caps->hasTokens = false;
  fixture.Begin();
  cr_assert(fixture.answer.has_value());
  cr_expect(fixture.answer->outcome == CallOutcome::NotRun);
  cr_expect(fixture.answer->error == ErrorKind::OverCap);
  cr_expect(TraitsOf(ErrorKind::OverCap).httpStatus == 429);
  cr_expect(fixture.answer->retryAfter.value_or(Duration::zero()) >= milliseconds(100));
  cr_expect(fixture.carrier->sent.empty());
  cr_expect(fixture.caps->returned.empty());
}

Test(call_tokens, are_used_by_calls_that_reach_an_upstream)
{
  for (CallOutcome outcome : { CallOutcome::Ran, CallOutcome::NotRun, CallOutcome::Unknown }) {
    Fixture fixture;
    Calls::CallId id = fixture.Begin();
    fixture.Reply(outcome, true);
    fixture.calls->Cancel(id);
    cr_expect(fixture.caps->taken == kOne, "a retry takes no token of its own");
    cr_expect(fixture.caps->returned.empty());
  }
}

Test(call_tokens, are_returned_by_calls_that_reach_none)
{
  Fixture fixture;
  fixture.Begin();
  fixture.Reply(CallOutcome::NotRun, false);
  cr_expect(fixture.answer.has_value());
  cr_expect(fixture.caps->returned == kOne);
}

Test(call_tokens, are_not_returned_while_an_attempt_may_run)
{
  Fixture fixture;
  fixture.calls->Cancel(fixture.Begin());
  cr_expect(fixture.caps->returned.empty());
}

Test(call_tokens, are_returned_if_the_call_was_cancelled_meanwhile)
{
  Fixture fixture;
  fixture.caps->isSilent = true;
  fixture.calls->Cancel(fixture.Begin());
  fixture.caps->waiting.front()(true, Duration::zero());
  cr_expect(fixture.caps->returned == kOne);
  cr_expect(fixture.carrier->sent.empty());
}
