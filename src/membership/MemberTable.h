/// All members that a node knows. The result of merging records does not depend on their order.
#ifndef DANDELION_MEMBERSHIP_MEMBER_TABLE_H
#define DANDELION_MEMBERSHIP_MEMBER_TABLE_H

#include "membership/Member.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelion {

/// Hash of the records of each zone. Versions are not included, because they change too often.
using ZoneDigests = std::map<std::string, uint64_t>;

class MemberTable
{
public:
  /// Adds a record, or replaces the stored one if the new one has a higher incarnation, or the same
  /// incarnation and a later state. The version never decreases. Returns whether the record was
  /// added or replaced.
  bool Merge(const Member& aRecord);

  /// Raises the version of a member. Ignores a lower version and an unknown member.
  void RaiseVersion(const std::string& aId, uint64_t aVersion);

  /// Removes a member. Ignores an unknown one.
  void Erase(const std::string& aId);

  const Member* Find(const std::string& aId) const;
  const Member* FindByEndpoint(const Endpoint& aEndpoint) const;
  const std::map<std::string, Member>& All() const { return members_; }

  /// Number of members that are alive or suspect.
  size_t CountActive() const;

  /// Zones with at least one member that is not gone.
  std::vector<std::string> Zones() const;
  /// Regions with at least one member that is not gone.
  std::vector<std::string> Regions() const;
  /// Members of a zone that are not gone.
  std::vector<const Member*> InZone(const std::string& aZone) const;

  /// Members that may act as relays for a zone or region, in order of decreasing relay capacity.
  /// All nodes with the same table compute the same order, and the order of the other members stays
  /// the same when one leaves.
  std::vector<const Member*> RankedInZone(const std::string& aZone) const;
  std::vector<const Member*> RankedInRegion(const std::string& aRegion) const;

  const ZoneDigests& Digests() const { return digests_; }
  /// Returns the records of the zones in which other digests differ from these.
  std::vector<Member> RecordsFor(const ZoneDigests& aTheirs) const;
  /// One hash over all zones.
  uint64_t Digest() const;

private:
  using Filter = std::function<bool(const Member&)>;
  std::vector<const Member*> Ranked(const std::string& aScope, const Filter& aFilter) const;
  void ToggleDigest(const Member& aMember);

  std::map<std::string, Member> members_;
  ZoneDigests digests_;
};

} // namespace dandelion

#endif
