/// Decides how long a planned stop goes on.
#ifndef DANDELION_DANDELIOND_STOP_PLAN_H
#define DANDELION_DANDELIOND_STOP_PLAN_H

#include "kernel/Kernel.h"

#include <optional>

namespace dandelion {

struct StopLimits
{
  /// For so long callers may still come: they are on their way to other nodes.
  Duration notice = Duration::zero();
  /// The last part of the notice, in which other nodes learn that they must not call any more.
  Duration departureWindow = Duration::zero();
  /// Longest time for calls in progress.
  Duration maxDuration = Duration::zero();
};

class StopPlan
{
public:
  explicit StopPlan(StopLimits aLimits)
    : limits_(aLimits)
  {
  }

  /// A stop is asked for. Whoever asks again gives the whole time again.
  void RequestStop(TimePoint aNow);
  bool IsRequested() const { return requestedAt_.has_value(); }
  /// Calls of other nodes are still taken, since the upstream beside this node goes on.
  bool AcceptsPeerCalls(TimePoint aNow) const { return aNow < departureBegin_; }
  /// New connections of callers are still taken.
  bool AcceptsCallers(TimePoint aNow) const { return aNow < noticeEnd_; }
  /// Calls in progress cannot wait much longer for the upstreams that they were sent to.
  bool IsPastHalfTime(TimePoint aNow) const
  {
    return IsRequested() && aNow >= *requestedAt_ + limits_.maxDuration / 2;
  }
  /// The process may end now; `aIsIdle` says that nothing is in progress.
  bool MayExit(TimePoint aNow, bool aIsIdle) const;

private:
  StopLimits limits_;
  std::optional<TimePoint> requestedAt_;
  TimePoint departureBegin_;
  TimePoint noticeEnd_;
  TimePoint deadline_;
};

} // namespace dandelion

#endif
