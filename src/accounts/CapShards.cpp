#include "accounts/CapShards.h"

#include <algorithm>
#include <tuple>

namespace dandelion {

namespace {

/// Of members with the same capacity, the owners are other ones than the relays of the region.
constexpr uint64_t kOwnerHashSeed = 0x63617073;

std::vector<std::string> RankForShard(const MemberTable& aTable,
                                      const std::string& aRegion,
                                      uint64_t aShard)
{
  std::vector<std::tuple<int64_t, uint64_t, std::string>> ranks;
  uint64_t seed = HashBytes(aRegion, kOwnerHashSeed + aShard);
  for (const auto& [id, member] : aTable.All()) {
    if (IsActive(member) && member.region == aRegion) {
      ranks.emplace_back(-member.relayCapacity, HashBytes(id, seed), id);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> ids;
  ids.reserve(ranks.size());
  for (auto& rank : ranks) {
    ids.push_back(std::move(std::get<std::string>(rank)));
  }
  return ids;
}

} // namespace

UsageCaps CapsOf(const Configuration& aConfiguration)
{
  UsageCaps caps;
  for (const auto& [name, account] : aConfiguration.accounts) {
    const AccountSpec& spec = account.spec;
    if (spec.ratePerS > 0) {
      caps[name] = UsageCap{ static_cast<double>(spec.ratePerS), static_cast<double>(spec.burst) };
    }
  }
  return caps;
}

int64_t ShardOf(const std::string& aAccount)
{
  return static_cast<int64_t>(HashBytes(aAccount, kOwnerHashSeed) % kCapShards);
}

CapOwners FindCapOwners(const MemberTable& aTable, const std::string& aRegion)
{
  CapOwners owners;
  for (uint64_t shard = 0; shard < kCapShards; ++shard) {
    owners.inRegion.at(shard) = RankForShard(aTable, aRegion, shard);
    for (const std::string& region : aTable.Regions()) {
      std::vector<std::string> ids;
      if (region != aRegion) {
        ids = RankForShard(aTable, region, shard);
      }
      if (!ids.empty()) {
        owners.inOtherRegions.at(shard).push_back(std::move(ids.front()));
      }
    }
  }
  return owners;
}

} // namespace dandelion
