/// One node's copy of the configuration. It only moves forward, and only by whole versions.
#ifndef DANDELION_RELEASE_REPLICA_H
#define DANDELION_RELEASE_REPLICA_H

#include "release/ConfigurationDelta.h"

#include <deque>
#include <optional>
#include <vector>

namespace dandelion {

/// Newest entries that a node keeps, to hand them to nodes that are a little behind.
constexpr size_t kMaxRecentEntries = 128;
/// Newest deltas kept for the same purpose, and the objects that they may hold together.
constexpr size_t kMaxRecentDeltas = 32;
constexpr size_t kMaxDeltaRoutes = 2000;

class Replica
{
public:
  Replica();

  /// The configuration in force on this node. Never null; the version never goes down.
  const ConfigurationPtr& Current() const { return current_; }

  /// Hash of the current configuration.
  const std::string& CurrentHash() const { return currentHash_; }

  /// Takes the entry that follows the current version. Errors leave the replica as it is:
  /// `OlderVersion` for one already held, `VersionGap` for one too new, `WrongHash` for one that
  /// belongs to another history or does not give the result it names, or why the note is bad.
  absl::Status ApplyEntry(const Entry& aEntry);

  /// Takes a whole configuration of a higher version, after checking it and its hash.
  absl::Status ApplySnapshot(Configuration aConfiguration, const std::string& aHash);

  /// Takes what turns the current version into a later one. Errors as of `ApplyEntry`.
  absl::Status AdvanceByDelta(const ConfigurationDelta& aDelta);

  /// Deltas that lead from `aVersion` to the current version, or nothing where it is not known how.
  std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const;

  /// The entries after `aVersion` up to the current version, or nothing where the tail does not
  /// reach back that far.
  std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const;

private:
  absl::Status ReplaceConfiguration(Configuration aConfiguration, const std::string& aHash);
  void AppendRecentDelta(ConfigurationDelta aDelta);

  ConfigurationPtr current_;
  std::string currentHash_;
  std::deque<Entry> recentEntries_;
  /// Newest deltas, each from the version of the one before.
  std::deque<ConfigurationDelta> recentDeltas_;
};

} // namespace dandelion

#endif
