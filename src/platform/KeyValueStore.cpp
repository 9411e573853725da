#include "platform/KeyValueStore.h"

#include "platform/ProtocolNames.h"
#include "platform/StoreMessages.h"

#include "absl/strings/numbers.h"

#include <algorithm>

namespace dandelion::platform {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr size_t kMaxKeysPerTransaction = 32;
/// Connections may go silent without being closed. A call therefore reuses only a connection that
/// has just answered; connecting again costs one round trip.
constexpr Duration kMaxIdleTime = milliseconds(100);

absl::Status Unavailable(int aStatus)
{
  return MakeError(
    ErrorKind::StoreUnavailable,
    fmt::format("the store answered with status {}; the request is retried", aStatus));
}

} // namespace

KeyValueStore::KeyValueStore(Loop& aLoop, Endpoint aServer, Duration aTimeout, WatchTiming aTiming)
  : loop_(aLoop)
  , client_(aLoop)
  , server_(std::move(aServer))
  , timeout_(aTimeout)
  , timing_(aTiming)
{
}

HttpClient::RequestId KeyValueStore::SendRequest(const std::string& aMethod,
                                                 const std::string& aTarget,
                                                 const std::string& aBody,
                                                 Duration aTimeout,
                                                 OnReply aDone)
{
  ++callCount_;
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  if (!aBody.empty()) {
    request.headers.emplace_back("Content-Type", "application/json");
  }
  auto onResult = [this, done = std::move(aDone)](const HttpResult& aResult) {
    if (aResult.outcome != HttpOutcome::Answered) {
      done(MakeError(ErrorKind::StoreUnavailable,
                     "the store does not answer; the request is retried"));
      return;
    }
    if (!AcceptEra(FindHeader(aResult.response.headers, kStoreEraHeader))) {
      done(MakeError(ErrorKind::StoreUnavailable,
                     "the answer is from before the store returned; the request is retried"));
      return;
    }
    Reply reply;
    reply.status = aResult.response.status;
    reply.era = era_;
    reply.body = ParseForeignJson(aResult.response.body.Text());
    done(reply);
  };
  HttpSendOptions options;
  options.timeout = aTimeout;
  options.maxIdleTime = kMaxIdleTime;
  return client_.Send(server_, request, options, onResult);
}

bool KeyValueStore::AcceptEra(const std::string& aText)
{
  if (aText.empty()) {
    return true;
  }
  int64_t era = 0;
  if (!absl::SimpleAtoi(aText, &era) || era < 0 || era > kMaxStoreEra) {
    if (!hasLoggedInvalidEra_) {
      hasLoggedInvalidEra_ = true;
      Log(LogPart::Store,
          LogLevel::Warning,
          "The store names an era that is no number from 0 to {}; it is ignored.",
          kMaxStoreEra);
    }
    return true;
  }
  if (era > era_) {
    Log(LogPart::Store,
        LogLevel::Info,
        "The store is in era {} after era {}; {} watches end, and their keys are read again.",
        era,
        era_,
        watches_.size());
    era_ = era;
    EndWatches();
  }
  return era == era_;
}

void KeyValueStore::EndWatches()
{
  std::vector<std::function<void()>> onEnds;
  for (auto& [id, watch] : watches_) {
    client_.Cancel(watch.request);
    onEnds.push_back(std::move(watch.onEnd));
  }
  watches_.clear();
  for (const auto& onEnd : onEnds) {
    onEnd();
  }
}

void KeyValueStore::Read(const ReadRequest& aRequest, OnRead aDone)
{
  if (aRequest.end.has_value()) {
    ReadPage(aRequest, "", ReadResult(), std::move(aDone));
  } else {
    ReadKey(aRequest, std::move(aDone));
  }
}

