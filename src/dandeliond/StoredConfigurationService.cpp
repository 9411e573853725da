#include "dandeliond/StoredConfigurationService.h"

namespace dandelion {

namespace {

/// Time between reads of an unreachable store on each node that follows it.
constexpr Duration kWatchRetryDelay = milliseconds(500);
/// The same on a node that no longer follows it.
constexpr Duration kUnwatchedRetryDelay = seconds(2);

} // namespace

StoredConfigurationService::StoredConfigurationService(const NodeContext& aContext,
                                                       std::string aKey,
                                                       Reader aReader)
  : context_(aContext)
  , key_(std::move(aKey))
  , reader_(std::move(aReader))
{
}

absl::Status StoredConfigurationService::Start()
{
  store_ = &context_.registry.Find<Store>(ServiceName::Store);
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  membership_ = &context_.registry.Find<Membership>(ServiceName::Membership);
  return absl::OkStatus();
}

void StoredConfigurationService::Synchronize(OnDone aDone)
{
  ReadRequest request;
  request.key = key_;
  TimePoint sentAt = context_.loop.Now();
  store_->Read(
    request, [this, sentAt, done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) {
      if (aResult.ok() != isReachable_) {
        isReachable_ = aResult.ok();
        Log(LogPart::Store,
            isReachable_ ? LogLevel::Info : LogLevel::Warning,
            "The store is {}: {}.",
            isReachable_ ? "back" : "lost",
            isReachable_ ? "it answers" : MessageOf(aResult.status()));
        if (!isReachable_) {
          membership_->OnStoreLost();
        }
      }
      if (aResult.ok()) {
        membership_->OnStoreAnswered(sentAt);
      }
      if (!aResult.ok()) {
        done(aResult.status());
        return;
      }
      Log(LogPart::Store,
          LogLevel::Info,
          "Key {} was read at revision {} after {} ms.",
          key_,
          aResult->revision,
          ToMilliseconds(context_.loop.Now() - sentAt));
      revision_ = std::max(revision_, aResult->revision);
      done(aResult->items.empty() ? absl::OkStatus() : ApplyItem(aResult->items.front()));
    });
}

absl::Status StoredConfigurationService::ApplyItem(const KeyValue& aItem)
{
  if (aItem.key != key_) {
    return absl::OkStatus();
  }
  auto configuration = reader_(aItem.value);
  if (!configuration.ok()) {
    Log(LogPart::Releases,
        LogLevel::Error,
        "The configuration under key {} was rejected as a whole: {}.",
        key_,
        MessageOf(configuration.status()));
    return configuration.status();
  }
  if (configuration->version <= releases_->Current()->version) {
    return absl::OkStatus();
  }
  Log(LogPart::Releases, LogLevel::Info, "The store holds version {}.", configuration->version);
  return releases_->ApplySnapshot(*configuration, HashOf(*configuration));
}

void StoredConfigurationService::ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone)
{
  Synchronize([this, done = std::move(aDone)](const absl::Status& aStatus) {
    if (KindOf(aStatus) == ErrorKind::StoreUnavailable) {
      done(aStatus);
    } else {
      done(releases_->Current()->version);
    }
  });
}

void StoredConfigurationService::Append(const Entry& /* aEntry */,
                                        std::function<void(AppendOutcome)> aDone)
{
  Log(LogPart::Store,
      LogLevel::Warning,
      "A release note was not written: change the configuration under key {} of the store instead.",
      key_);
  aDone(AppendOutcome::Occupied);
}

void StoredConfigurationService::Follow()
{
  if (!isFollowing_) {
    isFollowing_ = true;
    StartWatch();
  }
}

void StoredConfigurationService::Unfollow()
{
  isFollowing_ = false;
  if (isReachable_) {
    // An unreachable store is read until it answers, so that this node's member record shows that
    // it does.
    retryTimer_.Cancel();
  }
  if (watch_.has_value()) {
    store_->CancelWatch(*watch_);
    watch_.reset();
  }
}

void StoredConfigurationService::StartWatch()
{
  if (isReading_) {
    return;
  }
  isReading_ = true;
  Synchronize([this](const absl::Status& aStatus) {
    isReading_ = false;
    if (!aStatus.ok() && KindOf(aStatus) == ErrorKind::StoreUnavailable) {
      RetryWatch();
      return;
    }
    if (!isFollowing_ || watch_.has_value()) {
      return;
    }
    auto onEvents = [this](const std::vector<KeyValue>& aItems) {
      // Only the newest configuration is applied; the others were never in force on this node.
      if (!aItems.empty()) {
        // `ApplyItem` logs why it rejects a configuration.
        (void)ApplyItem(aItems.back());
      }
    };
    auto onEnd = [this] {
      watch_.reset();
      RetryWatch();
    };
    watch_ = store_->Watch(key_, revision_, onEvents, onEnd);
  });
}

void StoredConfigurationService::RetryWatch()
{
  Duration delay = isFollowing_ ? kWatchRetryDelay : kUnwatchedRetryDelay;
  retryTimer_ = context_.loop.After(delay, [this] { StartWatch(); });
}

} // namespace dandelion
