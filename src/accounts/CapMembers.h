/// Counts the members that have a share of each cap.
#ifndef DANDELION_ACCOUNTS_CAP_MEMBERS_H
#define DANDELION_ACCOUNTS_CAP_MEMBERS_H

#include "membership/Membership.h"

#include <map>
#include <string>

namespace dandelion {

/// Time after which the share of a lost member is divided among the others.
constexpr Duration kLostShareTime = seconds(10);

class CapMembers
{
public:
  /// Returns the number of members that have a share. Members that are gone have one as long as no
  /// member of their zone is active: they may be in touch with each other and use their shares, and
  /// their records may be dropped from the table in a long partition. A single lost member has one
  /// for `kLostShareTime`.
  int64_t Count(const MemberTable& aTable, TimePoint aNow);

private:
  struct Known
  {
    std::string zone;
    bool isLeaving = false;
    TimePoint lastActive;
  };

  std::map<std::string, Known> known_;
};

} // namespace dandelion

#endif
