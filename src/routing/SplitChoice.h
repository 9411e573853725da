/// Chooses the service of each call on a route that spreads its calls.
#ifndef DANDELION_ROUTING_SPLIT_CHOICE_H
#define DANDELION_ROUTING_SPLIT_CHOICE_H

#include "release/Release.h"

#include <map>
#include <string>

namespace dandelion {

/// Keeps the shares of all nodes together close to the weights over short spans too: each node
/// walks a low-discrepancy sequence, each from a start of its own.
class SplitChoice
{
public:
  /// `aSeed` should differ between nodes, or all send to the same part at the same time.
  explicit SplitChoice(uint64_t aSeed);

  /// The service for one call. A repeat of a call keeps the service of its first attempt.
  const std::string& Choose(const RouteSpec& aRoute);

private:
  uint64_t seed_;
  /// Calls so far, by route.
  std::map<std::string, uint64_t> callCounts_;
};

} // namespace dandelion

#endif
