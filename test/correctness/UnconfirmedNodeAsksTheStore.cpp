/// Guards against a node that keeps an older version because the members from which it hears have
/// not heard from the store either.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/FollowingService.h"

using namespace dandelion;
using namespace dandelion::testing;

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
  void Follow(int64_t aAfterRevision) override
  {
    isFollowed = true;
    followedAfter = aAfterRevision;
  }
  void Unfollow() override { isFollowed = false; }
  void OnConfirmed(OnConfirmation aListener) override { confirm = std::move(aListener); }
  void Compact(OnDone) override {}

  bool isFollowed = false;
  int64_t followedAfter = 0;
  OnConfirmation confirm;
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
    following.Start().IgnoreError();
  }

  Loop loop;
  Registry registry;
  NodeSettings settings = PlatformSettings();
  NodeContext context{ loop, registry, settings };
  FakeDatagrams& datagrams = AddService<FakeDatagrams>(registry, ServiceName::Datagrams);
  FakeSpreading& spreading = AddService<FakeSpreading>(registry, ServiceName::Spreading);
  FakeMembership& membership = AddService<FakeMembership>(registry,
                                                          ServiceName::Membership,
                                                          MakeMemberOf("node-1", "west", 1));
  FakeReleases& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
  FakeReleaseLog& log = AddService<FakeReleaseLog>(registry, ServiceName::ReleaseLog);
  FollowingService following{ context };
};

} // namespace

Test(unconfirmed, node_follows_the_store_when_nothing_confirms_its_version)
{
  RemoteNode node;
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  // A member that the store has answered confirms the version, so the node need not ask itself.
  node.datagrams.deliver(Endpoint{ "10.0.0.1", 3 }, VersionConfirmation{ "node-3", 0, 0, 7 });
  cr_assert(RunUntil(node.loop, [&] { return !node.log.isFollowed; }));
  // Later it asks only for what has changed since.
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  cr_assert_eq(node.log.followedAfter, 7);
}

Test(unconfirmed, node_that_the_store_has_answered_tells_its_relays)
{
  RemoteNode node;
  node.log.confirm(node.loop.Now(), 7);
  cr_assert_eq(node.datagrams.sent.size(), 1);
  cr_assert(std::holds_alternative<VersionConfirmation>(node.datagrams.sent.front()));
}

Test(unconfirmed, confirmation_with_an_impossible_age_confirms_nothing)
{
  RemoteNode node;
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  for (int64_t age : { INT64_MIN, int64_t{ -1 }, INT64_MAX }) {
    node.datagrams.deliver(Endpoint{ "10.0.0.1", 3 }, VersionConfirmation{ "node-3", 0, age, 7 });
  }
  RunFor(node.loop, 2 * kFreshnessCheckPeriod);
  cr_assert(node.log.isFollowed);
}

/// Guards against members that hear nothing while versions follow each other faster than
/// confirmations: each confirmation arrives before its version.
Test(unconfirmed, confirmation_is_passed_on_when_its_version_comes_into_force)
{
  RemoteNode node;
  node.datagrams.deliver(Endpoint{ "10.0.0.1", 3 }, VersionConfirmation{ "node-3", 5, 0, 7 });
  cr_assert(node.datagrams.sent.empty());
  Configuration configuration;
  configuration.version = 5;
  node.releases.Set(configuration);
  cr_assert_not(node.datagrams.sent.empty());
}

/// Guards against a node that takes its version for the newest one as of when it has joined,
/// although it asked for it long before and newer ones were accepted meanwhile.
Test(unconfirmed, node_that_was_long_joining_follows_the_store_at_once)
{
  RemoteNode node;
  node.membership.isReady = false;
  RunFor(node.loop, kMaxUnconfirmedTime + kFreshnessCheckPeriod);
  node.membership.isReady = true;
  node.membership.NotifyListeners();
  cr_assert(node.log.isFollowed);
}

/// What the store has answered to a joining node counts, as of when it was asked.
Test(unconfirmed, node_that_has_joined_asks_only_for_what_has_changed_since)
{
  RemoteNode node;
  node.membership.isReady = false;
  node.log.confirm(node.loop.Now(), 9);
  node.membership.isReady = true;
  cr_assert(RunUntil(node.loop, [&] { return node.log.isFollowed; }));
  cr_assert_eq(node.log.followedAfter, 9);
}
