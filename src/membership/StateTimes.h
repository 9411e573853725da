/// Remembers since when members are not alive, and decides when a state has lasted too long.
#ifndef DANDELION_MEMBERSHIP_STATE_TIMES_H
#define DANDELION_MEMBERSHIP_STATE_TIMES_H

#include "membership/MemberTable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelion {

constexpr Duration kSuspicionTimeout = seconds(4);
/// A member that is gone is erased from the table after this time.
constexpr Duration kGoneRetention = seconds(600);

class StateTimes
{
public:
  void OnRecord(const Member& aRecord, TimePoint aNow);
  /// Restarts the times of all members, after a pause in which nothing was heard of them.
  void Restart(TimePoint aNow);
  void Erase(const std::string& aId) { since_.erase(aId); }
  /// When the member was first seen in its state; no value if it is alive or unknown.
  std::optional<TimePoint> Since(const std::string& aId) const;

  /// The members of a zone that were suspect or leaving for `kSuspicionTimeout`.
  std::vector<Member> Overdue(const MemberTable& aTable,
                              const std::string& aZone,
                              TimePoint aNow) const;
  /// The members of all zones that were gone for `kGoneRetention`.
  std::vector<std::string> Forgotten(const MemberTable& aTable, TimePoint aNow) const;

private:
  std::map<std::string, TimePoint> since_;
};

} // namespace dandelion

#endif
