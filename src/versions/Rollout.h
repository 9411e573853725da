/// An operator's order to move a service to another version of its upstreams, and its progress.
#ifndef DANDELION_VERSIONS_ROLLOUT_H
#define DANDELION_VERSIONS_ROLLOUT_H

#include "kernel/Kernel.h"

#include <string>

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

} // namespace dandelion

#endif
