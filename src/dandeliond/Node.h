/// A node: creates its services, registers them by name on one loop, and starts and stops them.
#ifndef DANDELION_DANDELIOND_NODE_H
#define DANDELION_DANDELIOND_NODE_H

#include "dandeliond/CallServices.h"
#include "dandeliond/FrontServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/StopPlan.h"

namespace dandelion {

class Node
{
public:
  /// `aIncarnation` must be higher than that of every earlier start of the same slot.
  Node(Loop& aLoop, NodeSettings aSettings, uint64_t aIncarnation, uint64_t aSeed);

  absl::Status Start();

  /// Handles reloaded settings. The log level takes effect at once, other changes at the next
  /// start; requests in progress are not affected. Invalid settings are logged and ignored.
  void Reload(const absl::StatusOr<NodeSettings>& aSettings);

  /// Begins a planned stop: after the notice new calls are refused, calls in progress finish, then
  /// the loop stops.
  /// A repeated request restarts the time limit for calls in progress.
  void BeginStop();

private:
  /// Runs the phases of a planned stop that are due, and repeats this until the process may exit.
  void ContinueStop();

  Loop& loop_;
  NodeSettings settings_;
  /// Declared before the services, which use it until they are destroyed.
  MemoryGuard memory_;
  Registry registry_;
  NodeContext context_;
  StopPlan stopPlan_;
  bool isDrained_ = false;
  bool hasAnnouncedDeparture_ = false;
  TimePoint nextHedge_;
  Timer timer_;
};

} // namespace dandelion

#endif
