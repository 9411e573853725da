/// Reads complete configurations that operators keep in the store, instead of a log of notes.
#ifndef DANDELION_DANDELIOND_STORED_CONFIGURATION_SERVICE_H
#define DANDELION_DANDELIOND_STORED_CONFIGURATION_SERVICE_H

#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

/// The store is authoritative: this service appends, repairs and compacts nothing.
class StoredConfigurationService
  : public Service
  , public ReleaseLog
  , public OperatorKeys
{
public:
  /// Parses a configuration from the bytes that operators wrote.
  using Reader = std::function<absl::StatusOr<Configuration>(const std::string&)>;

  /// Watches `aWatchPrefix`, of which `aKey` must be one, or only the key if it is empty.
  StoredConfigurationService(const NodeContext& aContext,
                             std::string aKey,
                             Reader aReader,
                             std::string aWatchPrefix = "");

  absl::Status Start() override;
  void Stop() override { Unfollow(); }

  void Synchronize(OnDone aDone) override;
  void ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone) override;
  void Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone) override;
  void Repair(OnDone aDone) override { aDone(absl::OkStatus()); }
  void Follow(int64_t aAfterRevision) override;
  void Unfollow() override;
  void OnConfirmed(OnConfirmation aListener) override
  {
    confirmedListeners_.push_back(std::move(aListener));
  }
  void Compact(OnDone aDone) override { aDone(absl::OkStatus()); }
  void OnOperatorEvents(std::function<void(const WatchEvents&)> aCallback) override
  {
    onOperatorEvents_ = std::move(aCallback);
  }
  void OnOperatorWatch(std::function<void()> aCallback) override
  {
    onOperatorWatch_ = std::move(aCallback);
  }

private:
  absl::Status ApplyItem(const KeyValue& aItem);
  void OnWatchEvents(const WatchEvents& aEvents);
  /// Tells the listeners that this node held the newest version at `aAsOf`, unless it has rejected
  /// the one in the store.
  void Confirm(TimePoint aAsOf);
  /// Reads the configuration and then watches it.
  void ReadAndWatch();
  /// Watches the changes after the last known revision.
  void BeginWatch();
  void OnWatchEnd();
  void RetryRead();

  const NodeContext& context_;
  std::string key_;
  Reader reader_;
  std::string watchPrefix_;
  Store* store_ = nullptr;
  Releases* releases_ = nullptr;
  Membership* membership_ = nullptr;
  /// All that the store held at this revision is in force here, or was rejected.
  int64_t revision_ = 0;
  bool isFollowing_ = false;
  bool isReading_ = false;
  /// Whether the store answered the latest read.
  bool isReachable_ = true;
  /// Whether the configuration that was last read from the store was not rejected.
  bool holdsNewest_ = true;
  /// Reads in a row without an answer of the store.
  int failedReads_ = 0;
  /// When the latest read before a watch began, and the latest watch.
  std::optional<TimePoint> readBeganAt_;
  std::optional<TimePoint> watchBeganAt_;
  bool hasWatchAnswered_ = false;
  std::vector<OnConfirmation> confirmedListeners_;
  std::function<void(const WatchEvents&)> onOperatorEvents_;
  std::function<void()> onOperatorWatch_;
  /// Whether the next watch continues where the last one ended.
  bool isContinued_ = false;
  /// All changes up to this revision were reported by watches.
  int64_t watchedRevision_ = 0;
  std::optional<Store::WatchId> watch_;
  Timer retryTimer_;
};

} // namespace dandelion

#endif
