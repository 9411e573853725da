/// All members that a node knows, merged so that every order of the same records gives one table.
#ifndef DANDELION_MEMBERSHIP_MEMBER_TABLE_H
#define DANDELION_MEMBERSHIP_MEMBER_TABLE_H

#include "membership/Member.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelion {

/// Hash of the records of one zone, by zone. Versions are left out: they change too often.
using ZoneDigests = std::map<std::string, uint64_t>;

class MemberTable
{
public:
  /// Takes a record where it supersedes the one held: a higher incarnation, or the same one in a
  /// later state. The version only grows. Returns whether incarnation or state changed.
  bool Merge(const Member& aRecord);

  /// Raises the version of a member that the table holds.
  void RaiseVersion(const std::string& aId, uint64_t aVersion);

  /// Forgets a member.
  void Erase(const std::string& aId);

  const Member* Find(const std::string& aId) const;
  const Member* FindByEndpoint(const Endpoint& aEndpoint) const;
  const std::map<std::string, Member>& All() const { return members_; }

  /// Members that take part.
  size_t CountActive() const;

  /// Zones with at least one member that is not gone.
  std::vector<std::string> Zones() const;
  /// Regions with at least one member that is not gone.
  std::vector<std::string> Regions() const;
  /// Members of a zone that are not gone.
  std::vector<const Member*> InZone(const std::string& aZone) const;

  /// Members that may act as relays for a zone or region, the strongest first. All nodes with the
  /// same table agree on the order, and it stays the same for the others when one goes.
  std::vector<const Member*> RankedInZone(const std::string& aZone) const;
  std::vector<const Member*> RankedInRegion(const std::string& aRegion) const;

  const ZoneDigests& Digests() const { return digests_; }
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
