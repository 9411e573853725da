/// The difference between a configuration and a later one, for configurations that are not built
/// from notes.
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
  /// Objects that were added or changed.
  std::vector<Versioned<ServiceSpec>> services;
  std::vector<Versioned<PolicySpec>> policies;
  std::vector<Versioned<RouteSpec>> routes;
  std::vector<Versioned<AccountSpec>> accounts;
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
  aVisitor.OptionalField("accounts", aDelta.accounts);
  aVisitor.Field("removed", aDelta.removed);
  aVisitor.Field("limits", aDelta.limits);
}

/// Returns the delta that turns `aParent` into `aResult`. Neither may remember notes, because a
/// delta does not contain them.
ConfigurationDelta MakeDelta(const Configuration& aParent,
                             const std::string& aParentHash,
                             const Configuration& aResult,
                             const std::string& aResultHash);

/// Returns the configuration that results from applying a delta to its parent. Errors: `VersionGap`
/// if the delta is based on another version, `WrongHash` if it is based on different contents. Does
/// not validate the result.
absl::StatusOr<Configuration> ApplyDelta(const Configuration& aParent,
                                         const std::string& aParentHash,
                                         const ConfigurationDelta& aDelta);

} // namespace dandelion

#endif
