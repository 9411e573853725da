#include "release/ConfigurationDelta.h"

namespace dandelion {

namespace {

template<class Spec>
void CollectChanges(const VersionedMap<Spec>& aParent,
                    const VersionedMap<Spec>& aResult,
                    std::vector<Versioned<Spec>>& aChanged,
                    std::vector<std::string>& aRemoved)
{
  for (const auto& [name, versioned] : aResult) {
    auto parentObject = aParent.find(name);
    if (parentObject == aParent.end() || HashOf(parentObject->second) != HashOf(versioned)) {
      aChanged.push_back(versioned);
    }
  }
  for (const auto& [name, versioned] : aParent) {
    if (aResult.count(name) == 0) {
      aRemoved.push_back(name);
    }
  }
}

template<class Spec>
void ApplyChanges(VersionedMap<Spec>& aMap,
                  const std::vector<Versioned<Spec>>& aChanged,
                  const std::vector<std::string>& aRemoved)
{
  for (const std::string& name : aRemoved) {
    aMap.erase(name);
  }
  for (const Versioned<Spec>& versioned : aChanged) {
    aMap[versioned.spec.name] = versioned;
  }
}

} // namespace

ConfigurationDelta MakeDelta(const Configuration& aParent,
                             const std::string& aParentHash,
                             const Configuration& aResult,
                             const std::string& aResultHash)
{
  ConfigurationDelta delta;
  delta.parent = aParent.version;
  delta.parentHash = aParentHash;
  delta.version = aResult.version;
  delta.resultHash = aResultHash;
  delta.limits = aResult.limits;
  CollectChanges(aParent.services, aResult.services, delta.services, delta.removed.services);
  CollectChanges(aParent.policies, aResult.policies, delta.policies, delta.removed.policies);
  CollectChanges(aParent.routes, aResult.routes, delta.routes, delta.removed.routes);
  CollectChanges(aParent.accounts, aResult.accounts, delta.accounts, delta.removed.accounts);
  return delta;
}

absl::StatusOr<Configuration> ApplyDelta(const Configuration& aParent,
                                         const std::string& aParentHash,
                                         const ConfigurationDelta& aDelta)
{
  if (aDelta.parent != aParent.version) {
    return MakeError(ErrorKind::VersionGap,
                     fmt::format("the delta for version {} is based on version {}, not on version "
                                 "{}; fetch the versions in between",
                                 aDelta.version,
                                 aDelta.parent,
                                 aParent.version));
  }
  if (aDelta.parentHash != aParentHash) {
    return MakeError(ErrorKind::WrongHash,
                     fmt::format("the delta for version {} is based on different contents of "
                                 "version {}",
                                 aDelta.version,
                                 aDelta.parent));
  }
  Configuration result = aParent;
  result.version = aDelta.version;
  result.limits = aDelta.limits;
  ApplyChanges(result.services, aDelta.services, aDelta.removed.services);
  ApplyChanges(result.policies, aDelta.policies, aDelta.removed.policies);
  ApplyChanges(result.routes, aDelta.routes, aDelta.removed.routes);
  ApplyChanges(result.accounts, aDelta.accounts, aDelta.removed.accounts);
  return result;
}

} // namespace dandelion
