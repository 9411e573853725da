#include "dandeliond/StopPlan.h"

#include <algorithm>

namespace dandelion {

void StopPlan::Ask(TimePoint aNow)
{
  if (!askedAt_.has_value()) {
    earliest_ = aNow + limits_.notice;
    refusing_ = earliest_ - limits_.farewell;
  }
  askedAt_ = aNow;
  deadline_ = std::max(earliest_, aNow + limits_.most);
}

bool StopPlan::MayEnd(TimePoint aNow, bool aIsIdle) const
{
  return IsAsked() && ((aIsIdle && !TakesCallers(aNow)) || aNow >= deadline_);
}

} // namespace dandelion
