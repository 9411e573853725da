#include "routing/CallChain.h"

#include <algorithm>

namespace dandelion {

CallLimits LimitsFor(const PolicySpec& aPolicy, const InheritedLimits& aInherited, TimePoint aNow)
{
  CallLimits limits;
  // Classes are listed from the most to the least urgent. A call is at most as urgent as the call
  // it is made for; otherwise the calls of one report would fill the slots reserved for short
  // calls.
  limits.trafficClass =
    std::max(aPolicy.trafficClass, aInherited.trafficClass.value_or(aPolicy.trafficClass));
  Duration timeLimit = milliseconds(aPolicy.timeoutMs);
  limits.deadline = aNow + std::min(timeLimit, aInherited.timeLeft.value_or(timeLimit));
  // Without a common bound, the retries at each level of a chain would multiply.
  int64_t retries = aInherited.retriesLeft.value_or(aPolicy.attempts - 1);
  limits.attempts = std::min(aPolicy.attempts, 1 + retries);
  return limits;
}

} // namespace dandelion
