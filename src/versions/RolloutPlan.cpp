#include "versions/RolloutPlan.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Part of the bounds that is planned for. The rest covers calls between two reports, and the two
/// judges that may allow calls at the same time.
constexpr double kPlannedPart = 0.6;
/// Part of the planned calls that may be used before an upstream has warmed up: 7 of 30.
constexpr double kEarlyPart = 0.25;
/// Opening (1.2 s), closing (2 s) and three writes to the store of up to 0.75 s each.
constexpr Duration kTimeAfterVerdict = milliseconds(5450);
constexpr int kOpeningSteps = 3;

} // namespace

RolloutPlan::RolloutPlan(Duration aDuration, RolloutBounds aBounds)
  : duration_(aDuration)
  , bounds_(aBounds)
{
}

Duration RolloutPlan::VerdictBy() const
{
  return std::max(duration_ / 2, duration_ - kTimeAfterVerdict);
}

int64_t RolloutPlan::Allowance(int64_t aServiceCalls, bool aIsWarmedUp) const
{
  double planned = bounds_.exposeShare * static_cast<double>(aServiceCalls) +
                   static_cast<double>(bounds_.exposeSlack);
  return static_cast<int64_t>(planned * kPlannedPart * (aIsWarmedUp ? 1 : kEarlyPart));
}

size_t RolloutPlan::CanaryUpstreams(size_t aUpstreams) const
{
  double count = static_cast<double>(aUpstreams) * bounds_.exposeShare * kPlannedPart;
  return std::min(aUpstreams, std::max<size_t>(1, static_cast<size_t>(count)));
}

size_t RolloutPlan::OpenUpstreams(Duration aSinceOpening, size_t aUpstreams)
{
  int64_t step = aSinceOpening * kOpeningSteps / kOpeningTime + 1;
  size_t open = aUpstreams * static_cast<size_t>(step) / kOpeningSteps;
  return std::min(aUpstreams, std::max<size_t>(1, open));
}

} // namespace dandelion
