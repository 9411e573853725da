/// Guards against a node that sends calls to an upstream of an unproven version because it has just
/// started, and against one that keeps an ordinary new version closed. Load: single calls.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/AdmissionService.h"
#include "dandeliond/RolloutsService.h"
#include "dandeliond/UpstreamStateServices.h"
#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

class MockStore
  : public Service
  , public trompeloeil::mock_interface<Store>
{
public:
  IMPLEMENT_MOCK2(Read);
  IMPLEMENT_MOCK2(Create);
  IMPLEMENT_MOCK2(Swap);
  IMPLEMENT_MOCK4(Put);
  IMPLEMENT_MOCK3(DeleteRange);
  IMPLEMENT_MOCK4(Watch);
  IMPLEMENT_MOCK1(CancelWatch);
  IMPLEMENT_CONST_MOCK0(CallCount);
};

class FakeDatagrams
  : public Service
  , public Datagrams
{
public:
  void Send(const Endpoint&, const Datagram& aDatagram) override { sent.push_back(aDatagram); }
  void AddHandler(Handler aHandler) override { deliver = std::move(aHandler); }
  uint64_t BytesSent() const override { return 0; }

  Handler deliver;
  std::vector<Datagram> sent;
};

/// The place of the release log, which reports no changes.
class FakeOperatorKeys
  : public Service
  , public OperatorKeys
{
public:
  void OnOperatorEvents(std::function<void(const WatchEvents&)>) override {}
  void OnOperatorWatch(std::function<void()>) override {}
};

constexpr int64_t kOrderRevision = 12;

Member MakeOther()
{
  Member other = MakeMember("node-2", "stock", 2);
  other.slots = 4;
  other.upstreamVersion = "1.0";
  other.zone = "east-1";
  return other;
}

NodeSettings MakeSettings()
{
  NodeSettings settings;
  settings.id = "node-1";
  settings.service = "stock";
  settings.region = "west";
  settings.environment = EnvironmentName::Platform;
  settings.store.region = "east";
  settings.reports = LoopbackOf(1);
  settings.rollouts = RolloutSettings();
  return settings;
}

Member MakeSelf()
{
  Member self = MakeMember("node-1", "stock", 1);
  self.region = "west";
  self.zone = "west-1";
  self.slots = 0;
  return self;
}

Configuration MakeConfiguration()
{
  Configuration configuration;
  configuration.services["stock"].spec.name = "stock";
  return configuration;
}

/// A node of a region without the store whose upstream reports version 2.0, beside one of 1.0.
struct StartedNode
{
  explicit StartedNode(std::vector<KeyValue> aOrders)
    : orders(std::move(aOrders))
  {
    membership.table.Merge(MakeOther());
    releases.Set(MakeConfiguration());
    upstream.Start().IgnoreError();
    rollouts.Start().IgnoreError();
    admission.Start().IgnoreError();
    Report();
  }

  void Report()
  {
    std::string body =
      R"({"service":"stock","state":"ready","capacity":4,"sequence":1,"version":"2.0"})";
    HttpRequest request{ "PUT", std::string(platform::kReportPrefix) + "u-1", {}, body };
    client.Send(*settings.reports, request, seconds(2), [this](const HttpResult& aResult) {
      isReported = aResult.outcome == HttpOutcome::Answered && aResult.response.status == 200;
    });
    cr_assert(RunUntil(loop, [&] { return isReported; }));
  }

  /// Serves a call; whether it was sent to the upstream.
  bool Serve()
  {
    OpenCall call;
    call.id = ++lastCall;
    call.service = "stock";
    call.policy = "safe";
    call.deadlineMs = 5000;
    size_t sentBefore = sentCalls;
    admission.Serve(call, [this](const CallReply& aReply) { lastReply = aReply; });
    return sentCalls > sentBefore;
  }

  void Permit(RolloutStage aStage, bool aIsOpen, int64_t aMaxCalls)
  {
    RolloutPermit permit{ "stock", "2.0", kOrderRevision, aStage, aIsOpen, aMaxCalls, 0 };
    datagrams.deliver(Endpoint{ "10.0.0.1", 2 }, permit);
  }

