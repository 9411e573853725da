/// What every service of the daemon is given. Services find each other in the registry by their
/// `ServiceName` and an abstract interface, so a test can replace each by a mock.
#ifndef DANDELION_DANDELIOND_NODE_CONTEXT_H
#define DANDELION_DANDELIOND_NODE_CONTEXT_H

#include "dandeliond/NodeSettings.h"
#include "wire/Wire.h"

namespace dandelion {

/// Dependencies common to all services. The header names depend on the environment of the node.
struct NodeContext
{
  Loop& loop;
  Registry& registry;
  const NodeSettings& settings;
  CallHeaderNames headerNames = {};
  /// What connections hold of the machine's memory; null for no limit.
  MemoryGuard* memory = nullptr;

  /// Capacity of the callers' port, and of each other port.
  HttpCapacity CallerCapacity() const
  {
    return { memory, DivideDescriptors(settings.machine.maxFds).callers };
  }
  HttpCapacity OtherCapacity() const
  {
    return { memory, DivideDescriptors(settings.machine.maxFds).otherPorts };
  }

  /// Whether the nodes of this environment track where a version is in force. The platform shows
  /// its operators no progress.
  bool TracksProgress() const { return settings.environment == EnvironmentName::Standalone; }
};

/// `ServiceName::Metrics`: counters and histograms of the node.
class MetricsService
  : public Service
  , public Metrics
{};

/// The metric label of a traffic class.
inline MetricLabel ClassLabel(TrafficClass aClass)
{
  return fmt::format("class=\"{}\"", NameOf(aClass));
}

} // namespace dandelion

#endif
