/// Tells from a call's deadline how long its client has been trying.
#ifndef DANDELION_ROUTING_CLIENT_DEADLINES_H
#define DANDELION_ROUTING_CLIENT_DEADLINES_H

#include "kernel/Kernel.h"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace dandelion {

/// A client that was refused comes back with what is left of its time, and its latency target
/// counts from its first attempt. Most calls of a policy are first attempts and arrive with the
/// same deadline; a call with a shorter one has used the difference.
class ClientDeadlines
{
public:
  /// Records the time that a client allows for a call, and returns how long it has been trying;
  /// zero if that is unknown.
  Duration Observe(const std::string& aPolicy, std::optional<Duration> aTimeLeft);

private:
  static constexpr size_t kSamples = 32;
  struct Recent
  {
    std::array<int64_t, kSamples> timesLeftMs = {};
    size_t count = 0;
  };

  static std::optional<int64_t> UsualTimeLeftMs(const Recent& aRecent);

  std::map<std::string, Recent> byPolicy_;
};

} // namespace dandelion

#endif
