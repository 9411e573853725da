#include "dandeliond/StopPlan.h"

#include <algorithm>

namespace dandelion {

void StopPlan::RequestStop(TimePoint aNow)
{
  if (!requestedAt_.has_value()) {
    noticeEnd_ = aNow + limits_.notice;
    departureBegin_ = noticeEnd_ - limits_.departureWindow;
  }
  requestedAt_ = aNow;
  deadline_ = std::max(noticeEnd_, aNow + limits_.maxDuration);
}

bool StopPlan::MayExit(TimePoint aNow, bool aIsIdle) const
{
  return IsRequested() && ((aIsIdle && !AcceptsCallers(aNow)) || aNow >= deadline_);
}

} // namespace dandelion
