/// Selects the members to which each member sends a new version. Pure functions of the member
/// table.
#ifndef DANDELION_SPREAD_OVERLAY_H
#define DANDELION_SPREAD_OVERLAY_H

#include "membership/Membership.h"

#include <string>
#include <vector>

namespace dandelion {

/// Number of members of its zone to which a member pushes.
constexpr size_t kPushFanout = 8;
/// Number of relays of a zone or region: its highest-ranked members, the relay and its deputy.
constexpr size_t kRelays = 2;
/// Number of highest-ranked members of a zone that may watch the store.
constexpr size_t kWatchCandidates = 4;

/// Returns `aKnown` if it is set, else the region of the member with the lowest store latency;
/// empty if no member has received an answer from the store.
std::string StoreRegion(const MemberTable& aTable, const std::string& aKnown);

/// Returns the relay and the deputy of a zone, or fewer if it has fewer members.
std::vector<const Member*> RelaysOfZone(const MemberTable& aTable, const std::string& aZone);
/// Returns the relay and the deputy of a region, or fewer if it has fewer members.
std::vector<const Member*> RelaysOfRegion(const MemberTable& aTable, const std::string& aRegion);

/// Returns the members of a zone that watch the store: its relays, or the next in rank if the
/// relays get no answers from the store. Only `kWatchCandidates` members are considered, so that
/// not all members send requests to a store that is down.
std::vector<const Member*> WatchersOfZone(const MemberTable& aTable, const std::string& aZone);

bool ContainsMember(const std::vector<const Member*>& aMembers, const std::string& aId);

/// Returns the members to which `aSelf` pushes a version that it has just put in force: its
/// children in the zone's tree. If the store's region is known, its relay also pushes to the relay
/// of each other region, and the relay of each other region to the relay of each of its zones.
std::vector<const Member*> PushTargets(const MemberTable& aTable,
                                       const Member& aSelf,
                                       const std::string& aStoreRegion);

/// Returns the members to which the node that wrote an entry sends it first: the relay and deputy
/// of its zone, and the relay of its region.
std::vector<const Member*> EntryForwardTargets(const MemberTable& aTable, const Member& aSelf);

/// Whether `aSelf` watches the store: it is one of `WatchersOfZone`, and its zone is in the store's
/// region or that region is unknown.
bool WatchesStore(const MemberTable& aTable, const Member& aSelf, const std::string& aStoreRegion);

} // namespace dandelion

#endif
