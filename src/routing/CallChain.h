/// What a call inherits from the call on whose behalf an upstream makes it.
#ifndef DANDELION_ROUTING_CALL_CHAIN_H
#define DANDELION_ROUTING_CALL_CHAIN_H

#include "release/Release.h"

#include <optional>

namespace dandelion {

/// Limits that travel down a chain of calls. A call that begins a chain inherits none.
struct InheritedLimits
{
  /// What is left of the time of the first caller in the chain.
  std::optional<Duration> timeLeft;
  std::optional<TrafficClass> trafficClass;
  /// Repeats that the calls above still allow.
  std::optional<int64_t> retriesLeft;
};

/// The limits of one call: its policy's, tightened by what it inherits.
struct CallLimits
{
  TrafficClass trafficClass = TrafficClass::Interactive;
  TimePoint deadline;
  int64_t attempts = 0;
};

CallLimits LimitsFor(const PolicySpec& aPolicy, const InheritedLimits& aInherited, TimePoint aNow);

} // namespace dandelion

#endif
