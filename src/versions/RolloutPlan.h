/// When the stages of an order must end, and how many calls its target version may have had.
#ifndef DANDELION_VERSIONS_ROLLOUT_PLAN_H
#define DANDELION_VERSIONS_ROLLOUT_PLAN_H

#include "versions/Rollout.h"

namespace dandelion {

/// Time for calls to end that run at old upstreams when they are closed.
constexpr Duration kMaxClosingTime = seconds(2);
/// A closed upstream may still get calls from nodes that have not learned it yet. Only its own
/// refusals bound this, so the least time covers one permit and the answers to calls on their way.
constexpr Duration kMinClosingTime = milliseconds(600);
/// Time in which the upstreams of a good version are opened in steps.
constexpr Duration kOpeningTime = milliseconds(1200);

class RolloutPlan
{
public:
  RolloutPlan(Duration aDuration, RolloutBounds aBounds);

  /// Time after the order by which the verdict must have fallen, so that opening, closing and three
  /// writes to the store end before the deadline.
  Duration VerdictBy() const;
  /// Calls that the unproven version may have had in all, after `aServiceCalls` calls of the
  /// service. Until one of its upstreams has warmed up, most of them are held back, since a version
  /// may turn bad only then.
  int64_t Allowance(int64_t aServiceCalls, bool aIsWarmedUp) const;
  /// Number of upstreams that share the calls of the canary stage, of `aUpstreams` of the target
  /// version. They are so few that each carries about the load that it would carry afterwards.
  size_t CanaryUpstreams(size_t aUpstreams) const;
  /// Number of upstreams that are open after `aSinceOpening` in the stage of opening.
  static size_t OpenUpstreams(Duration aSinceOpening, size_t aUpstreams);

private:
  Duration duration_;
  RolloutBounds bounds_;
};

} // namespace dandelion

#endif
