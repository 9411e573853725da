/// Who hands a new version to whom. Pure functions of the member table.
#ifndef DANDELION_SPREAD_OVERLAY_H
#define DANDELION_SPREAD_OVERLAY_H

#include "membership/Membership.h"

#include <string>
#include <vector>

namespace dandelion {

/// Members to which each member of a zone pushes.
constexpr size_t kPushFanout = 8;
/// The best-ranked members of a zone or region that act for it: the relay and its deputy.
constexpr size_t kRelays = 2;
constexpr size_t kWatchCandidates = 4;

/// The region from which the store's answers come soonest; `aKnown` where that is set, empty where
/// no member has had an answer.
std::string StoreRegion(const MemberTable& aTable, const std::string& aKnown);

/// The relay and the deputy of a zone, fewer where it has fewer members.
std::vector<const Member*> RelaysOfZone(const MemberTable& aTable, const std::string& aZone);
/// The relay and the deputy of a region.
std::vector<const Member*> RelaysOfRegion(const MemberTable& aTable, const std::string& aRegion);

/// Members of a zone that watch the store: its relays, or those after them where the store turns
/// the relays away. Few can take their place, so that a store that is down is not asked by all.
std::vector<const Member*> WatchersOfZone(const MemberTable& aTable, const std::string& aZone);

bool Contains(const std::vector<const Member*>& aMembers, const std::string& aId);

/// Members to which `aSelf` pushes a version that it has just put in force:
/// its children in the zone's tree; from the region's relay, the relays of the region's zones where
/// the region does not watch the store; from the store region's relay, the relays of
/// the other regions.
std::vector<const Member*> PushTargets(const MemberTable& aTable,
                                       const Member& aSelf,
                                       const std::string& aStoreRegion);

/// Members to which the node that wrote an entry hands it first: its zone's and region's relays.
std::vector<const Member*> EntryForwardTargets(const MemberTable& aTable, const Member& aSelf);

/// This node watches the store: it is a relay of a zone in the store's region, or of any zone where
/// that region is not known.
bool WatchesStore(const MemberTable& aTable, const Member& aSelf, const std::string& aStoreRegion);

} // namespace dandelion

#endif
