/// Interfaces of the services that keep, read and submit configurations.
#ifndef DANDELION_DANDELIOND_RELEASE_SERVICES_H
#define DANDELION_DANDELIOND_RELEASE_SERVICES_H

#include "dandeliond/NodeContext.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelion {

/// `ServiceName::Releases`: the configuration in force on this node.
class Releases
{
public:
  virtual ~Releases() = default;
  virtual const ConfigurationPtr& Current() const = 0;
  virtual const std::string& CurrentHash() const = 0;
  /// Routes of the current configuration. The table does not change, so a call that keeps it is
  /// routed by one version.
  virtual std::shared_ptr<const RouteTable> Routes() const = 0;
  /// Accounts of the current configuration, the same one as that of `Routes`.
  virtual std::shared_ptr<const AccountTable> Accounts() const = 0;
  /// Applies the entries that follow the current version; older ones are ignored. Returns the error
  /// of the first entry that cannot be applied.
  virtual absl::Status ApplyEntries(const std::vector<Entry>& aEntries) = 0;
  /// Applies a whole configuration; one that is not newer is ignored. Returns the error of a
  /// configuration that cannot be applied.
  virtual absl::Status ApplySnapshot(const Configuration& aConfiguration,
                                     const std::string& aHash) = 0;
  /// Applies the deltas that follow the current version; older ones are ignored. Returns the error
  /// of the first delta that cannot be applied.
  virtual absl::Status ApplyDeltas(const std::vector<ConfigurationDelta>& aDeltas) = 0;
  /// Entries, or deltas, that lead from a version to the current one; nothing if they are not all
  /// kept here.
  virtual std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const = 0;
  virtual std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const = 0;
  /// Adds a listener that is called after each increase of the version. Listeners are called in the
  /// order in which they were added.
  virtual void AddListener(std::function<void()> aOnVersion) = 0;
};

/// Changes of all keys that operators write, on a node that follows the store. Implemented by the
/// release log that is read from such keys.
class OperatorKeys
{
public:
  virtual ~OperatorKeys() = default;
  /// Sets the callback for each answer of the watch; other keys than orders may be among its
  /// events.
  virtual void OnOperatorEvents(std::function<void(const WatchEvents&)> aCallback) = 0;
  /// Sets the callback for the beginning of a watch that may have missed changes before it.
  virtual void OnOperatorWatch(std::function<void()> aCallback) = 0;
};

/// `ServiceName::ReleaseLog`: the log of accepted notes in the store.
class ReleaseLog
{
public:
  using OnDone = std::function<void(const absl::Status&)>;
  using OnConfirmation = std::function<void(TimePoint aAsOf, int64_t aRevision)>;

  virtual ~ReleaseLog() = default;
  /// Brings the replica to the head of the log by a read that begins after this call. Errors:
  /// `StoreUnavailable`; `StoreBehind` if the log lacks entries that the replica has; `WrongHash`
  /// if the histories of the two have diverged.
  virtual void Synchronize(OnDone aDone) = 0;
  /// Reads the highest version in the log, 0 for an empty log.
  virtual void ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone) = 0;
  virtual void Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone) = 0;
  /// Writes the entries that the store has lost to the log again, from this node's replica.
  virtual void Repair(OnDone aDone) = 0;
  /// Watches the log until `Unfollow` and applies new entries to the replica. All that the store
  /// held at `aAfterRevision` is in force already; 0 if no such revision is known.
  virtual void Follow(int64_t aAfterRevision) = 0;
  virtual void Unfollow() = 0;
  /// Adds a listener that is called when the store has shown that this node's version was the
  /// newest one at a time and a revision. Only logs of which progress is not tracked call it.
  virtual void OnConfirmed(OnConfirmation aListener) = 0;
  /// Writes a snapshot of the current configuration and deletes old notes that it covers.
  virtual void Compact(OnDone aDone) = 0;
};

/// `ServiceName::Submissions`: submission of release notes to the log.
class Submissions
{
public:
  using OnStatus = std::function<void(const NoteStatus&)>;

  virtual ~Submissions() = default;
  /// Submits a note; `aDone` is called when it is accepted or refused, or at the time limit.
  virtual void Submit(const Note& aNote, Duration aTimeLimit, OnStatus aDone) = 0;
  virtual void StatusOf(const std::string& aId, OnStatus aDone) = 0;
};

} // namespace dandelion

#endif
