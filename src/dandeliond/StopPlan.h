/// Decides when each phase of a planned stop begins and when the process may exit.
#ifndef DANDELION_DANDELIOND_STOP_PLAN_H
#define DANDELION_DANDELIOND_STOP_PLAN_H

#include "kernel/Kernel.h"

#include <optional>

namespace dandelion {

struct StopLimits
{
  /// Time in which callers are still accepted, until they have been directed to other nodes.
  Duration notice = Duration::zero();
  /// Last part of the notice, in which other nodes learn that they must not send calls here.
  Duration departureWindow = Duration::zero();
  /// Longest time for calls in progress, from the latest request to stop. A stop does not end
  /// before the end of its notice, even if this time is shorter.
  Duration maxDuration = Duration::zero();
};

class StopPlan
{
public:
  explicit StopPlan(StopLimits aLimits)
    : limits_(aLimits)
  {
  }

  /// Requests a stop. A repeated request restarts the time for calls in progress, not the notice.
  void RequestStop(TimePoint aNow);
  bool IsRequested() const { return requestedAt_.has_value(); }
  /// After a request: whether calls of other nodes are still accepted. If only the node restarts,
  /// the upstream beside it keeps running, and other nodes need its slots.
  bool AcceptsPeerCalls(TimePoint aNow) const { return aNow < departureBegin_; }
  /// After a request: whether new connections of callers are still accepted.
  bool AcceptsCallers(TimePoint aNow) const { return aNow < noticeEnd_; }
  /// After the notice, a call may begin only if it ends before this, so that it is not cut off.
  TimePoint Deadline() const { return deadline_; }
  /// Whether half of the time for calls in progress has passed. Then they should no longer depend
  /// on the upstreams that they were sent to.
  bool IsPastHalfTime(TimePoint aNow) const
  {
    return IsRequested() && aNow >= *requestedAt_ + limits_.maxDuration / 2;
  }
  /// Whether the process may exit now; `aIsIdle` says that nothing is in progress.
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