void KeyValueStore::ReadKey(const ReadRequest& aRequest, OnRead aDone)
{
  auto onReply = [done = std::move(aDone)](const absl::StatusOr<Reply>& aReply) {
    if (!aReply.ok()) {
      done(aReply.status());
      return;
    }
    if (aReply->status != kOk && aReply->status != kNotFound) {
      done(Unavailable(aReply->status));
      return;
    }
    ReadResult result;
    result.revision = ReadRevision(aReply->body, "at-rev", aReply->era);
    std::optional<KeyValue> item = ReadItem(aReply->body, aReply->era);
    if (aReply->status == kOk && !item.has_value()) {
      done(MakeError(ErrorKind::BrokenMessage, "the store's answer holds no valid item"));
      return;
    }
    if (item.has_value()) {
      result.items.push_back(*std::move(item));
    }
    done(result);
  };
  SendRequest("GET", "/v1/kv-key?key=" + PercentEncode(aRequest.key), "", timeout_, onReply);
}

/// Reads a prefix page by page. Ranges are read only as whole prefixes here, so the request's key
/// is the prefix, and its end, limit and order are not used.
void KeyValueStore::ReadPage(const ReadRequest& aRequest,
                             const std::string& aAfter,
                             ReadResult aPreviousPages,
                             OnRead aDone)
{
  std::string target = "/v1/kv-range?path-prefix=" + PercentEncode(aRequest.key);
  if (!aAfter.empty()) {
    target += "&after=" + PercentEncode(aAfter);
  }
  auto onReply =
    [this, aRequest, aAfter, previousPages = std::move(aPreviousPages), done = std::move(aDone)](
      const absl::StatusOr<Reply>& aReply) {
      if (!aReply.ok() || aReply->status != kOk) {
        done(aReply.ok() ? Unavailable(aReply->status) : aReply.status());
        return;
      }
      ReadResult result = previousPages;
      for (KeyValue& item : ReadItems(aReply->body, "items", aReply->era)) {
        result.items.push_back(std::move(item));
      }
      // The pages are not one consistent snapshot, so a watch starts after the revision of the
      // first.
      result.revision =
        result.revision == 0 ? ReadRevision(aReply->body, "at-rev", aReply->era) : result.revision;
      if (!aReply->body.is_object()) {
        done(MakeError(ErrorKind::BrokenMessage, "the store's answer is not a JSON object"));
        return;
      }
      std::string last = LastKeyOf(aReply->body);
      bool hasMore = IsTrue(aReply->body, "has-more") && last > aAfter;
      if (hasMore) {
        ReadPage(aRequest, last, std::move(result), done);
      } else {
        done(result);
      }
    };
  SendRequest("GET", target, "", timeout_, onReply);
}

void KeyValueStore::CommitTransaction(const Json& aBody, OnReply aDone)
{
  SendRequest("POST", "/v1/kv-txn", aBody.dump(), timeout_, std::move(aDone));
}

void KeyValueStore::Create(const CreateRequest& aRequest, OnCreated aDone)
{
  // Revision 0 requires that the key does not exist.
  Json absent = { { "key", aRequest.key }, { "rev", 0 } };
  Json body = MakeTransaction(Json::array({ absent }),
                              Json::array({ MakePut(aRequest.key, aRequest.value, 0) }),
                              Json::array());
  auto onReply = [done = std::move(aDone)](const absl::StatusOr<Reply>& aReply) {
    if (aReply.ok() && aReply->status == kOk) {
      done(AppendOutcome::Written);
    } else if (aReply.ok() && aReply->status == kPreconditionFailed) {
      done(AppendOutcome::Occupied);
    } else {
      done(AppendOutcome::Unknown);
    }
  };
  CommitTransaction(body, onReply);
}

