/// Guards against a store that comes back from an older copy and gives out its revisions again: a
/// node that compares them alone misses what is written under those that it has seen, and takes
/// another state for the one that it has read.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"
#include "support/PlatformStore.h"

#include "dandeliond/ReleasesService.h"
#include "dandeliond/StoredConfigurationService.h"
#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

std::string ConfigurationText(Version aVersion)
{
  constexpr char kText[] = R"({{ "version": {}, "routes": [], "services": [], "limits": {{}} }})";
  return fmt::format(kText, aVersion);
}

/// A node that follows the configuration in a store.
struct StoreFollower
{
  StoreFollower()
  {
    store.NameEra("0");
    Write(1);
    cr_assert(releaseLog.Start().ok());
    releaseLog.Follow(0);
    cr_assert(RunUntil(loop, [&] { return releases.Current()->version == 1; }));
  }
  ~StoreFollower() { releaseLog.Stop(); }

  void Write(Version aVersion)
  {
    store.Put(platform::kConfigurationKey, ConfigurationText(aVersion));
  }
  /// Raises the revision.
  void WriteOther(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      store.Put("other", std::to_string(i));
    }
  }
  KeyValue Read(const std::string& aKey)
  {
    ReadRequest request;
    request.key = aKey;
    std::optional<KeyValue> item;
    client.Read(request, [&](const absl::StatusOr<ReadResult>& aResult) {
      cr_assert(aResult.ok());
      item = aResult->items.at(0);
    });
    cr_assert(RunUntil(loop, [&] { return item.has_value(); }));
    return *item;
  }
  /// Returns whether the key was written; nothing if that is unknown.
  std::optional<bool> Swap(const std::string& aKey, int64_t aExpectedRevision)
  {
    SwapRequest request;
    request.key = aKey;
    request.expectedRevision = aExpectedRevision;
    request.puts.push_back(KeyValue{ aKey, "swapped" });
    bool isAnswered = false;
    std::optional<bool> isWritten;
    client.Swap(request, [&](const absl::StatusOr<SwapResult>& aResult) {
      isAnswered = true;
      isWritten = aResult.ok() ? std::optional(aResult->isWritten) : std::nullopt;
    });
    cr_assert(RunUntil(loop, [&] { return isAnswered; }));
    return isWritten;
  }

  Loop loop;
  PlatformStore store{ loop, LoopbackOf(1) };
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  platform::KeyValueStore& client = AddService<platform::KeyValueStore>(registry,
                                                                        ServiceName::Store,
                                                                        loop,
                                                                        LoopbackOf(1),
                                                                        seconds(1));
  ReleasesService& releases = AddService<ReleasesService>(registry, ServiceName::Releases);
  FakeMembership& membership =
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("node-1", "s", 1));
  StoredConfigurationService releaseLog{ context,
                                         platform::kConfigurationKey,
                                         &platform::ReadConfiguration };
};

} // namespace

Test(returned_store, is_followed_though_it_gives_out_revisions_again)
{
  StoreFollower node;
  node.store.Copy();
  node.WriteOther(5);
  node.Write(2);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 2; }));
  int64_t seen = node.store.Revision();
  node.store.Return();
  // Written under a revision that the node has seen, and followed by more than it has seen.
  node.Write(3);
  cr_assert_leq(node.store.Revision(), seen);
  node.WriteOther(10);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 3; }));
  node.Write(4);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 4; }));
}

/// What callers have seen is not taken back, and what is written again is no change.
Test(returned_store, does_not_lower_the_version)
{
  StoreFollower node;
  node.store.Copy();
  node.Write(2);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 2; }));
  node.store.Return();
  RunFor(node.loop, seconds(2));
  cr_assert_eq(node.releases.Current()->version, 2);
  node.Write(2);
  node.Write(5);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 5; }));
}

Test(returned_store, is_not_written_on_the_condition_of_an_earlier_era)
{
  StoreFollower node;
  node.store.Copy();
  node.store.Put("record", "mine");
  int64_t expected = node.Read("record").revision;
  node.store.Return();
  node.store.Put("record", "somebody else's");
  // An answer tells of the new era.
  node.Read("record");
  cr_assert(node.Swap("record", expected) == false);
  KeyValue record = node.Read("record");
  cr_assert_eq(record.value, "somebody else's");
  cr_assert_gt(record.revision, expected);
  cr_assert(node.Swap("record", record.revision) == true);
}

/// The store compares the number alone, so the write may have replaced another state.
Test(returned_store, does_not_confirm_a_write_on_a_condition_of_before)
{
  StoreFollower node;
  node.store.Copy();
  node.store.Put("record", "mine");
  int64_t expected = node.Read("record").revision;
  node.store.Return();
  node.store.Put("record", "somebody else's");
  cr_assert_not(node.Swap("record", expected).has_value());
}

Test(store_eras, that_are_odd_change_nothing)
{
  StoreFollower node;
  Version version = 1;
  for (const char* era : { "", "x", "-1", "1.5", "99999999999999999999", "9223372036854775807" }) {
    node.store.NameEra(era);
    node.Write(++version);
    cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == version; }),
              "era \"%s\"",
              era);
  }
}

/// An answer that was on its way when the store returned says nothing of the store as it is.
Test(store_eras, that_fall_are_of_late_answers)
{
  StoreFollower node;
  node.store.Return();
  node.Write(2);
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 2; }));
  node.store.NameEra("0");
  node.Write(3);
  RunFor(node.loop, seconds(2));
  cr_assert_eq(node.releases.Current()->version, 2);
  node.store.NameEra("1");
  cr_assert(RunUntil(node.loop, [&] { return node.releases.Current()->version == 3; }));
}
