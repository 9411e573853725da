#include "release/Configuration.h"

#include "release/AccountChecks.h"
#include "release/ValidationErrors.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Objects that release notes may build up to.
constexpr size_t kMaxServices = 1024;
constexpr size_t kMaxPolicies = 512;
constexpr size_t kMaxRoutes = 8192;
constexpr size_t kMaxAccounts = 4096;
constexpr size_t kMaxAccountKeys = 16384;

void CheckCount(ValidationErrors& aErrors, std::string_view aKind, size_t aCount, size_t aMax)
{
  if (aCount > aMax) {
    aErrors.Add(ErrorKind::TooLarge,
                "{} {} objects exceed the limit of {} in a configuration; withdraw unused ones",
                aCount,
                aKind,
                aMax);
  }
}

void CheckReferences(ValidationErrors& aErrors, const Configuration& aConfiguration)
{
  for (const auto& [name, route] : aConfiguration.routes) {
    const RouteSpec& spec = route.spec;
    for (const std::string& service : ServicesOf(spec)) {
      if (aConfiguration.services.count(service) == 0) {
        aErrors.Add(ErrorKind::DanglingReference,
                    "route \"{}\" uses service \"{}\", which does not exist; add the service or "
                    "withdraw the route",
                    name,
                    service);
      }
    }
    if (aConfiguration.policies.count(spec.policy) == 0) {
      aErrors.Add(ErrorKind::DanglingReference,
                  "route \"{}\" uses policy \"{}\", which does not exist; add the policy or "
                  "withdraw the route",
                  name,
                  spec.policy);
    }
  }
}

void CheckPrefixesAreUnique(ValidationErrors& aErrors, const Configuration& aConfiguration)
{
  std::map<std::pair<std::string_view, std::string_view>, std::string_view> routeByPrefix;
  for (const auto& [name, route] : aConfiguration.routes) {
    std::pair<std::string_view, std::string_view> key(route.spec.host, route.spec.pathPrefix);
    auto [other, isNew] = routeByPrefix.emplace(key, name);
    if (!isNew) {
      aErrors.Add(ErrorKind::AlreadyExists,
                  "routes \"{}\" and \"{}\" both match path_prefix \"{}\"; change one of them",
                  other->second,
                  name,
                  route.spec.pathPrefix);
    }
  }
}

} // namespace

const AcceptedNote* FindNote(const Configuration& aConfiguration, const std::string& aId)
{
  auto hasId = [&](const AcceptedNote& aNote) { return aNote.id == aId; };
  auto found = std::find_if(aConfiguration.notes.begin(), aConfiguration.notes.end(), hasId);
  return found == aConfiguration.notes.end() ? nullptr : &*found;
}

std::vector<std::string> ServicesOf(const RouteSpec& aRoute)
{
  std::vector<std::string> services;
  for (const WeightedService& part : aRoute.split) {
    services.push_back(part.service);
  }
  if (services.empty()) {
    services.push_back(aRoute.service);
  }
  return services;
}

absl::Status CheckObjectCounts(const Configuration& aConfiguration)
{
  ValidationErrors errors;
  CheckCount(errors, "service", aConfiguration.services.size(), kMaxServices);
  CheckCount(errors, "policy", aConfiguration.policies.size(), kMaxPolicies);
  CheckCount(errors, "route", aConfiguration.routes.size(), kMaxRoutes);
  CheckCount(errors, "account", aConfiguration.accounts.size(), kMaxAccounts);
  CheckCount(errors, "account key", CountKeys(aConfiguration), kMaxAccountKeys);
  return errors.ToStatus();
}

absl::Status CheckConfiguration(const Configuration& aConfiguration)
{
  ValidationErrors errors;
  CheckReferences(errors, aConfiguration);
  CheckPrefixesAreUnique(errors, aConfiguration);
  CheckAccounts(errors, aConfiguration);
  return errors.ToStatus();
}

} // namespace dandelion
