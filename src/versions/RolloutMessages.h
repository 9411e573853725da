/// Datagrams between the nodes beside the upstreams of a service and the nodes that judge a
/// roll-out.
#ifndef DANDELION_VERSIONS_ROLLOUT_MESSAGES_H
#define DANDELION_VERSIONS_ROLLOUT_MESSAGES_H

#include "versions/Rollout.h"

#include <string>
#include <vector>

namespace dandelion {

/// Calls of one policy that an upstream has run since its node started.
struct VersionCounts
{
  std::string policy;
  /// Calls that were sent to the upstream.
  int64_t calls = 0;
  int64_t failures = 0;
  /// Number of answers after the upstream's warm-up by service time; bucket i holds times below
  /// 2^i ms.
  std::vector<int64_t> serviceTimes;
};

/// Cumulative counts of one upstream. Reports of a node and incarnation are merged by maximum.
struct RolloutReport
{
  std::string sender;
  uint64_t incarnation = 0;
  std::string service;
  std::string upstreamVersion;
  bool isWarmingUp = false;
  int64_t slots = 0;
  int64_t running = 0;
  std::vector<VersionCounts> counts;
  /// Calls in all that permits have allowed the version at this node; judges count them as spent.
  int64_t maxCalls = 0;
  /// The order and the highest stage that the node has learned, so that every judge learns a
  /// verdict of the others while the store is down.
  int64_t orderRevision = 0;
  RolloutStage stage = RolloutStage::Canary;
};

/// What the node beside an upstream may admit while an order is in progress. Order revision 0 says
/// that no order names the service.
struct RolloutPermit
{
  std::string service;
  std::string targetVersion;
  int64_t orderRevision = 0;
  RolloutStage stage = RolloutStage::Canary;
  bool isOpen = false;
  /// Calls that the upstream may have admitted in all since its node started; -1 for no limit.
  int64_t maxCalls = 0;
  /// Age of the newest view of the store that the sender has; -1 for a verdict that the store does
  /// not hold yet.
  int64_t ageMs = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, VersionCounts& aCounts)
{
  aVisitor.Field("policy", aCounts.policy);
  aVisitor.Field("calls", aCounts.calls);
  aVisitor.Field("failures", aCounts.failures);
  aVisitor.Field("service_times", aCounts.serviceTimes);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RolloutReport& aReport)
{
  aVisitor.Field("sender", aReport.sender);
  aVisitor.Field("incarnation", aReport.incarnation);
  aVisitor.Field("service", aReport.service);
  aVisitor.Field("version", aReport.upstreamVersion);
  aVisitor.Field("warming_up", aReport.isWarmingUp);
  aVisitor.Field("slots", aReport.slots);
  aVisitor.Field("running", aReport.running);
  aVisitor.Field("counts", aReport.counts);
  aVisitor.Field("max_calls", aReport.maxCalls);
  aVisitor.Field("order", aReport.orderRevision);
  aVisitor.Field("stage", aReport.stage);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RolloutPermit& aPermit)
{
  aVisitor.Field("service", aPermit.service);
  aVisitor.Field("target", aPermit.targetVersion);
  aVisitor.Field("order", aPermit.orderRevision);
  aVisitor.Field("stage", aPermit.stage);
  aVisitor.Field("open", aPermit.isOpen);
  aVisitor.Field("max_calls", aPermit.maxCalls);
  aVisitor.Field("age_ms", aPermit.ageMs);
}

} // namespace dandelion

#endif
