/// Chooses the member records that are attached to probes.
#ifndef DANDELION_MEMBERSHIP_PENDING_UPDATES_H
#define DANDELION_MEMBERSHIP_PENDING_UPDATES_H

#include "membership/Member.h"

#include <map>
#include <string>
#include <vector>

namespace dandelion {

class PendingUpdates
{
public:
  /// Queues a record that has changed. It is sent a number of times that grows with the logarithm
  /// of the number of members, and replaces an earlier record of the same member.
  void Add(const Member& aRecord, size_t aMembers);
  /// Appends the records for one message to `aRecords`, up to the limit of a message, and counts
  /// them as sent.
  void TakeInto(std::vector<Member>& aRecords);

private:
  struct Update
  {
    Member record;
    int sendsLeft;
  };
  std::map<std::string, Update> updates_;
};

} // namespace dandelion

#endif
