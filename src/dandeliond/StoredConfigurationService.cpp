#include "dandeliond/StoredConfigurationService.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Time from a failed read to the next one, and least time between the beginnings of two reads or
/// of two watches, on each node that follows the store.
constexpr Duration kWatchRetryDelay = milliseconds(500);
/// The same after several failed reads, as all nodes may follow a store that is down.
constexpr Duration kMaxWatchRetryDelay = seconds(1);
/// The same on a node that no longer follows it.
constexpr Duration kUnwatchedRetryDelay = seconds(2);

} // namespace

StoredConfigurationService::StoredConfigurationService(const NodeContext& aContext,
                                                       std::string aKey,
                                                       Reader aReader,
                                                       std::string aWatchPrefix)
  : context_(aContext)
  , key_(std::move(aKey))
  , reader_(std::move(aReader))
  , watchPrefix_(aWatchPrefix.empty() ? key_ : std::move(aWatchPrefix))
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
  store_->Read(request,
               [this, sentAt, done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) {
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
                 absl::Status status =
                   aResult->items.empty() ? absl::OkStatus() : ApplyItem(aResult->items.front());
                 holdsNewest_ = status.ok();
                 Confirm(sentAt);
                 done(status);
               });
}

absl::Status StoredConfigurationService::ApplyItem(const KeyValue& aItem)
{
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

void StoredConfigurationService::Confirm(TimePoint aAsOf)
{
  if (!holdsNewest_) {
    return;
  }
  for (const auto& listener : confirmedListeners_) {
    listener(aAsOf, revision_);
  }
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

void StoredConfigurationService::Follow(int64_t aAfterRevision)
{
  if (isFollowing_) {
    return;
  }
  isFollowing_ = true;
  isContinued_ = false;
  revision_ = std::max(revision_, aAfterRevision);
  // Many nodes may begin to follow at once, so a node that knows a revision does not read the whole
  // configuration.
  if (revision_ > 0 && isReachable_) {
    BeginWatch();
  } else {
    ReadAndWatch();
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

void StoredConfigurationService::ReadAndWatch()
{
  if (isReading_) {
    return;
  }
  isReading_ = true;
  readBeganAt_ = context_.loop.Now();
  isContinued_ = false;
  Synchronize([this](const absl::Status& aStatus) {
    isReading_ = false;
    if (!aStatus.ok() && KindOf(aStatus) == ErrorKind::StoreUnavailable) {
      ++failedReads_;
      RetryRead();
      return;
    }
    failedReads_ = 0;
    BeginWatch();
  });
}

void StoredConfigurationService::BeginWatch()
{
  if (!isFollowing_ || watch_.has_value()) {
    return;
  }
  watchBeganAt_ = context_.loop.Now();
  hasWatchAnswered_ = false;
  auto onEvents = [this](const WatchEvents& aEvents) { OnWatchEvents(aEvents); };
  watch_ = store_->Watch(watchPrefix_, revision_, onEvents, [this] { OnWatchEnd(); });
  // Reads of the configuration raise the revision, and other keys may have changed before it.
  bool isContinued = isContinued_ && revision_ == watchedRevision_;
  watchedRevision_ = revision_;
  if (onOperatorWatch_ && !isContinued) {
    onOperatorWatch_();
  }
}

void StoredConfigurationService::OnWatchEvents(const WatchEvents& aEvents)
{
  hasWatchAnswered_ = true;
  // Only the newest configuration is applied; the others were never in force on this node. A watch
  // also reports keys that only begin like this one.
  auto isConfiguration = [this](const KeyValue& aItem) { return aItem.key == key_; };
  auto newest = std::find_if(aEvents.items.rbegin(), aEvents.items.rend(), isConfiguration);
  if (newest != aEvents.items.rend()) {
    holdsNewest_ = ApplyItem(*newest).ok();
  }
  revision_ = std::max(revision_, aEvents.revision);
  watchedRevision_ = std::max(watchedRevision_, aEvents.revision);
  if (onOperatorEvents_) {
    onOperatorEvents_(aEvents);
  }
  if (aEvents.asOf.has_value()) {
    Confirm(*aEvents.asOf);
  }
}

void StoredConfigurationService::OnWatchEnd()
{
  watch_.reset();
  isContinued_ = true;
  // A watch that has answered is begun again over another connection. One that never did asked for
  // history that the store has dropped, or the store does not answer at all; a read tells which.
  std::optional<TimePoint> last = hasWatchAnswered_ ? watchBeganAt_ : readBeganAt_;
  Duration wait = Duration::zero();
  if (last.has_value()) {
    wait = std::max(*last + kWatchRetryDelay - context_.loop.Now(), Duration::zero());
  }
  retryTimer_ = context_.loop.After(wait, [this] {
    if (hasWatchAnswered_) {
      BeginWatch();
    } else {
      ReadAndWatch();
    }
  });
}

void StoredConfigurationService::RetryRead()
{
  Duration delay = failedReads_ > 1 ? kMaxWatchRetryDelay : kWatchRetryDelay;
  if (!isFollowing_) {
    delay = kUnwatchedRetryDelay;
  }
  retryTimer_ = context_.loop.After(delay, [this] { ReadAndWatch(); });
}

} // namespace dandelion
