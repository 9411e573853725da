#include "dandeliond/NodeSettings.h"

#include <arpa/inet.h>

#include <fstream>
#include <map>
#include <sstream>

namespace dandelion {

namespace {

constexpr size_t kMaxSettingsBytes = 1024 * 1024;
/// Shorter keys could be found by exhaustive search.
constexpr size_t kMinKeyBytes = 16;

void CheckEndpoint(std::vector<std::string>& aErrors,
                   const std::string& aPath,
                   const Endpoint& aEndpoint)
{
  in_addr address;
  if (inet_pton(AF_INET, aEndpoint.ip.c_str(), &address) != 1) {
    aErrors.push_back(fmt::format(
      "{}.ip \"{}\" is not an IPv4 address; write it as 10.0.0.1", aPath, aEndpoint.ip));
  }
  if (aEndpoint.port == 0) {
    aErrors.push_back(fmt::format("{}.port must be from 1 to 65535", aPath));
  }
}

void CheckEndpoints(std::vector<std::string>& aErrors,
                    const std::string& aPath,
                    const std::vector<Endpoint>& aEndpoints)
{
  size_t index = 0;
  for (const Endpoint& endpoint : aEndpoints) {
    CheckEndpoint(aErrors, fmt::format("{}[{}]", aPath, index++), endpoint);
  }
}

void CheckEndpointConflicts(std::vector<std::string>& aErrors, const NodeSettings& aSettings)
{
  std::map<Endpoint, std::string> used;
  auto addEndpoint = [&](const std::string& aPath, const Endpoint& aEndpoint) {
    auto [existing, isNew] = used.emplace(aEndpoint, aPath);
    if (!isNew) {
      aErrors.push_back(fmt::format("{} and {} are both {}; give each its own port",
                                    existing->second,
                                    aPath,
                                    ToText(aEndpoint)));
    }
  };
  addEndpoint("upstream", aSettings.upstream);
  addEndpoint("front", aSettings.front);
  addEndpoint("operators", aSettings.operators);
  addEndpoint("peers", aSettings.peers);
  if (aSettings.readiness.has_value()) {
    addEndpoint("readiness", *aSettings.readiness);
  }
  if (aSettings.reports.has_value()) {
    addEndpoint("reports", *aSettings.reports);
  }
}

/// The error does not contain the key, since errors are logged.
void CheckKeys(std::vector<std::string>& aErrors,
               const std::string& aPath,
               const std::vector<std::string>& aKeys)
{
  for (size_t i = 0; i < aKeys.size(); ++i) {
    if (aKeys[i].size() < kMinKeyBytes) {
      aErrors.push_back(fmt::format(
        "{}[{}] is too short for a key; use at least {} characters", aPath, i, kMinKeyBytes));
    }
  }
}

void CheckCaps(std::vector<std::string>& aErrors, const std::optional<CapSettings>& aCaps)
{
  if (aCaps.has_value() && !(aCaps->windowS > 0)) {
    aErrors.emplace_back("caps.window_s must be above 0");
  }
  if (aCaps.has_value() && !(aCaps->overage >= 0 && aCaps->slack >= 0)) {
    aErrors.emplace_back("caps.overage and caps.slack must not be negative");
  }
}

std::vector<std::string> ValidateSettings(const NodeSettings& aSettings)
{
  std::vector<std::string> errors;
  CheckEndpoint(errors, "upstream", aSettings.upstream);
  CheckEndpoint(errors, "front", aSettings.front);
  CheckEndpoint(errors, "operators", aSettings.operators);
  CheckEndpoint(errors, "peers", aSettings.peers);
  if (aSettings.readiness.has_value()) {
    CheckEndpoint(errors, "readiness", *aSettings.readiness);
  }
  if (aSettings.reports.has_value()) {
    CheckEndpoint(errors, "reports", *aSettings.reports);
  }
  if (aSettings.peersFromOtherRegions.has_value()) {
    CheckEndpoint(errors, "peers_from_other_regions", *aSettings.peersFromOtherRegions);
  }
  CheckEndpoints(errors, "store.servers", aSettings.store.servers);
  CheckEndpoints(errors, "seeds", aSettings.seeds);
  if (aSettings.store.servers.empty()) {
    errors.emplace_back("store.servers is empty; name at least one server of the store");
  }
  if (aSettings.environment == EnvironmentName::Platform &&
      !(aSettings.readiness.has_value() && aSettings.reports.has_value())) {
    errors.emplace_back("readiness and reports must be set where environment is \"platform\"");
  }
  if (aSettings.rollouts.has_value()) {
    double share = aSettings.rollouts->exposeShare;
    if (!(share >= 0 && share <= 1)) {
      errors.emplace_back("rollouts.expose_share must be from 0 to 1");
    }
    constexpr double kMaxBound = 1e9;
    bool areNumbersValid =
      aSettings.rollouts->exposeSlack >= 0 && aSettings.rollouts->exposeSlack <= kMaxBound &&
      aSettings.rollouts->rollbackMs > 0 && aSettings.rollouts->rollbackMs <= kMaxBound;
    if (!areNumbersValid) {
      errors.emplace_back("rollouts.expose_slack and rollouts.rollback_ms must be from 0 to 1e9");
    }
    if (aSettings.environment != EnvironmentName::Platform) {
      errors.emplace_back("rollouts may be set only where environment is \"platform\"");
    }
  }
  CheckCaps(errors, aSettings.caps);
  if (aSettings.zoneSharing.has_value() && aSettings.choice != ChoiceName::EarliestFinish) {
    errors.emplace_back("zone_sharing needs \"choice\": \"earliest-finish\"; set it or remove "
                        "zone_sharing");
  }
  CheckKeys(errors, "keys.nodes", aSettings.keys.nodes);
  CheckKeys(errors, "keys.operators", aSettings.keys.operators);
  CheckEndpointConflicts(errors, aSettings);
  return errors;
}

} // namespace

absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& aText)
{
  auto json = ParseJson(aText, kMaxSettingsBytes);
  if (!json.ok()) {
    return MakeError(ErrorKind::InvalidSettings, MessageOf(json.status()));
  }
  auto settings = FromJson<NodeSettings>(*json, ErrorKind::InvalidSettings);
  if (!settings.ok()) {
    return settings;
  }
  std::string text;
  for (const std::string& error : ValidateSettings(*settings)) {
    text += (text.empty() ? "" : "; ") + error;
  }
  if (!text.empty()) {
    return MakeError(ErrorKind::InvalidSettings, text);
  }
  return settings;
}

absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(
      ErrorKind::InvalidSettings,
      fmt::format("cannot read the settings file \"{}\"; check its path and permissions", aPath));
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseNodeSettings(text.str());
}

} // namespace dandelion
