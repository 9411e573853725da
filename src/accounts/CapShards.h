/// Caps of client accounts, and which members pool the tokens of which accounts.
#ifndef DANDELION_ACCOUNTS_CAP_SHARDS_H
#define DANDELION_ACCOUNTS_CAP_SHARDS_H

#include "membership/Membership.h"
#include "release/Release.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace dandelion {

/// Accounts are distributed over this many shards. Each shard has one owner in each region.
constexpr int64_t kCapShards = 4;

/// How many calls an account may send through all nodes together.
struct UsageCap
{
  double ratePerS = 0;
  double burst = 0;
};

/// How far the calls of an account may exceed its cap in a window.
struct CapTolerance
{
  /// As a share of the calls that the cap permits in the window.
  double overage = 0.1;
  /// Calls beyond that share.
  double slack = 20;
};

/// The accounts that have a cap, by name.
using UsageCaps = std::map<std::string, UsageCap>;

/// The caps that a configuration sets. Accounts without a limit have none.
UsageCaps CapsOf(const Configuration& aConfiguration);

int64_t ShardOf(const std::string& aAccount);

/// Ids of members that pool tokens, for each shard.
struct CapOwners
{
  /// The members of the node's own region, from the first choice to the last.
  std::array<std::vector<std::string>, kCapShards> inRegion;
  /// The first choice of each other region.
  std::array<std::vector<std::string>, kCapShards> inOtherRegions;
};

/// Ranks the active members of each region by their capacity, then by rendezvous hash with the
/// shard. The order of the other members stays the same when one leaves.
CapOwners FindCapOwners(const MemberTable& aTable, const std::string& aRegion);

} // namespace dandelion

#endif
