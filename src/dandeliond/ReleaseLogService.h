/// The log of accepted notes, stored as keys of the key-value store.
#ifndef DANDELION_DANDELIOND_RELEASE_LOG_SERVICE_H
#define DANDELION_DANDELIOND_RELEASE_LOG_SERVICE_H

#include "dandeliond/ReleaseServices.h"

namespace dandelion {

/// Key of a version's note in the log. Keys sort in the order of their versions.
std::string NoteKey(Version aVersion);

class ReleaseLogService
  : public Service
  , public ReleaseLog
{
public:
  explicit ReleaseLogService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override;

  void Synchronize(OnDone aDone) override;
  void ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone) override;
  void Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone) override;
  void Repair(OnDone aDone) override;
  void Follow(int64_t aAfterRevision) override;
  void Unfollow() override;
  void OnConfirmed(OnConfirmation /* aListener */) override {}
  void Compact(OnDone aDone) override;

private:
  void ReadNextEntries();
  void OnRead(const absl::StatusOr<ReadResult>& aResult);
  absl::Status ApplyItems(const std::vector<KeyValue>& aItems, bool& aNeedsSnapshot);
  void ReadSnapshot();
  void ReadSnapshotParts(const std::string& aIndexBytes);
  void FinishSynchronize(const absl::Status& aStatus);
  void StartWatch();
  void OnWatchEvents(const std::vector<KeyValue>& aItems);
  void RestoreEntries(std::vector<Entry> aEntries, OnDone aDone);
  void DeleteBefore(Version aVersion, OnDone aDone);
  void WriteSnapshot(OnDone aDone);
  void WriteSnapshotParts(std::shared_ptr<std::vector<KeyValue>> aItems, OnDone aDone);

  const NodeContext& context_;
  Store* store_ = nullptr;
  Releases* releases_ = nullptr;
  /// Callbacks that the read in progress completes.
  std::vector<OnDone> currentWaiters_;
  /// Callbacks that arrived after that read began; the next read completes them.
  std::vector<OnDone> nextWaiters_;
  int64_t revision_ = 0;
  bool isFollowing_ = false;
  std::optional<Store::WatchId> watch_;
  Timer retryTimer_;
};

} // namespace dandelion

#endif
