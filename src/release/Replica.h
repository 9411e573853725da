/// One node's copy of the configuration. It only moves forward, and only by whole versions.
#ifndef DANDELION_RELEASE_REPLICA_H
#define DANDELION_RELEASE_REPLICA_H

#include "release/Configuration.h"

#include <deque>
#include <optional>
#include <vector>

namespace dandelion {

/// Newest entries that a node keeps, to hand them to nodes that are a little behind.
constexpr size_t kTailEntries = 128;

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

  /// The entries after `aVersion` up to the current version, or nothing where the tail does not
  /// reach back that far.
  std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const;

private:
  ConfigurationPtr current_;
  std::string currentHash_;
  std::deque<Entry> tail_;
};

} // namespace dandelion

#endif
