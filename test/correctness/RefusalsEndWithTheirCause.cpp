/// Guards against calls that are refused without asking any upstream for as long as they keep
/// coming, although upstreams have room again.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/CallsService.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr Duration kTarget = milliseconds(120);
constexpr Duration kSlowService = milliseconds(500);

/// Carries attempts to an upstream that refuses them while it has no room. Its service time is
/// longer than the target of the calls.
class FakeCarrier
  : public Service
  , public Carrier
{
public:
  void Send(const Member& /* aMember */, const OpenCall& aCall, OnReply aReply) override
  {
    ++attempts;
    CallReply reply;
    reply.id = aCall.id;
    reply.outcome = hasRoom ? CallOutcome::Ran : CallOutcome::NotRun;
    if (!hasRoom) {
      reply.error = ErrorKind::Overloaded;
    }
    reply.status = hasRoom ? 200 : 0;
    reply.slots = 1;
    reply.serviceTimeUs = Duration(kSlowService).count();
    aReply(reply);
  }
  void Cancel(uint64_t /* aAttempt */) override {}

  bool hasRoom = false;
  int attempts = 0;
};

} // namespace

Test(unasked_refusals, end_though_calls_keep_coming)
{
  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  settings.id = "self";
  settings.region = "east";
  settings.hedge = HedgeName::None;
  settings.choice = ChoiceName::EarliestFinish;
  AddService<MetricsService>(registry, ServiceName::Metrics);
  auto& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
  Configuration configuration = MakeFirstConfiguration();
  configuration.policies["policy"].spec.targetMs = kTarget / milliseconds(1);
  releases.Set(configuration);
  auto& membership =
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s9", 1));
  membership.table.Merge(MakeMember("a", "s0", 2));
  AddService<FakeSpreading>(registry, ServiceName::Spreading);
  auto& carrier = AddService<FakeCarrier>(registry, ServiceName::Carrier);
  AddService<FakeAccountCaps>(registry, ServiceName::AccountCaps);
  auto& calls = AddService<CallsService>(registry, ServiceName::Calls, context, 3u);
  cr_assert(registry.StartAll().ok());
  int ran = 0;
  auto call = [&] {
    calls.Begin(CallerRequest{ "GET", "/r0/x", {}, "", {} }, [&](const CallerAnswer& aAnswer) {
      ran += aAnswer.outcome == CallOutcome::Ran ? 1 : 0;
    });
  };
  int attempts = -1;
  while (attempts != carrier.attempts) {
    attempts = carrier.attempts;
    call();
  }
  // Calls are refused unasked now.
  carrier.hasRoom = true;
  cr_assert(RunUntil(loop, [&] {
    call();
    return ran > 0;
  }));
}