  std::vector<KeyValue> orders;
  Loop loop;
  Registry registry;
  NodeSettings settings = MakeSettings();
  NodeContext context{ loop, registry, settings };
  HttpClient client{ loop };
  bool isReported = false;
  uint64_t lastCall = 0;
  size_t sentCalls = 0;
  size_t reads = 0;
  CallReply lastReply;
  MetricsService& metrics = AddService<MetricsService>(registry, ServiceName::Metrics);
  MockStore& store = AddService<MockStore>(registry, ServiceName::Store);
  MockLinks& links = AddService<MockLinks>(registry, ServiceName::Links);
  FakeDatagrams& datagrams = AddService<FakeDatagrams>(registry, ServiceName::Datagrams);
  MockUpstream& calls = AddService<MockUpstream>(registry, ServiceName::Upstream);
  FakeReleases& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
  FakeOperatorKeys& keys = AddService<FakeOperatorKeys>(registry, ServiceName::ReleaseLog);
  FakeMembership& membership =
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeSelf());
  std::unique_ptr<trompeloeil::expectation> handlers = NAMED_ALLOW_CALL(links, AddHandler(_));
  std::unique_ptr<trompeloeil::expectation> sends =
    NAMED_ALLOW_CALL(calls, Send(_, _)).SIDE_EFFECT(++sentCalls).RETURN(1);
  std::unique_ptr<trompeloeil::expectation> storeReads =
    NAMED_ALLOW_CALL(store, Read(_, _))
      .SIDE_EFFECT(++reads)
      .SIDE_EFFECT(_2(
        ReadResult{ _1.key == platform::RolloutOrderKey("stock") ? orders : std::vector<KeyValue>(),
                    20 }));
  ReportedUpstreamService& upstream = AddService<ReportedUpstreamService>(
    registry,
    ServiceName::UpstreamState,
    context,
    ReportProtocol{ &platform::ReadReport, &platform::AcknowledgeReport });
  RolloutsService rollouts{ context,
                            1,
                            RolloutProtocol{ platform::kRolloutOrderPrefix,
                                             &platform::RolloutOrderKey,
                                             &platform::RolloutRecordKey,
                                             &platform::ReadRolloutOrder,
                                             &platform::MakeRolloutStatus } };
  AdmissionService admission{ context };
};

std::vector<KeyValue> OrderOf(const std::string& aVersion)
{
  std::string value =
    fmt::format(R"({{"service":"stock","target-version":"{}","duration":12.5}})", aVersion);
  return { KeyValue{ platform::RolloutOrderKey("stock"), value, kOrderRevision } };
}

} // namespace

Test(unproven_version, gets_only_the_calls_that_a_judge_permits)
{
  StartedNode node(OrderOf("2.0"));
  cr_assert_eq(node.upstream.Slots(), 0);
  cr_assert_not(node.Serve());
  cr_assert(node.lastReply.outcome == CallOutcome::NotRun);
  RunFor(node.loop, milliseconds(500));
  cr_assert_not(node.Serve());

  node.Permit(RolloutStage::Canary, true, 2);
  cr_assert_eq(node.upstream.Slots(), 4);
  cr_assert(node.Serve());
  cr_assert(node.Serve());
  cr_assert_eq(node.upstream.Slots(), 0);
  cr_assert_not(node.Serve());
  cr_assert(node.lastReply.outcome == CallOutcome::NotRun);

  node.Permit(RolloutStage::RolledBack, false, 0);
  node.Permit(RolloutStage::Canary, true, 90);
  cr_assert_not(node.Serve());
}

/// Guards against a version that stays open at a node that no judge reaches any more.
Test(unproven_version, is_closed_when_its_permit_is_not_renewed)
{
  StartedNode node(OrderOf("2.0"));
  node.Permit(RolloutStage::Opening, true, -1);
  cr_assert(node.Serve());
  RunFor(node.loop, kPermitLifetime + milliseconds(300));
  cr_assert_not(node.Serve());
  cr_assert_eq(node.upstream.Slots(), 0);
}

/// Guards against ordinary replacements of upstreams that wait: without an order, one read opens a
/// version that no other upstream has.
Test(unproven_version, opens_after_one_read_without_an_order)
{
  StartedNode node({});
  cr_assert(RunUntil(node.loop, [&] { return node.upstream.Slots() == 4; }));
  cr_assert_leq(node.reads, 2);
  size_t reads = node.reads;
  cr_assert(node.Serve());
  RunFor(node.loop, milliseconds(600));
  cr_assert_eq(node.reads, reads);
  cr_assert(node.Serve());
}

/// Guards against a version that an order for another one closes.
Test(unproven_version, opens_where_the_order_names_another_version)
{
  StartedNode node(OrderOf("3.0"));
  cr_assert(RunUntil(node.loop, [&] { return node.upstream.Slots() == 4; }));
}
