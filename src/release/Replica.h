/// One node's copy of the configuration. Its version never decreases, and each update is applied
/// completely or not at all.
#ifndef DANDELION_RELEASE_REPLICA_H
#define DANDELION_RELEASE_REPLICA_H

#include "release/ConfigurationDelta.h"

#include <deque>
#include <optional>
#include <vector>

namespace dandelion {

/// Number of most recent entries that a node keeps to send them to nodes that are slightly behind.
constexpr size_t kMaxRecentEntries = 128;
/// Maximum number of recent deltas kept for the same purpose, and of the routes in all of them. The
/// most recent delta is kept whatever its size.
constexpr size_t kMaxRecentDeltas = 32;
constexpr size_t kMaxDeltaRoutes = 2000;

class Replica
{
public:
  Replica();

  /// The configuration in force on this node. Never null; its version never decreases.
  const ConfigurationPtr& Current() const { return current_; }

  /// Hash of the current configuration.
  const std::string& CurrentHash() const { return currentHash_; }

  /// Applies the entry that follows the current version. An error leaves the replica unchanged:
  /// `OlderVersion` if the entry is not newer, `VersionGap` if versions in between are missing,
  /// `WrongHash` if it was written against different contents or does not produce the result that
  /// it states, or an error of `Apply`.
  absl::Status ApplyEntry(const Entry& aEntry);

  /// Replaces the configuration with one of a higher version. An error leaves the replica
  /// unchanged: `OlderVersion`, `WrongHash`, or an error of `CheckConfiguration`.
  absl::Status ApplySnapshot(Configuration aConfiguration, const std::string& aHash);

  /// Applies a delta from the current version to a later one. An error leaves the replica
  /// unchanged: those of `ApplyDelta` and `ApplySnapshot`.
  absl::Status AdvanceByDelta(const ConfigurationDelta& aDelta);

  /// Returns the deltas that lead from `aVersion` to the current version (none if it is not older),
  /// or nullopt if the replica does not keep all of them.
  std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const;

  /// Returns the entries after `aVersion` up to the current version (none if it is not older), or
  /// nullopt if the replica does not keep all of them.
  std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const;

private:
  absl::Status ReplaceConfiguration(Configuration aConfiguration, const std::string& aHash);
  void AppendRecentDelta(ConfigurationDelta aDelta);

  ConfigurationPtr current_;
  std::string currentHash_;
  std::deque<Entry> recentEntries_;
  /// Most recent deltas; the parent of each is the version of the one before it.
  std::deque<ConfigurationDelta> recentDeltas_;
};

} // namespace dandelion

#endif