void KeyValueStore::Swap(const SwapRequest& aRequest, OnSwapped aDone)
{
  bool mustExist = aRequest.expectedRevision != 0;
  if (mustExist && EraOf(aRequest.expectedRevision) != era_) {
    // The store may have given the same number to another state since. The key is read only for the
    // store's revision.
    ReadRequest read;
    read.key = aRequest.key;
    ReadKey(read, [done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) {
      if (aResult.ok()) {
        done(SwapResult{ false, aResult->revision });
      } else {
        done(aResult.status());
      }
    });
    return;
  }
  Json condition = { { "key", aRequest.key }, { "rev", NumberOf(aRequest.expectedRevision) } };
  Json puts = Json::array();
  for (const KeyValue& put : aRequest.puts) {
    puts.push_back(MakePut(put.key, put.value, 0));
  }
  int64_t era = mustExist ? EraOf(aRequest.expectedRevision) : 0;
  auto onReply = [mustExist, era, done = std::move(aDone)](const absl::StatusOr<Reply>& aReply) {
    bool isAnswered =
      aReply.ok() && (aReply->status == kOk || aReply->status == kPreconditionFailed);
    if (isAnswered && mustExist && aReply->era != era) {
      done(MakeError(ErrorKind::StoreUnavailable,
                     "the store returned from a copy before the write; the key is read again"));
    } else if (isAnswered) {
      done(SwapResult{ aReply->status == kOk, ReadRevision(aReply->body, "at-rev", aReply->era) });
    } else {
      done(aReply.ok() ? Unavailable(aReply->status) : aReply.status());
    }
  };
  CommitTransaction(MakeTransaction(Json::array({ condition }), puts, Json::array()), onReply);
}

void KeyValueStore::Put(const std::string& aKey,
                        const std::string& aValue,
                        std::optional<Duration> aTimeToLive,
                        OnDone aDone)
{
  if (!aTimeToLive.has_value()) {
    PutWithLease(aKey, aValue, 0, std::move(aDone));
    return;
  }
  Json body = { { "ttl_time", ToMilliseconds(*aTimeToLive) } };
  auto onLease =
    [this, aKey, aValue, done = std::move(aDone)](const absl::StatusOr<Reply>& aReply) {
      bool isGranted = aReply.ok() && aReply->status == kOk && aReply->body.is_object() &&
                       aReply->body.contains("lease") && aReply->body["lease"].is_number_integer();
      if (!isGranted) {
        done(aReply.ok() ? Unavailable(aReply->status) : aReply.status());
        return;
      }
      PutWithLease(aKey, aValue, aReply->body["lease"].get<int64_t>(), done);
    };
  SendRequest("POST", "/v1/kv-lease", body.dump(), timeout_, onLease);
}

void KeyValueStore::PutWithLease(const std::string& aKey,
                                 const std::string& aValue,
                                 int64_t aLease,
                                 OnDone aDone)
{
  Json body =
    MakeTransaction(Json::array(), Json::array({ MakePut(aKey, aValue, aLease) }), Json::array());
  CommitTransaction(body, [done = std::move(aDone)](const absl::StatusOr<Reply>& aReply) {
    if (!aReply.ok()) {
      done(aReply.status());
    } else {
      done(aReply->status == kOk ? absl::OkStatus() : Unavailable(aReply->status));
    }
  });
}

void KeyValueStore::DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone)
{
  // Ranges are read as prefixes, so this finds only keys that start with `aFirst`.
  ReadRequest request;
  request.key = aFirst;
  request.end = aEnd;
  auto onRead =
    [this, aFirst, aEnd, done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) {
      if (!aResult.ok()) {
        done(aResult.status());
        return;
      }
      Json keys = Json::array();
      for (const KeyValue& item : aResult->items) {
        if (item.key >= aFirst && item.key < aEnd && keys.size() < kMaxKeysPerTransaction) {
          keys.push_back(item.key);
        }
      }
      if (keys.empty()) {
        done(absl::OkStatus());
        return;
      }
      Json body = MakeTransaction(Json::array(), Json::array(), keys);
      CommitTransaction(body, [this, aFirst, aEnd, done](const absl::StatusOr<Reply>& aReply) {
        if (aReply.ok() && aReply->status == kOk) {
          // A transaction takes a limited number of keys, so this repeats until none is left.
          DeleteRange(aFirst, aEnd, done);
        } else {
          done(aReply.ok() ? Unavailable(aReply->status) : aReply.status());
        }
      });
    };
  Read(request, onRead);
}

