#include "spread/Overlay.h"

#include <algorithm>

namespace dandelion {

namespace {

std::vector<const Member*> FirstRelays(std::vector<const Member*> aRanked)
{
  if (aRanked.size() > kRelays) {
    aRanked.resize(kRelays);
  }
  return aRanked;
}

bool IsFirst(const std::vector<const Member*>& aRanked, const Member& aSelf)
{
  return !aRanked.empty() && aRanked.front()->id == aSelf.id;
}

void AddChildrenInZone(std::vector<const Member*>& aTargets,
                       const MemberTable& aTable,
                       const Member& aSelf)
{
  // The ranking forms an F-ary heap, where F is `kPushFanout`: member i pushes to members F*i+1 to
  // F*i+F.
  std::vector<const Member*> ranked = aTable.RankedInZone(aSelf.zone);
  auto isSelf = [&](const Member* aMember) { return aMember->id == aSelf.id; };
  auto self = std::find_if(ranked.begin(), ranked.end(), isSelf);
  if (self == ranked.end()) {
    return;
  }
  size_t index = static_cast<size_t>(self - ranked.begin());
  size_t first = std::min(kPushFanout * index + 1, ranked.size());
  size_t last = std::min(first + kPushFanout, ranked.size());
  aTargets.insert(aTargets.end(),
                  ranked.begin() + static_cast<ptrdiff_t>(first),
                  ranked.begin() + static_cast<ptrdiff_t>(last));
}

void AddZoneRelays(std::vector<const Member*>& aTargets,
                   const MemberTable& aTable,
                   const Member& aSelf)
{
  for (const std::string& zone : aTable.Zones()) {
    std::vector<const Member*> ranked = aTable.RankedInZone(zone);
    bool isInRegion = !ranked.empty() && ranked.front()->region == aSelf.region;
    // The region's relay is not necessarily the root of its own zone's tree, so its own zone is
    // included.
    if (isInRegion && ranked.front()->id != aSelf.id &&
        !ContainsMember(aTargets, ranked.front()->id)) {
      aTargets.push_back(ranked.front());
    }
  }
}

void AddRegionRelays(std::vector<const Member*>& aTargets,
                     const MemberTable& aTable,
                     const Member& aSelf)
{
  for (const std::string& region : aTable.Regions()) {
    std::vector<const Member*> ranked = aTable.RankedInRegion(region);
    if (region != aSelf.region && !ranked.empty()) {
      aTargets.push_back(ranked.front());
    }
  }
}

} // namespace

std::string StoreRegion(const MemberTable& aTable, const std::string& aKnown)
{
  if (!aKnown.empty()) {
    return aKnown;
  }
  const Member* fastest = nullptr;
  for (const auto& [id, member] : aTable.All()) {
    bool isFaster = fastest == nullptr || member.storeLatencyMs < fastest->storeLatencyMs;
    if (IsActive(member) && member.storeLatencyMs > 0 && isFaster) {
      fastest = &member;
    }
  }
  return fastest == nullptr ? "" : fastest->region;
}

std::vector<const Member*> RelaysOfZone(const MemberTable& aTable, const std::string& aZone)
{
  return FirstRelays(aTable.RankedInZone(aZone));
}

std::vector<const Member*> RelaysOfRegion(const MemberTable& aTable, const std::string& aRegion)
{
  return FirstRelays(aTable.RankedInRegion(aRegion));
}

std::vector<const Member*> WatchersOfZone(const MemberTable& aTable, const std::string& aZone)
{
  std::vector<const Member*> candidates = aTable.RankedInZone(aZone);
  candidates.resize(std::min(candidates.size(), kWatchCandidates));
  std::vector<const Member*> withStoreAccess;
  for (const Member* member : candidates) {
    if (member->storeLatencyMs > 0) {
      withStoreAccess.push_back(member);
    }
  }
  return FirstRelays(withStoreAccess.empty() ? candidates : withStoreAccess);
}

bool ContainsMember(const std::vector<const Member*>& aMembers, const std::string& aId)
{
  auto hasId = [&](const Member* aMember) { return aMember->id == aId; };
  return std::any_of(aMembers.begin(), aMembers.end(), hasId);
}

std::vector<const Member*> PushTargets(const MemberTable& aTable,
                                       const Member& aSelf,
                                       const std::string& aStoreRegion)
{
  std::vector<const Member*> targets;
  AddChildrenInZone(targets, aTable, aSelf);
  if (aStoreRegion.empty()) {
    // The relays of each zone watch the store themselves.
    return targets;
  }
  bool isRegionRelay = IsFirst(aTable.RankedInRegion(aSelf.region), aSelf);
  if (isRegionRelay && aSelf.region == aStoreRegion) {
    AddRegionRelays(targets, aTable, aSelf);
  }
  if (isRegionRelay && aSelf.region != aStoreRegion) {
    AddZoneRelays(targets, aTable, aSelf);
  }
  return targets;
}

std::vector<const Member*> EntryForwardTargets(const MemberTable& aTable, const Member& aSelf)
{
  std::vector<const Member*> targets = RelaysOfZone(aTable, aSelf.zone);
  std::vector<const Member*> inRegion = aTable.RankedInRegion(aSelf.region);
  if (!inRegion.empty() && !ContainsMember(targets, inRegion.front()->id)) {
    targets.push_back(inRegion.front());
  }
  auto isSelf = [&](const Member* aMember) { return aMember->id == aSelf.id; };
  targets.erase(std::remove_if(targets.begin(), targets.end(), isSelf), targets.end());
  return targets;
}

bool WatchesStore(const MemberTable& aTable, const Member& aSelf, const std::string& aStoreRegion)
{
  bool mayWatch = aStoreRegion.empty() || aSelf.region == aStoreRegion;
  return mayWatch && ContainsMember(WatchersOfZone(aTable, aSelf.zone), aSelf.id);
}

} // namespace dandelion
