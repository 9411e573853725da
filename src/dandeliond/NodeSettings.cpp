#include "dandeliond/NodeSettings.h"

#include <arpa/inet.h>

#include <fstream>
#include <map>
#include <sstream>

namespace dandelion {

namespace {

constexpr size_t kMaxSettingsBytes = 1024 * 1024;
/// Shorter keys could be guessed.
constexpr size_t kShortestKey = 16;

void CheckEndpoint(std::vector<std::string>& aFaults,
                   const std::string& aPath,
                   const Endpoint& aEndpoint)
{
  in_addr address;
  if (inet_pton(AF_INET, aEndpoint.ip.c_str(), &address) != 1) {
    aFaults.push_back(
      fmt::format("{}.ip \"{}\" is not an IPv4 number; write it as 10.0.0.1", aPath, aEndpoint.ip));
  }
  if (aEndpoint.port == 0) {
    aFaults.push_back(fmt::format("{}.port must be from 1 to 65535", aPath));
  }
}

void CheckEndpoints(std::vector<std::string>& aFaults,
                    const std::string& aPath,
                    const std::vector<Endpoint>& aEndpoints)
{
  size_t index = 0;
  for (const Endpoint& endpoint : aEndpoints) {
    CheckEndpoint(aFaults, fmt::format("{}[{}]", aPath, index++), endpoint);
  }
}

void CheckClashes(std::vector<std::string>& aFaults, const NodeSettings& aSettings)
{
  std::map<Endpoint, std::string> used;
  auto claim = [&](const std::string& aPath, const Endpoint& aEndpoint) {
    auto [other, isNew] = used.emplace(aEndpoint, aPath);
    if (!isNew) {
      aFaults.push_back(fmt::format(
        "{} and {} are both {}; give each its own port", other->second, aPath, ToText(aEndpoint)));
    }
  };
  claim("upstream", aSettings.upstream);
  claim("front", aSettings.front);
  claim("operators", aSettings.operators);
  claim("peers", aSettings.peers);
  if (aSettings.readiness.has_value()) {
    claim("readiness", *aSettings.readiness);
  }
  if (aSettings.reports.has_value()) {
    claim("reports", *aSettings.reports);
  }
}

/// The fault does not show the key: it would end in a log.
void CheckKeys(std::vector<std::string>& aFaults,
               const std::string& aPath,
               const std::vector<std::string>& aKeys)
{
  for (size_t i = 0; i < aKeys.size(); ++i) {
    if (aKeys[i].size() < kShortestKey) {
      aFaults.push_back(fmt::format(
        "{}[{}] is too short for a key; give {} characters or more", aPath, i, kShortestKey));
    }
  }
}

std::vector<std::string> FindFaults(const NodeSettings& aSettings)
{
  std::vector<std::string> faults;
  CheckEndpoint(faults, "upstream", aSettings.upstream);
  CheckEndpoint(faults, "front", aSettings.front);
  CheckEndpoint(faults, "operators", aSettings.operators);
  CheckEndpoint(faults, "peers", aSettings.peers);
  if (aSettings.readiness.has_value()) {
    CheckEndpoint(faults, "readiness", *aSettings.readiness);
  }
  if (aSettings.reports.has_value()) {
    CheckEndpoint(faults, "reports", *aSettings.reports);
  }
  if (aSettings.peersFromOtherRegions.has_value()) {
    CheckEndpoint(faults, "peers_from_other_regions", *aSettings.peersFromOtherRegions);
  }
  CheckEndpoints(faults, "store.servers", aSettings.store.servers);
  CheckEndpoints(faults, "seeds", aSettings.seeds);
  if (aSettings.store.servers.empty()) {
    faults.emplace_back("store.servers is empty; name at least one server of the store");
  }
  if (aSettings.environment == EnvironmentName::Platform &&
      !(aSettings.readiness.has_value() && aSettings.reports.has_value())) {
    faults.emplace_back("readiness and reports must be set where environment is \"platform\"");
  }
  CheckKeys(faults, "keys.nodes", aSettings.keys.nodes);
  CheckKeys(faults, "keys.operators", aSettings.keys.operators);
  CheckClashes(faults, aSettings);
  return faults;
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
  for (const std::string& fault : FindFaults(*settings)) {
    text += (text.empty() ? "" : "; ") + fault;
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
    return MakeError(ErrorKind::InvalidSettings,
                     fmt::format("cannot read \"{}\"; check the path and its rights", aPath));
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseNodeSettings(text.str());
}

} // namespace dandelion
