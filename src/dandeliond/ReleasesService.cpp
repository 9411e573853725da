#include "dandeliond/ReleasesService.h"

namespace dandelion {

ReleasesService::ReleasesService()
  : routes_(std::make_shared<RouteTable>(replica_.Current()))
  , accounts_(std::make_shared<AccountTable>(replica_.Current()))
{
}

absl::Status ReleasesService::ApplyEntries(const std::vector<Entry>& aEntries)
{
  return ApplyNewer(aEntries);
}

absl::Status ReleasesService::ApplyDeltas(const std::vector<ConfigurationDelta>& aDeltas)
{
  return ApplyNewer(aDeltas);
}

template<class Update>
absl::Status ReleasesService::ApplyNewer(const std::vector<Update>& aUpdates)
{
  Version before = Current()->version;
  absl::Status status;
  for (const Update& update : aUpdates) {
    if (update.version <= Current()->version) {
      continue;
    }
    status = Apply(update);
    if (!status.ok()) {
      Log(LogPart::Releases,
          LogLevel::Warning,
          "Version {} was rejected: {}.",
          update.version,
          MessageOf(status));
      break;
    }
  }
  if (Current()->version > before) {
    Publish();
  }
  return status;
}

absl::Status ReleasesService::ApplySnapshot(const Configuration& aConfiguration,
                                            const std::string& aHash)
{
  if (aConfiguration.version <= Current()->version) {
    return absl::OkStatus();
  }
  absl::Status status = replica_.ApplySnapshot(aConfiguration, aHash);
  if (!status.ok()) {
    Log(LogPart::Releases,
        LogLevel::Warning,
        "The snapshot of version {} was rejected: {}.",
        aConfiguration.version,
        MessageOf(status));
    return status;
  }
  Publish();
  return status;
}

void ReleasesService::Publish()
{
  routes_ = std::make_shared<RouteTable>(replica_.Current());
  accounts_ = std::make_shared<AccountTable>(replica_.Current());
  Log(LogPart::Releases, LogLevel::Info, "Version {} is in force.", Current()->version);
  for (const auto& listener : listeners_) {
    listener();
  }
}

} // namespace dandelion
