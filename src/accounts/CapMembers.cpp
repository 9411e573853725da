#include "accounts/CapMembers.h"

#include <algorithm>
#include <set>

namespace dandelion {

int64_t CapMembers::Count(const MemberTable& aTable, TimePoint aNow)
{
  std::set<std::string> activeZones;
  for (const auto& [id, member] : aTable.All()) {
    auto [found, isNew] = known_.try_emplace(id);
    Known& known = found->second;
    known.zone = member.zone;
    if (isNew || IsActive(member)) {
      known.lastActive = aNow;
    }
    known.isLeaving = member.state == MemberState::Leaving ||
                      (member.state == MemberState::Gone && known.isLeaving);
    if (IsActive(member)) {
      activeZones.insert(member.zone);
    }
  }
  int64_t count = 0;
  for (auto found = known_.begin(); found != known_.end();) {
    const Known& known = found->second;
    bool isLost = known.isLeaving || activeZones.count(known.zone) > 0;
    bool hasShare = !isLost || aNow - known.lastActive < kLostShareTime;
    count += hasShare ? 1 : 0;
    bool isForgotten = !hasShare && aTable.Find(found->first) == nullptr;
    found = isForgotten ? known_.erase(found) : std::next(found);
  }
  return std::max<int64_t>(1, count);
}

} // namespace dandelion
