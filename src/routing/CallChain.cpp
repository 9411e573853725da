#include "routing/CallChain.h"

#include <algorithm>

namespace dandelion {

CallLimits LimitsFor(const PolicySpec& aPolicy, const InheritedLimits& aInherited, TimePoint aNow)
{
  CallLimits limits;
  // Classes are listed by urgency. Work for a report stays as patient as the report, or one
  // report would fill the slots that are kept for short work.
  limits.trafficClass =
    std::max(aPolicy.trafficClass, aInherited.trafficClass.value_or(aPolicy.trafficClass));
  Duration timeLimit = milliseconds(aPolicy.timeoutMs);
  limits.deadline = aNow + std::min(timeLimit, aInherited.timeLeft.value_or(timeLimit));
  // Without a common bound, repeats at each level of a chain would multiply.
  int64_t repeats = aInherited.retriesLeft.value_or(aPolicy.attempts - 1);
  limits.attempts = std::min(aPolicy.attempts, 1 + repeats);
  return limits;
}

} // namespace dandelion
