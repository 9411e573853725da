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
  /// Longest time for calls in progress.
  Duration most = Duration::zero();
};

class StopPlan
{
public:
  explicit StopPlan(StopLimits aLimits)
    : limits_(aLimits)
  {
  }

  /// A stop is asked for. Whoever asks again gives the whole time again.
  void Ask(TimePoint aNow);
  bool IsAsked() const { return askedAt_.has_value(); }
  /// New connections of callers are still taken.
  bool TakesCallers(TimePoint aNow) const { return aNow < earliest_; }
  /// The process may end now; `aIsIdle` says that nothing is in progress.
  bool MayEnd(TimePoint aNow, bool aIsIdle) const;

private:
  StopLimits limits_;
  std::optional<TimePoint> askedAt_;
  TimePoint earliest_;
  TimePoint deadline_;
};

} // namespace dandelion

#endif
