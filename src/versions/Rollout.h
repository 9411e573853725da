/// An operator's order to move a service to another version of its upstreams, and its progress.
#ifndef DANDELION_VERSIONS_ROLLOUT_H
#define DANDELION_VERSIONS_ROLLOUT_H

#include "kernel/Kernel.h"

#include <string>
#include <vector>

namespace dandelion {

/// Stages only advance. The last two are final.
enum class RolloutStage
{
  /// A few upstreams of the new version take a bounded number of calls.
  Canary,
  /// The version has been found good; its upstreams open in steps.
  Opening,
  /// All upstreams of the new version are open, those of the old version take no new calls.
  Closing,
  Completed,
  RolledBack,
};

template<>
struct EnumNames<RolloutStage>
{
  static constexpr EnumName<RolloutStage> kTable[] = {
    { RolloutStage::Canary, "canary" },          { RolloutStage::Opening, "opening" },
    { RolloutStage::Closing, "closing" },        { RolloutStage::Completed, "completed" },
    { RolloutStage::RolledBack, "rolled-back" },
  };
};

inline bool IsFinal(RolloutStage aStage)
{
  return aStage == RolloutStage::Completed || aStage == RolloutStage::RolledBack;
}

struct RolloutOrder
{
  std::string service;
  std::string targetVersion;
  Duration duration = Duration::zero();
  /// Revision of the store at which the order was written; identifies it among orders of a service.
  int64_t revision = 0;
};

/// Bounds of the calls that a bad version may get.
struct RolloutBounds
{
  /// Share of the calls that reach the service between the order and its deadline, and a number of
  /// calls beyond that share.
  double exposeShare = 0.1;
  int64_t exposeSlack = 50;
  /// Longest time from the 50th bad answer until the last call is sent to the version.
  Duration rollback = seconds(5);
};

/// Calls that one upstream of the target version has had, kept so that a restart of its node or of
/// the judges does not lose them.
struct ExposedCalls
{
  std::string sender;
  uint64_t incarnation = 0;
  int64_t calls = 0;
};

/// Progress of an order as the store keeps it.
struct RolloutRecord
{
  int64_t orderRevision = 0;
  std::string targetVersion;
  RolloutStage stage = RolloutStage::Canary;
  /// Time since the order was first seen by the judge that wrote the record.
  int64_t elapsedMs = 0;
  std::string reason;
  std::vector<ExposedCalls> exposed;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ExposedCalls& aCalls)
{
  aVisitor.Field("sender", aCalls.sender);
  aVisitor.Field("incarnation", aCalls.incarnation);
  aVisitor.Field("calls", aCalls.calls);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RolloutRecord& aRecord)
{
  aVisitor.Field("order", aRecord.orderRevision);
  aVisitor.Field("target", aRecord.targetVersion);
  aVisitor.Field("stage", aRecord.stage);
  aVisitor.Field("elapsed_ms", aRecord.elapsedMs);
  aVisitor.Field("reason", aRecord.reason);
  aVisitor.Field("exposed", aRecord.exposed);
}

} // namespace dandelion

#endif
