/// Guards against members that no push reaches, and against notes that cross the paid link between
/// regions more than once. Also checks which version a joining node requires, and that only
/// reported versions count as in force.
#include "support/Check.h"

#include "spread/Spread.h"

#include <set>

using namespace dandelion;

namespace {

MemberTable MakeTable(int aZonesPerRegion, int aMembersPerZone)
{
  MemberTable table;
  for (const char* region : { "east", "west" }) {
    for (int zone = 0; zone < aZonesPerRegion; ++zone) {
      for (int index = 0; index < aMembersPerZone; ++index) {
        Member member;
        member.region = region;
        member.zone = fmt::format("{}-{}", region, zone);
        member.id = fmt::format("{}-{}", member.zone, index);
        member.incarnation = 1;
        table.Merge(member);
      }
    }
  }
  return table;
}

/// Follows pushes from the members that watch the store. Returns the members reached and the number
/// of pushes between regions.
std::pair<std::set<std::string>, int> FollowPushes(const MemberTable& aTable)
{
  std::set<std::string> reached;
  std::vector<const Member*> next;
  for (const auto& [id, member] : aTable.All()) {
    if (WatchesStore(aTable, member, "east")) {
      reached.insert(id);
      next.push_back(&member);
    }
  }
  int crossings = 0;
  while (!next.empty()) {
    const Member* member = next.back();
    next.pop_back();
    for (const Member* target : PushTargets(aTable, *member, "east")) {
      crossings += target->region == member->region ? 0 : 1;
      if (reached.insert(target->id).second) {
        next.push_back(target);
      }
    }
  }
  return { reached, crossings };
}

} // namespace

Test(overlay, reaches_every_member_with_one_push_across_regions)
{
  for (int zones : { 1, 2, 4 }) {
    for (int members : { 1, 2, 9, 143 }) {
      MemberTable table = MakeTable(zones, members);
      auto [reached, crossings] = FollowPushes(table);
      cr_assert_eq(reached.size(), table.All().size());
      cr_assert_eq(crossings, 1);
    }
  }
}

Test(overlay, keeps_its_relays_when_other_members_leave)
{
  MemberTable table = MakeTable(1, 20);
  std::string relay = RelaysOfZone(table, "east-0")[0]->id;
  std::string deputy = RelaysOfZone(table, "east-0")[1]->id;
  for (int index = 0; index < 20; ++index) {
    std::string id = fmt::format("east-0-{}", index);
    if (id != relay && id != deputy) {
      Member gone = *table.Find(id);
      gone.state = MemberState::Gone;
      table.Merge(gone);
    }
  }
  cr_assert_eq(RelaysOfZone(table, "east-0")[0]->id, relay);
  // When the relay is gone, its deputy replaces it.
  Member gone = *table.Find(relay);
  gone.state = MemberState::Gone;
  table.Merge(gone);
  cr_assert_eq(RelaysOfZone(table, "east-0")[0]->id, deputy);
}

Test(joining, requires_the_highest_version_known_to_the_store_and_peers)
{
  TimePoint start;
  auto answer = [](const char* aSender, Version aVersion, Version aSlot) {
    JoinAnswer joinAnswer;
    joinAnswer.sender = aSender;
    joinAnswer.isReady = true;
    joinAnswer.version = aVersion;
    joinAnswer.slotVersion = aSlot;
    return joinAnswer;
  };
  Joining joining(start);
  joining.OnPeersKnown(2);
  joining.OnStoreHead(4);
  cr_assert(!joining.RequiredVersion(start).has_value());
  joining.OnAnswer(answer("a", 5, 0));
  joining.OnAnswer(answer("b", 3, 7));
  cr_assert_eq(joining.RequiredVersion(start).value(), 7);

  Joining withoutStore(start);
  withoutStore.OnPeersKnown(3);
  cr_assert(!withoutStore.RequiredVersion(start + seconds(60)).has_value());
  // A repeated answer of one peer counts once.
  withoutStore.OnAnswer(answer("a", 5, 0));
  withoutStore.OnAnswer(answer("a", 5, 0));
  cr_assert(!withoutStore.RequiredVersion(start + seconds(60)).has_value());
}

Test(rollout_tracker, counts_only_reported_versions)
{
  MemberTable table = MakeTable(1, 2);
  VersionProgress tracker;
  TimePoint now;
  cr_assert(!IsInForceEverywhere(tracker.Progress(3, table, now)));
  for (const char* region : { "east", "west" }) {
    ZoneReport report;
    report.zone = fmt::format("{}-0", region);
    report.region = region;
    report.reporter = "r";
    report.members = 2;
    report.lowest = 3;
    report.newest = 3;
    report.atNewest = 2;
    tracker.OnReport(report, now);
  }
  cr_assert(IsInForceEverywhere(tracker.Progress(3, table, now)));
  cr_assert(!IsInForceEverywhere(tracker.Progress(4, table, now)));
  // A report that was made before a member joined does not count that member.
  Member joined = *table.Find("east-0-0");
  joined.id = "east-0-late";
  table.Merge(joined);
  cr_assert(!IsInForceEverywhere(tracker.Progress(3, table, now)));
}