Store::WatchId KeyValueStore::Watch(const std::string& aPrefix,
                                    int64_t aAfterRevision,
                                    OnEvents aOnEvents,
                                    std::function<void()> aOnEnd)
{
  WatchId id = nextWatch_++;
  watches_[id] =
    WatchState{ aPrefix, aAfterRevision, std::move(aOnEvents), std::move(aOnEnd), 0, {}, {}, {} };
  if (EraOf(aAfterRevision) < era_) {
    // The store does not have this revision any more.
    watches_.at(id).pauseTimer = loop_.After(Duration::zero(), [this, id] { EndWatch(id); });
    return id;
  }
  // The owner learns at once whether the store answers it, and whether there was a change.
  RenewWatch(id, Duration::zero());
  return id;
}

void KeyValueStore::RenewWatch(WatchId aId, Duration aWait)
{
  WatchState& watch = watches_.at(aId);
  watch.sentAt = loop_.Now();
  watch.wait = aWait;
  std::string target = fmt::format("/v1/kv-watch?path-prefix={}&after={}&wait-ms={}",
                                   PercentEncode(watch.prefix),
                                   NumberOf(watch.revision),
                                   ToMilliseconds(aWait));
  watch.request =
    SendRequest("GET",
                target,
                "",
                aWait + timing_.answerMargin,
                [this, aId](const absl::StatusOr<Reply>& aReply) { OnWatchReply(aId, aReply); });
}

void KeyValueStore::OnWatchReply(WatchId aId, const absl::StatusOr<Reply>& aReply)
{
  auto found = watches_.find(aId);
  if (found == watches_.end()) {
    return;
  }
  int64_t revision = aReply.ok() ? ReadRevision(aReply->body, "at-rev", aReply->era) : 0;
  bool canContinue = aReply.ok() && aReply->status == kOk && revision > 0;
  if (!canContinue) {
    // The request failed, the store refused it, or the store no longer has the changes after the
    // revision. The owner of the watch reads again and starts a new one.
    Log(LogPart::Store,
        LogLevel::Info,
        "The watch of \"{}\" after revision {} has ended {} ms after its last request: {}.",
        found->second.prefix,
        found->second.revision,
        ToMilliseconds(loop_.Now() - found->second.sentAt),
        aReply.ok() ? fmt::format("the store answered with status {}", aReply->status)
                    : MessageOf(aReply.status()));
    EndWatch(aId);
    return;
  }
  found->second.revision = std::max(found->second.revision, revision);
  // The store has answered at the latest at the end of its wait, even if this process was paused
  // and reads the answer only now.
  WatchEvents events{ ReadItems(aReply->body, "events", aReply->era),
                      std::min(loop_.Now(), found->second.sentAt + found->second.wait),
                      found->second.revision };
  // The callback may cancel the watch.
  OnEvents onEvents = found->second.onEvents;
  onEvents(events);
  found = watches_.find(aId);
  if (found == watches_.end()) {
    return;
  }
  if (events.items.empty()) {
    RenewWatch(aId, timing_.renewalPeriod);
  } else {
    found->second.pauseTimer = loop_.After(timing_.pauseAfterChange,
                                           [this, aId] { RenewWatch(aId, timing_.renewalPeriod); });
  }
}

void KeyValueStore::EndWatch(WatchId aId)
{
  auto found = watches_.find(aId);
  auto onEnd = std::move(found->second.onEnd);
  watches_.erase(found);
  onEnd();
}

void KeyValueStore::CancelWatch(WatchId aId)
{
  auto found = watches_.find(aId);
  if (found != watches_.end()) {
    client_.Cancel(found->second.request);
    watches_.erase(found);
  }
}

} // namespace dandelion::platform
