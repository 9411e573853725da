/// What an upstream says of itself in its answers to calls.
#ifndef DANDELION_ADMISSION_UPSTREAM_NOTICES_H
#define DANDELION_ADMISSION_UPSTREAM_NOTICES_H

#include <optional>

namespace dandelion {

struct UpstreamNotices
{
  /// Calls a second that it takes from all nodes together; nothing if it names no limit.
  std::optional<double> maxCallsPerSecond;
  /// Whether it is leaving, and must not be sent further calls.
  bool isLeaving = false;
};

} // namespace dandelion

#endif
