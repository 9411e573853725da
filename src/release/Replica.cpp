#include "release/Replica.h"

#include "release/Apply.h"

namespace dandelion {

namespace {

absl::Status OlderVersion(Version aReceived, Version aCurrent)
{
  return MakeError(ErrorKind::OlderVersion,
                   fmt::format("version {} is not newer than version {} in force; ignore it",
                               aReceived,
                               aCurrent));
}

} // namespace

Replica::Replica()
  : current_(std::make_shared<Configuration>())
  , currentHash_(HashOf(*current_))
{
}

absl::Status Replica::ApplyEntry(const Entry& aEntry)
{
  if (aEntry.version <= current_->version) {
    return OlderVersion(aEntry.version, current_->version);
  }
  if (aEntry.version != current_->version + 1) {
    return MakeError(ErrorKind::VersionGap,
                     fmt::format("version {} does not follow version {}; fetch the versions in "
                                 "between",
                                 aEntry.version,
                                 current_->version));
  }
  if (aEntry.parentHash != currentHash_) {
    return MakeError(
      ErrorKind::WrongHash,
      fmt::format("entry {} was written against different contents of version {}; the "
                  "log has forked",
                  aEntry.version,
                  current_->version));
  }
  auto result = Apply(*current_, aEntry.note, aEntry.note.base.value_or(current_->version));
  if (!result.ok()) {
    return result.status();
  }
  std::string resultHash = HashOf(*result);
  if (resultHash != aEntry.resultHash) {
    return MakeError(ErrorKind::WrongHash,
                     fmt::format("entry {} produces hash {}, but states {}; fetch it again",
                                 aEntry.version,
                                 resultHash,
                                 aEntry.resultHash));
  }
  // All checks have passed. Replacing the pointer shows readers either the old or the new
  // configuration, never a mixture.
  current_ = std::make_shared<Configuration>(*std::move(result));
  currentHash_ = std::move(resultHash);
  recentEntries_.push_back(aEntry);
  if (recentEntries_.size() > kMaxRecentEntries) {
    recentEntries_.pop_front();
  }
  return absl::OkStatus();
}

absl::Status Replica::ApplySnapshot(Configuration aConfiguration, const std::string& aHash)
{
  ConfigurationPtr previous = current_;
  std::string previousHash = currentHash_;
  absl::Status status = ReplaceConfiguration(std::move(aConfiguration), aHash);
  if (!status.ok()) {
    return status;
  }
  // The recent entries must be contiguous up to the current version. A snapshot skips versions, so
  // the entries before it are discarded.
  recentEntries_.clear();
  // A delta contains no notes, so none is made between configurations that remember notes.
  bool hasNotes = !previous->notes.empty() || !current_->notes.empty();
  if (previous->version == 0 || hasNotes) {
    recentDeltas_.clear();
  } else {
    AppendRecentDelta(MakeDelta(*previous, previousHash, *current_, currentHash_));
  }
  return absl::OkStatus();
}

absl::Status Replica::AdvanceByDelta(const ConfigurationDelta& aDelta)
{
  if (aDelta.version <= current_->version) {
    return OlderVersion(aDelta.version, current_->version);
  }
  auto result = ApplyDelta(*current_, currentHash_, aDelta);
  if (!result.ok()) {
    return result.status();
  }
  absl::Status status = ReplaceConfiguration(*std::move(result), aDelta.resultHash);
  if (status.ok()) {
    recentEntries_.clear();
    AppendRecentDelta(aDelta);
  }
  return status;
}

absl::Status Replica::ReplaceConfiguration(Configuration aConfiguration, const std::string& aHash)
{
  if (aConfiguration.version <= current_->version) {
    return OlderVersion(aConfiguration.version, current_->version);
  }
  std::string hash = HashOf(aConfiguration);
  if (hash != aHash) {
    return MakeError(
      ErrorKind::WrongHash,
      fmt::format(
        "the contents of version {} have hash {}, but {} was stated; fetch the version again",
        aConfiguration.version,
        hash,
        aHash));
  }
  absl::Status configurationStatus = CheckConfiguration(aConfiguration);
  if (!configurationStatus.ok()) {
    return configurationStatus;
  }
  current_ = std::make_shared<Configuration>(std::move(aConfiguration));
  currentHash_ = std::move(hash);
  return absl::OkStatus();
}

void Replica::AppendRecentDelta(ConfigurationDelta aDelta)
{
  recentDeltas_.push_back(std::move(aDelta));
  size_t routes = 0;
  for (const ConfigurationDelta& delta : recentDeltas_) {
    routes += delta.routes.size();
  }
  while (recentDeltas_.size() > kMaxRecentDeltas ||
         (routes > kMaxDeltaRoutes && recentDeltas_.size() > 1)) {
    routes -= recentDeltas_.front().routes.size();
    recentDeltas_.pop_front();
  }
}

std::optional<std::vector<ConfigurationDelta>> Replica::DeltasAfter(Version aVersion) const
{
  std::vector<ConfigurationDelta> deltas;
  for (const ConfigurationDelta& delta : recentDeltas_) {
    if (delta.parent == aVersion || !deltas.empty()) {
      deltas.push_back(delta);
    }
  }
  bool isCurrent = aVersion >= current_->version;
  return deltas.empty() && !isCurrent ? std::nullopt : std::optional(std::move(deltas));
}

std::optional<std::vector<Entry>> Replica::EntriesAfter(Version aVersion) const
{
  std::vector<Entry> entries;
  if (aVersion >= current_->version) {
    return entries;
  }
  if (recentEntries_.empty() || recentEntries_.front().version > aVersion + 1) {
    return std::nullopt;
  }
  for (const Entry& entry : recentEntries_) {
    if (entry.version > aVersion) {
      entries.push_back(entry);
    }
  }
  return entries;
}

} // namespace dandelion
