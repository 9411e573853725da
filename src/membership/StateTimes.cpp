#include "membership/StateTimes.h"

namespace dandelion {

void StateTimes::OnRecord(const Member& aRecord, TimePoint aNow)
{
  if (aRecord.state == MemberState::Alive) {
    since_.erase(aRecord.id);
  } else {
    since_[aRecord.id] = aNow;
  }
}

void StateTimes::Restart(TimePoint aNow)
{
  for (auto& [id, since] : since_) {
    since = aNow;
  }
}

std::optional<TimePoint> StateTimes::Since(const std::string& aId) const
{
  auto found = since_.find(aId);
  return found == since_.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

std::vector<Member> StateTimes::Overdue(const MemberTable& aTable,
                                        const std::string& aZone,
                                        TimePoint aNow) const
{
  std::vector<Member> overdue;
  for (const auto& [id, since] : since_) {
    const Member* member = aTable.Find(id);
    bool isPending = member != nullptr && (member->state == MemberState::Suspect ||
                                           member->state == MemberState::Leaving);
    if (isPending && member->zone == aZone && aNow - since >= kSuspicionTimeout) {
      overdue.push_back(*member);
    }
  }
  return overdue;
}

std::vector<std::string> StateTimes::Forgotten(const MemberTable& aTable, TimePoint aNow) const
{
  std::vector<std::string> forgotten;
  for (const auto& [id, since] : since_) {
    const Member* member = aTable.Find(id);
    bool isGone = member != nullptr && member->state == MemberState::Gone;
    if (isGone && aNow - since >= kGoneRetention) {
      forgotten.push_back(id);
    }
  }
  return forgotten;
}

} // namespace dandelion
