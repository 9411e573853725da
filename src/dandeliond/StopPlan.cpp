#include "dandeliond/StopPlan.h"

#include <algorithm>

namespace dandelion {

void StopPlan::RequestStop(TimePoint aNow)
{
  if (!requestedAt_.has_value()) {
    earliest_ = aNow + limits_.notice;
    refusing_ = earliest_ - limits_.departureWindow;
  }
  requestedAt_ = aNow;
  deadline_ = std::max(earliest_, aNow + limits_.maxDuration);
}

bool StopPlan::MayEnd(TimePoint aNow, bool aIsIdle) const
{
  return IsRequested() && ((aIsIdle && !AcceptsCallers(aNow)) || aNow >= deadline_);
}

} // namespace dandelion
