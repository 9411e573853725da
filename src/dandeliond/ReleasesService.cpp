#include "dandeliond/ReleasesService.h"

namespace dandelion {

ReleasesService::ReleasesService()
  : routes_(std::make_shared<RouteTable>(replica_.Current()))
{
}

absl::Status ReleasesService::Offer(const std::vector<Entry>& aEntries)
{
  Version before = Current()->version;
  absl::Status status;
  for (const Entry& entry : aEntries) {
    if (entry.version <= Current()->version) {
      continue;
    }
    status = replica_.ApplyEntry(entry);
    if (!status.ok()) {
      Log(LogPart::Releases,
          LogLevel::Warning,
          "Version {} is not taken: {}.",
          entry.version,
          Reason(status));
      break;
    }
  }
  if (Current()->version > before) {
    Publish();
  }
  return status;
}

absl::Status ReleasesService::OfferSnapshot(const Configuration& aConfiguration,
                                            const std::string& aHash)
{
  if (aConfiguration.version <= Current()->version) {
    return absl::OkStatus();
  }
  absl::Status status = replica_.ApplySnapshot(aConfiguration, aHash);
  if (!status.ok()) {
    Log(LogPart::Releases, LogLevel::Warning, "A snapshot is not taken: {}.", Reason(status));
    return status;
  }
  Publish();
  return status;
}

void ReleasesService::Publish()
{
  routes_ = std::make_shared<RouteTable>(replica_.Current());
  Log(LogPart::Releases, LogLevel::Info, "Version {} is in force.", Current()->version);
  for (const auto& listener : listeners_) {
    listener();
  }
}

} // namespace dandelion
