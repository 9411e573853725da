/// What turns one configuration into a later one, for configurations that are not made of notes.
#ifndef DANDELION_RELEASE_CONFIGURATION_DELTA_H
#define DANDELION_RELEASE_CONFIGURATION_DELTA_H

#include "release/Configuration.h"

#include <string>
#include <vector>

namespace dandelion {

struct ConfigurationDelta
{
  Version parent = 0;
  std::string parentHash;
  Version version = 0;
  std::string resultHash;
  /// Objects that are new or differ.
  std::vector<Versioned<ServiceSpec>> services;
  std::vector<Versioned<PolicySpec>> policies;
  std::vector<Versioned<RouteSpec>> routes;
  ObjectNames removed;
  CallerLimits limits;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ConfigurationDelta& aDelta)
{
  aVisitor.Field("parent", aDelta.parent);
  aVisitor.Field("parent_hash", aDelta.parentHash);
  aVisitor.Field("version", aDelta.version);
  aVisitor.Field("result_hash", aDelta.resultHash);
  aVisitor.Field("services", aDelta.services);
  aVisitor.Field("policies", aDelta.policies);
  aVisitor.Field("routes", aDelta.routes);
  aVisitor.Field("removed", aDelta.removed);
  aVisitor.Field("limits", aDelta.limits);
}

/// The delta between two configurations of whole versions; neither remembers notes.
ConfigurationDelta MakeDelta(const Configuration& aParent,
                             const std::string& aParentHash,
                             const Configuration& aResult,
                             const std::string& aResultHash);

/// The configuration that a delta makes of its parent. Errors: `VersionGap` where it belongs to
/// another version, `WrongHash` where it was made from another content. The result is not checked.
absl::StatusOr<Configuration> ApplyDelta(const Configuration& aParent,
                                         const std::string& aParentHash,
                                         const ConfigurationDelta& aDelta);

} // namespace dandelion

#endif
