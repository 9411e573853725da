/// Guards against a node that returns to an older version or applies an invalid one in part, when
/// peers send entries and snapshots out of order, repeatedly or corrupted.
#include "support/Check.h"
#include "support/Notes.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Corrupts an entry in one of four ways in which a faulty peer could.
Entry Corrupt(Entry aEntry, int aMethod)
{
  switch (aMethod) {
    case 0:
      aEntry.resultHash[0] = aEntry.resultHash[0] == '0' ? '1' : '0';
      break;
    case 1:
      aEntry.parentHash[0] = aEntry.parentHash[0] == '0' ? '1' : '0';
      break;
    case 2:
      aEntry.note.add.services.push_back(ServiceSpec{ "stranger" });
      break;
    default:
      aEntry.note.add.routes.push_back(RouteSpec{ "lost", "/lost", "nowhere", "policy" });
      break;
  }
  return aEntry;
}

} // namespace

Test(replica, applies_only_valid_entries_in_version_order)
{
  CHECK_PROPERTY("entries in any order, repeated and corrupted", [] {
    std::vector<Entry> log = *ArbitraryLog(40);
    Replica replica;
    int steps = 3 * static_cast<int>(log.size());
    for (int i = 0; i < steps; ++i) {
      ConfigurationPtr before = replica.Current();
      size_t index = *rc::gen::inRange<size_t>(0, log.size());
      bool isCorrupted = *rc::gen::inRange(0, 4) == 0;
      // Half of the attempts use the next entry, so that the replica makes progress.
      if (*rc::gen::inRange(0, 2) == 0) {
        index = std::min<size_t>(before->version, log.size() - 1);
      }
      Entry entry = isCorrupted ? Corrupt(log[index], *rc::gen::inRange(0, 4)) : log[index];
      bool isApplied = replica.ApplyEntry(entry).ok();
      const Configuration& after = *replica.Current();
      RC_ASSERT(after.version == before->version + (isApplied ? 1 : 0));
      RC_ASSERT(isApplied || replica.Current() == before);
      RC_ASSERT(!isApplied || !isCorrupted);
      // A separate condition, because RC_ASSERT evaluates both sides of "||".
      if (after.version > 0) {
        RC_ASSERT(HashOf(after) == log[after.version - 1].resultHash);
      }
      RC_ASSERT(replica.CurrentHash() == HashOf(after));
      RC_ASSERT(HasNoDanglingReferences(after));
    }
  });
}

Test(replica, refuses_older_and_corrupted_snapshots)
{
  CHECK_PROPERTY("snapshots of any version in any order", [] {
    std::vector<Entry> log = *ArbitraryLog(20);
    std::vector<Configuration> versions{ Configuration() };
    for (const Entry& entry : log) {
      versions.push_back(*Apply(versions.back(), entry.note, *entry.note.base));
    }
    Replica replica;
    for (int i = 0; i < 20; ++i) {
      Version before = replica.Current()->version;
      Configuration snapshot = versions[*rc::gen::inRange<size_t>(0, versions.size())];
      std::string hash = HashOf(snapshot);
      bool isCorrupted = *rc::gen::inRange(0, 4) == 0;
      if (isCorrupted) {
        snapshot.services["stranger"] = Versioned<ServiceSpec>{ ServiceSpec{ "stranger" }, 1 };
      }
      bool isApplied = replica.ApplySnapshot(snapshot, hash).ok();
      RC_ASSERT(isApplied == (!isCorrupted && snapshot.version > before));
      RC_ASSERT(replica.Current()->version ==
                std::max(before, isApplied ? snapshot.version : before));
    }
  });
}

Test(replica, returns_the_entries_a_peer_is_missing)
{
  CHECK_PROPERTY("a peer at any version catches up from the recent entries", [] {
    std::vector<Entry> log = *ArbitraryLog(40);
    Replica ahead;
    Replica behind;
    size_t start = *rc::gen::inRange<size_t>(0, log.size());
    for (size_t i = 0; i < log.size(); ++i) {
      RC_ASSERT(ahead.ApplyEntry(log[i]).ok());
      if (i < start) {
        RC_ASSERT(behind.ApplyEntry(log[i]).ok());
      }
    }
    auto missing = ahead.EntriesAfter(behind.Current()->version);
    RC_ASSERT(missing.has_value());
    for (const Entry& entry : *missing) {
      RC_ASSERT(behind.ApplyEntry(entry).ok());
    }
    RC_ASSERT(behind.CurrentHash() == ahead.CurrentHash());
  });
}
