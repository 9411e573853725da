/// Client of the platform's key-value store, whose protocol is JSON over HTTP.
#ifndef DANDELION_PLATFORM_KEY_VALUE_STORE_H
#define DANDELION_PLATFORM_KEY_VALUE_STORE_H

#include "codec/Codec.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// Timing of a watch's requests.
struct WatchTiming
{
  /// How long the store may hold a watch request before the watch is renewed.
  Duration renewalPeriod = kWatchRenewalPeriod;
  /// A request without an answer for this much longer is given up, so that a connection that has
  /// gone silent cannot hide changes.
  Duration answerMargin = kWatchAnswerMargin;
  /// Pause after each change, so that changes in quick succession are fetched together.
  Duration pauseAfterChange = milliseconds(300);
};

class KeyValueStore
  : public Service
  , public Store
{
public:
  KeyValueStore(Loop& aLoop,
                Endpoint aServer,
                Duration aTimeout,
                WatchTiming aTiming = WatchTiming());

  void Read(const ReadRequest& aRequest, OnRead aDone) override;
  void Create(const CreateRequest& aRequest, OnCreated aDone) override;
  void Swap(const SwapRequest& aRequest, OnSwapped aDone) override;
  void Put(const std::string& aKey,
           const std::string& aValue,
           std::optional<Duration> aTimeToLive,
           OnDone aDone) override;
  void DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone) override;
  WatchId Watch(const std::string& aPrefix,
                int64_t aAfterRevision,
                OnEvents aOnEvents,
                std::function<void()> aOnEnd) override;
  void CancelWatch(WatchId aId) override;
  uint64_t CallCount() const override { return callCount_; }

private:
  struct Reply
  {
    int status = 0;
    Json body;
    /// Of the store when it answered.
    int64_t era = 0;
  };
  using OnReply = std::function<void(const absl::StatusOr<Reply>&)>;
  struct WatchState
  {
    std::string prefix;
    int64_t revision = 0;
    OnEvents onEvents;
    std::function<void()> onEnd;
    HttpClient::RequestId request = 0;
    /// When the latest request of the watch was sent, and how long the store may hold it.
    TimePoint sentAt;
    Duration wait = Duration::zero();
    Timer pauseTimer;
  };

  HttpClient::RequestId SendRequest(const std::string& aMethod,
                                    const std::string& aTarget,
                                    const std::string& aBody,
                                    Duration aTimeout,
                                    OnReply aDone);
  /// Handles the era that an answer names, which may have risen. Returns whether the answer may be
  /// used.
  bool AcceptEra(const std::string& aText);
  void EndWatch(WatchId aId);
  /// Ends all watches: what they report may be incomplete.
  void EndWatches();
  void ReadKey(const ReadRequest& aRequest, OnRead aDone);
  void ReadPage(const ReadRequest& aRequest,
                const std::string& aAfter,
                ReadResult aPreviousPages,
                OnRead aDone);
  void CommitTransaction(const Json& aBody, OnReply aDone);
  void PutWithLease(const std::string& aKey,
                    const std::string& aValue,
                    int64_t aLease,
                    OnDone aDone);
  void RenewWatch(WatchId aId, Duration aWait);
  void OnWatchReply(WatchId aId, const absl::StatusOr<Reply>& aReply);

  Loop& loop_;
  HttpClient client_;
  Endpoint server_;
  Duration timeout_;
  WatchTiming timing_;
  uint64_t callCount_ = 0;
  /// The highest era that an answer has named.
  int64_t era_ = 0;
  bool hasLoggedInvalidEra_ = false;
  WatchId nextWatch_ = 1;
  std::map<WatchId, WatchState> watches_;
};

} // namespace dandelion::platform

#endif
