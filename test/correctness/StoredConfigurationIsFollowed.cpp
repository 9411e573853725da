/// Guards against a change that a watch reports and the node does not apply.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/ReleasesService.h"
#include "dandeliond/StoredConfigurationService.h"
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

KeyValue ConfigurationItem(int aVersion)
{
  constexpr char kText[] = R"({{ "version": {}, "routes": [], "services": [], "limits": {{}} }})";
  return KeyValue{ platform::kConfigurationKey, fmt::format(kText, aVersion) };
}

/// A node that follows the store, which answers reads with version 1.
struct Follower
{
  explicit Follower(int64_t aAfterRevision = 0, const std::string& aWatchPrefix = "")
    : releaseLog(context, platform::kConfigurationKey, &platform::ReadConfiguration, aWatchPrefix)
  {
    releaseLog.Start().IgnoreError();
    releaseLog.OnConfirmed([this](TimePoint, int64_t) { ++confirmations; });
    releaseLog.Follow(aAfterRevision);
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  MockStore& store = AddService<MockStore>(registry, ServiceName::Store);
  ReleasesService& releases = AddService<ReleasesService>(registry, ServiceName::Releases);
  FakeMembership& membership =
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("node-1", "s", 1));
  Store::OnEvents onEvents;
  int confirmations = 0;
  int readCount = 0;
  int64_t watchedAfter = 0;
  std::string watchedPrefix;
  std::unique_ptr<trompeloeil::expectation> reads =
    NAMED_ALLOW_CALL(store, Read(_, _))
      .SIDE_EFFECT(++readCount)
      .SIDE_EFFECT(_2(ReadResult{ { ConfigurationItem(1) }, 1 }));
  std::unique_ptr<trompeloeil::expectation> watches = NAMED_ALLOW_CALL(store, Watch(_, _, _, _))
                                                        .SIDE_EFFECT(watchedPrefix = _1)
                                                        .SIDE_EFFECT(watchedAfter = _2)
                                                        .SIDE_EFFECT(onEvents = _3)
                                                        .RETURN(1);
  StoredConfigurationService releaseLog;
};

} // namespace

/// Guards against a change that is missed because a key with the same beginning was written with
/// it.
Test(stored_configuration, is_found_among_events_of_other_keys)
{
  Follower follower;
  cr_assert_eq(follower.releases.Current()->version, 1);
  KeyValue other{ std::string(platform::kConfigurationKey) + "-draft", "not a configuration" };
  follower.onEvents(WatchEvents{ { ConfigurationItem(2), ConfigurationItem(3), other } });
  cr_assert_eq(follower.releases.Current()->version, 3);
}

/// Guards against a node that vouches for its version after it has rejected a later one.
Test(stored_configuration, is_not_confirmed_after_a_later_one_was_rejected)
{
  Follower follower;
  TimePoint now = follower.loop.Now();
  cr_assert_eq(follower.confirmations, 1);
  follower.onEvents(WatchEvents{ {}, now });
  cr_assert_eq(follower.confirmations, 2);
  follower.onEvents(WatchEvents{ { KeyValue{ platform::kConfigurationKey, "{" } }, now });
  follower.onEvents(WatchEvents{ {}, now });
  cr_assert_eq(follower.confirmations, 2);
}

/// Guards against a region whose nodes all read the whole configuration at once, which fills the
/// way to the store so that its answers come too late.
Test(stored_configuration, is_not_read_by_a_node_that_knows_a_revision)
{
  constexpr int64_t kRevision = 40;
  Follower follower(kRevision);
  cr_assert_eq(follower.readCount, 0);
  cr_assert_eq(follower.watchedAfter, kRevision);
}

/// Guards against deployments without rollouts whose watch changes, and against a second watch,
/// which would double the calls of each watcher.
Test(stored_configuration, is_watched_with_orders_only_where_these_are_asked_for)
{
  Follower plain;
  cr_assert_eq(plain.watchedPrefix, platform::kConfigurationKey);
  Follower follower(0, platform::kOperatorPrefix);
  cr_assert_eq(follower.watchedPrefix, platform::kOperatorPrefix);
  std::vector<std::string> seen;
  follower.releaseLog.OnOperatorEvents([&](const WatchEvents& aEvents) {
    for (const KeyValue& item : aEvents.items) {
      seen.push_back(item.key);
    }
  });
  KeyValue order{ platform::RolloutOrderKey("s"), "{}", 9 };
  follower.onEvents(WatchEvents{ { order, ConfigurationItem(2) } });
  cr_assert_eq(follower.releases.Current()->version, 2);
  cr_assert_eq(seen.size(), 2);
}
