/// Limits that a call inherits from the call that an upstream was handling when it made this one.
#ifndef DANDELION_ROUTING_CALL_CHAIN_H
#define DANDELION_ROUTING_CALL_CHAIN_H

#include "release/Release.h"

#include <optional>

namespace dandelion {

/// Limits that are passed down a call chain. The first call of a chain inherits none.
struct InheritedLimits
{
  /// Time left until the deadline of the first call in the chain.
  std::optional<Duration> timeLeft;
  std::optional<TrafficClass> trafficClass;
  /// Retries that the calls up the chain still allow.
  std::optional<int64_t> retriesLeft;
};

/// Limits of one call. Each is the tighter one of the policy's limit and the inherited limit.
struct CallLimits
{
  TrafficClass trafficClass = TrafficClass::Interactive;
  TimePoint deadline;
  /// Attempts that may reach an upstream.
  int64_t attempts = 0;
};

CallLimits LimitsFor(const PolicySpec& aPolicy, const InheritedLimits& aInherited, TimePoint aNow);

} // namespace dandelion

#endif
