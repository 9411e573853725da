/// A whole node: its services by name on one loop, its start and its planned stop.
#ifndef DANDELION_DANDELIOND_NODE_H
#define DANDELION_DANDELIOND_NODE_H

#include "dandeliond/Services.h"
#include "dandeliond/StopPlan.h"

namespace dandelion {

class Node
{
public:
  /// `aIncarnation` must be higher than that of every earlier start in the slot.
  Node(Loop& aLoop, NodeSettings aSettings, uint64_t aIncarnation, uint64_t aSeed);

  absl::Status Start();

  /// Looks at settings that were read anew. What they change takes effect at the next start, but
  /// for the log level; requests in progress notice nothing.
  void Reload(const absl::StatusOr<NodeSettings>& aSettings);

  /// Begins a planned stop: new work is refused, work in progress finishes, then the loop stops.
  void BeginStop();

private:
  void ContinueStop();

  Loop& loop_;
  NodeSettings settings_;
  Registry registry_;
  NodeContext context_;
  StopPlan stopPlan_;
  bool isDrained_ = false;
  bool hasAnnouncedDeparture_ = false;
  bool hasHedgedOutstanding_ = false;
  Timer timer_;
};

} // namespace dandelion

#endif
