#include "membership/MemberTable.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace dandelion {

namespace {

bool Supersedes(const Member& aNew, const Member& aOld)
{
  if (aNew.incarnation != aOld.incarnation) {
    return aNew.incarnation > aOld.incarnation;
  }
  return aNew.state > aOld.state;
}

uint64_t RecordHash(const Member& aMember)
{
  uint64_t seed = aMember.incarnation * 4 + static_cast<uint64_t>(aMember.state);
  return HashBytes(aMember.id, seed);
}

} // namespace

bool MemberTable::Merge(const Member& aRecord)
{
  auto [entry, isNew] = members_.emplace(aRecord.id, aRecord);
  Member& member = entry->second;
  if (isNew) {
    ToggleDigest(member);
    return true;
  }
  uint64_t version = std::max(member.version, aRecord.version);
  bool supersedes = Supersedes(aRecord, member);
  if (supersedes) {
    ToggleDigest(member);
    member = aRecord;
    ToggleDigest(member);
  }
  // The version is kept across incarnations, so that a restarted process learns which version its
  // slot had.
  member.version = version;
  return supersedes;
}

void MemberTable::RaiseVersion(const std::string& aId, uint64_t aVersion)
{
  auto found = members_.find(aId);
  if (found != members_.end()) {
    found->second.version = std::max(found->second.version, aVersion);
  }
}

void MemberTable::Erase(const std::string& aId)
{
  auto found = members_.find(aId);
  if (found != members_.end()) {
    ToggleDigest(found->second);
    members_.erase(found);
  }
}

const Member* MemberTable::Find(const std::string& aId) const
{
  auto found = members_.find(aId);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::FindByEndpoint(const Endpoint& aEndpoint) const
{
  for (const auto& [id, member] : members_) {
    bool hasEndpoint = member.endpoint == aEndpoint || member.crossRegionEndpoint == aEndpoint;
    if (hasEndpoint && member.state != MemberState::Gone) {
      return &member;
    }
  }
  return nullptr;
}

size_t MemberTable::CountActive() const
{
  auto isActive = [](const auto& aRow) { return IsActive(aRow.second); };
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(), isActive));
}

std::vector<std::string> MemberTable::Zones() const
{
  std::set<std::string> zones;
  for (const auto& [id, member] : members_) {
    if (member.state != MemberState::Gone) {
      zones.insert(member.zone);
    }
  }
  return { zones.begin(), zones.end() };
}

std::vector<std::string> MemberTable::Regions() const
{
  std::set<std::string> regions;
  for (const auto& [id, member] : members_) {
    if (member.state != MemberState::Gone) {
      regions.insert(member.region);
    }
  }
  return { regions.begin(), regions.end() };
}

std::vector<const Member*> MemberTable::InZone(const std::string& aZone) const
{
  std::vector<const Member*> found;
  for (const auto& [id, member] : members_) {
    if (member.zone == aZone && member.state != MemberState::Gone) {
      found.push_back(&member);
    }
  }
  return found;
}

std::vector<const Member*> MemberTable::RankedInZone(const std::string& aZone) const
{
  return Ranked(aZone, [&](const Member& aMember) { return aMember.zone == aZone; });
}

std::vector<const Member*> MemberTable::RankedInRegion(const std::string& aRegion) const
{
  return Ranked(aRegion, [&](const Member& aMember) { return aMember.region == aRegion; });
}

uint64_t MemberTable::Digest() const
{
  uint64_t digest = 0;
  for (const auto& [zone, zoneDigest] : digests_) {
    digest ^= HashBytes(zone, zoneDigest);
  }
  return digest;
}

std::vector<const Member*> MemberTable::Ranked(const std::string& aScope,
                                               const Filter& aFilter) const
{
  uint64_t scope = HashBytes(aScope);
  struct Rank
  {
    int64_t negatedCapacity;
    uint64_t hash;
    const Member* member;
  };
  std::vector<Rank> ranks;
  for (const auto& [id, member] : members_) {
    if (IsActive(member) && aFilter(member)) {
      ranks.push_back(Rank{ -member.relayCapacity, HashBytes(id, scope), &member });
    }
  }
  std::sort(ranks.begin(), ranks.end(), [](const Rank& aA, const Rank& aB) {
    return std::tie(aA.negatedCapacity, aA.hash) < std::tie(aB.negatedCapacity, aB.hash);
  });
  std::vector<const Member*> ranked;
  ranked.reserve(ranks.size());
  for (const Rank& rank : ranks) {
    ranked.push_back(rank.member);
  }
  return ranked;
}

void MemberTable::ToggleDigest(const Member& aMember)
{
  uint64_t& digest = digests_[aMember.zone];
  digest ^= RecordHash(aMember);
  if (digest == 0) {
    digests_.erase(aMember.zone);
  }
}

std::vector<Member> MemberTable::RecordsFor(const ZoneDigests& aTheirs) const
{
  std::vector<Member> records;
  for (const auto& [id, member] : members_) {
    auto ours = digests_.find(member.zone);
    auto theirs = aTheirs.find(member.zone);
    bool differs =
      theirs == aTheirs.end() || ours == digests_.end() || theirs->second != ours->second;
    if (differs) {
      records.push_back(member);
    }
  }
  return records;
}

} // namespace dandelion
