/// Result of one attempt, as the choice of upstreams uses it.
#ifndef DANDELION_ROUTING_ATTEMPT_RESULT_H
#define DANDELION_ROUTING_ATTEMPT_RESULT_H

#include "admission/Admission.h"

#include <optional>
#include <string>

namespace dandelion {

/// What an attempt has shown about its upstream.
struct AttemptResult
{
  bool hasFailed = false;
  /// Calls that waited or ran at the upstream when it answered.
  int64_t queueLength = 0;
  /// Time from sending to the answer, or to the end of the attempt without one.
  Duration latency = Duration::zero();
  /// The attempt ended without an answer, so `latency` is only a lower bound.
  bool isCensored = false;
  /// Queue estimate of the upstream for a further call of this cost class, if the answer had one.
  std::optional<QueueEstimate> queueEstimate = {};
  std::string costClass = {};
  /// Time that the call and its answer spent in the network, if the upstream's node has reported
  /// its own part of the latency.
  std::optional<Duration> networkRoundTrip = {};
  /// Bytes of the answer; 0 if there was none.
  size_t answerBytes = 0;
};

} // namespace dandelion

#endif
