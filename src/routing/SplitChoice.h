/// Chooses the service of each call on a route that splits its calls between services by weight.
#ifndef DANDELION_ROUTING_SPLIT_CHOICE_H
#define DANDELION_ROUTING_SPLIT_CHOICE_H

#include "release/Release.h"

#include <map>
#include <string>

namespace dandelion {

/// Each node follows a low-discrepancy sequence from a start of its own. This keeps the shares of
/// all nodes together close to the weights, over few calls too.
class SplitChoice
{
public:
  /// `aSeed` should differ between nodes; otherwise all send to the same service at the same time.
  explicit SplitChoice(uint64_t aSeed);

  /// The service for one call. Retries should keep the service of the first attempt.
  const std::string& Choose(const RouteSpec& aRoute);

private:
  uint64_t seed_;
  /// Number of calls so far, by route.
  std::map<std::string, uint64_t> callCounts_;
};

} // namespace dandelion

#endif
