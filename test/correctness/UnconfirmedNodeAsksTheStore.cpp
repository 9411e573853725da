/// Guards against a node that keeps an older version because the members from which it hears have
/// not heard from the store either.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/SpreadingService.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

/// Datagrams that reach nobody; the test delivers those that the node receives.
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

class FakeReleaseLog
  : public Service
  , public ReleaseLog
{
public:
  void Synchronize(OnDone) override {}
  void ReadHead(std::function<void(const absl::StatusOr<Version>&)>) override {}
  void Append(const Entry&, std::function<void(AppendOutcome)>) override {}
  void Repair(OnDone) override {}
  void Follow() override { isFollowed = true; }
  void Unfollow() override { isFollowed = false; }
  void OnConfirmed(std::function<void(TimePoint)> aListener) override
  {
    confirm = std::move(aListener);
  }
  void Compact(OnDone) override {}

  bool isFollowed = false;
  std::function<void(TimePoint)> confirm;
};

Member MakeMemberOf(const std::string& aId, const std::string& aRegion, uint16_t aPort)
{
  Member member = MakeMember(aId, "stock", aPort);
  member.region = aRegion;
  member.zone = aRegion + "-1";
  return member;
}

NodeSettings PlatformSettings()
{
  NodeSettings settings;
  settings.id = "node-1";
  settings.region = "west";
  settings.zone = "west-1";
  settings.environment = EnvironmentName::Platform;
  settings.store.region = "east";
  return settings;
}

/// A node of a region without the store. It knows members of both regions, all of them alive.
struct RemoteNode
{
  RemoteNode()
  {
    membership.table.Merge(MakeMemberOf("node-2", "west", 2));
    membership.table.Merge(MakeMemberOf("node-3", "east", 3));
    spreading.Start().IgnoreError();
  }

  Loop loop;
  Registry registry;
  NodeSettings settings = PlatformSettings();
  NodeContext context{ loop, registry, settings };
  FakeDatagrams& datagrams = AddService<FakeDatagrams>(registry, ServiceName::Datagrams);
  MockLinks& links = AddService<MockLinks>(registry, ServiceName::Links);
  FakeMembership& membership = AddService<FakeMembership>(registry,
                                                          ServiceName::Membership,
                                                          MakeMemberOf("node-1", "west", 1));
  FakeReleases& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
  FakeReleaseLog& log = AddService<FakeReleaseLog>(registry, ServiceName::ReleaseLog);
  std::unique_ptr<trompeloeil::expectation> handlers = NAMED_ALLOW_CALL(links, AddHandler(_));
  std::unique_ptr<trompeloeil::expectation> versions = NAMED_ALLOW_CALL(links, OnVersionSeen(_));
  SpreadingService spreading{ context, 1 };
};

} // namespace

Test(unconfirmed, node_follows_the_store_when_nothing_confirms_its_version)
{
  RemoteNode node;
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  // A member that the store has answered confirms the version, so the node need not ask itself.
  node.datagrams.deliver(Endpoint{ "10.0.0.1", 3 }, VersionConfirmation{ "node-3", 0, 0 });
  cr_assert(RunUntil(node.loop, [&] { return !node.log.isFollowed; }));
}

Test(unconfirmed, node_that_the_store_has_answered_tells_its_relays)
{
  RemoteNode node;
  node.log.confirm(node.loop.Now());
  cr_assert_eq(node.datagrams.sent.size(), 1);
  cr_assert(std::holds_alternative<VersionConfirmation>(node.datagrams.sent.front()));
}

Test(unconfirmed, confirmation_with_an_impossible_age_confirms_nothing)
{
  RemoteNode node;
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  for (int64_t age : { INT64_MIN, int64_t{ -1 }, INT64_MAX }) {
    node.datagrams.deliver(Endpoint{ "10.0.0.1", 3 }, VersionConfirmation{ "node-3", 0, age });
  }
  RunFor(node.loop, 2 * kFreshnessCheckPeriod);
  cr_assert(node.log.isFollowed);
}
