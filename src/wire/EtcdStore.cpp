#include "wire/EtcdStore.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"

namespace dandelion {

namespace {

constexpr size_t kMaxAnswerBytes = 16 * 1024 * 1024;

std::string ToBase64(const std::string& aBytes)
{
  return absl::Base64Escape(aBytes);
}

std::string FromBase64(const Json& aJson)
{
  std::string bytes;
  if (aJson.is_string()) {
    absl::Base64Unescape(aJson.get_ref<const std::string&>(), &bytes);
  }
  return bytes;
}

/// Reads a 64-bit integer field, which the JSON form of the API writes as a string. Returns 0 where
/// the field is missing or invalid.
int64_t ToInteger(const Json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  int64_t value = 0;
  if (found != aObject.end() && found->is_string()) {
    (void)absl::SimpleAtoi(found->get_ref<const std::string&>(), &value);
  } else if (found != aObject.end() && found->is_number_integer()) {
    value = found->get<int64_t>();
  }
  return value;
}

const Json& FieldOf(const Json& aObject, const char* aName)
{
  static const Json kMissing;
  if (!aObject.is_object()) {
    return kMissing;
  }
  auto found = aObject.find(aName);
  return found == aObject.end() ? kMissing : *found;
}

KeyValue ToKeyValue(const Json& aJson)
{
  return KeyValue{ FromBase64(FieldOf(aJson, "key")),
                   FromBase64(FieldOf(aJson, "value")),
                   ToInteger(aJson, "mod_revision") };
}

ReadResult ToReadResult(const Json& aJson)
{
  ReadResult result;
  result.revision = ToInteger(FieldOf(aJson, "header"), "revision");
  const Json& more = FieldOf(aJson, "more");
  result.hasMore = more.is_boolean() && more.get<bool>();
  const Json& items = FieldOf(aJson, "kvs");
  if (items.is_array()) {
    for (const Json& item : items) {
      result.items.push_back(ToKeyValue(item));
    }
  }
  return result;
}

Json MakeExistenceCompare(const std::string& aKey, bool aMustExist)
{
  return Json{ { "key", ToBase64(aKey) },
               { "target", "CREATE" },
               { "result", aMustExist ? "GREATER" : "EQUAL" },
               { "create_revision", "0" } };
}

AppendOutcome ToAppendOutcome(const Json& aJson)
{
  const Json& succeeded = FieldOf(aJson, "succeeded");
  if (succeeded.is_boolean() && succeeded.get<bool>()) {
    return AppendOutcome::Written;
  }
  // The failure branch of the transaction reads the key. Its result shows which of the two
  // conditions did not hold.
  const Json& responses = FieldOf(aJson, "responses");
  if (!responses.is_array() || responses.empty()) {
    return AppendOutcome::Unknown;
  }
  const Json& items = FieldOf(FieldOf(responses[0], "response_range"), "kvs");
  bool exists = items.is_array() && !items.empty();
  return exists ? AppendOutcome::Occupied : AppendOutcome::ParentMissing;
}

/// Removes the complete lines from the front of a buffer and parses each as JSON.
std::vector<Json> TakeLines(std::string& aBuffer)
{
  std::vector<Json> lines;
  size_t end = 0;
  while ((end = aBuffer.find('\n')) != std::string::npos) {
    lines.push_back(ParseForeignJson(aBuffer.substr(0, end)));
    aBuffer.erase(0, end + 1);
  }
  return lines;
}

std::vector<KeyValue> ParsePutEvents(const Json& aLine)
{
  std::vector<KeyValue> written;
  const Json& events = FieldOf(FieldOf(aLine, "result"), "events");
  if (!events.is_array()) {
    return written;
  }
  for (const Json& event : events) {
    const Json& type = FieldOf(event, "type");
    bool isDelete = type.is_string() && type.get_ref<const std::string&>() == "DELETE";
    if (!isDelete) {
      written.push_back(ToKeyValue(FieldOf(event, "kv")));
    }
  }
  return written;
}

} // namespace

std::string PrefixRangeEnd(std::string aPrefix)
{
  ++aPrefix.back();
  return aPrefix;
}

EtcdStore::EtcdStore(Loop& aLoop, std::vector<Endpoint> aServers, Duration aTimeout)
  : client_(aLoop)
  , servers_(std::move(aServers))
  , timeout_(aTimeout)
{
}

void EtcdStore::Read(const ReadRequest& aRequest, OnRead aDone)
{
  Json body = { { "key", ToBase64(aRequest.key) }, { "keys_only", aRequest.isKeysOnly } };
  if (aRequest.end.has_value()) {
    body["range_end"] = ToBase64(*aRequest.end);
  }
  if (aRequest.limit > 0) {
    body["limit"] = std::to_string(aRequest.limit);
  }
  if (aRequest.end.has_value()) {
    body["sort_order"] = aRequest.isDescending ? "DESCEND" : "ASCEND";
    body["sort_target"] = "KEY";
  }
  Call("/v3/kv/range", body, [done = std::move(aDone)](const absl::StatusOr<Json>& aAnswer) {
    if (!aAnswer.ok()) {
      done(aAnswer.status());
    } else {
      done(ToReadResult(*aAnswer));
    }
  });
}

void EtcdStore::Create(const CreateRequest& aRequest, OnCreated aDone)
{
  Json compare = Json::array({ MakeExistenceCompare(aRequest.key, false) });
  if (!aRequest.parentKey.empty()) {
    compare.push_back(MakeExistenceCompare(aRequest.parentKey, true));
  }
  Json put = { { "key", ToBase64(aRequest.key) }, { "value", ToBase64(aRequest.value) } };
  Json range = { { "key", ToBase64(aRequest.key) }, { "keys_only", true } };
  Json body = { { "compare", compare },
                { "success", Json::array({ Json{ { "request_put", put } } }) },
                { "failure", Json::array({ Json{ { "request_range", range } } }) } };
  Call("/v3/kv/txn", body, [done = std::move(aDone)](const absl::StatusOr<Json>& aAnswer) {
    done(aAnswer.ok() ? ToAppendOutcome(*aAnswer) : AppendOutcome::Unknown);
  });
}

void EtcdStore::Swap(const SwapRequest& aRequest, OnSwapped aDone)
{
  Json compare = { { "key", ToBase64(aRequest.key) },
                   { "target", "MOD" },
                   { "result", "EQUAL" },
                   { "mod_revision", std::to_string(aRequest.expectedRevision) } };
  Json puts = Json::array();
  for (const KeyValue& item : aRequest.puts) {
    Json put = { { "key", ToBase64(item.key) }, { "value", ToBase64(item.value) } };
    puts.push_back(Json{ { "request_put", put } });
  }
  Json body = { { "compare", Json::array({ compare }) }, { "success", puts } };
  Call("/v3/kv/txn", body, [done = std::move(aDone)](const absl::StatusOr<Json>& aAnswer) {
    if (!aAnswer.ok()) {
      done(aAnswer.status());
      return;
    }
    const Json& succeeded = FieldOf(*aAnswer, "succeeded");
    done(SwapResult{ succeeded.is_boolean() && succeeded.get<bool>(),
                     ToInteger(FieldOf(*aAnswer, "header"), "revision") });
  });
}

void EtcdStore::Put(const std::string& aKey,
                    const std::string& aValue,
                    std::optional<Duration> aTimeToLive,
                    OnDone aDone)
{
  if (!aTimeToLive.has_value()) {
    PutWithLease(aKey, aValue, "", std::move(aDone));
    return;
  }
  Json grant = { { "TTL", std::to_string(*aTimeToLive / seconds(1)) } };
  auto onGranted = [this, aKey, aValue, aDone](const absl::StatusOr<Json>& aAnswer) {
    if (!aAnswer.ok()) {
      aDone(aAnswer.status());
      return;
    }
    PutWithLease(aKey, aValue, std::to_string(ToInteger(*aAnswer, "ID")), aDone);
  };
  Call("/v3/lease/grant", grant, onGranted);
}

void EtcdStore::PutWithLease(const std::string& aKey,
                             const std::string& aValue,
                             const std::string& aLease,
                             OnDone aDone)
{
  Json body = { { "key", ToBase64(aKey) }, { "value", ToBase64(aValue) } };
  if (!aLease.empty()) {
    body["lease"] = aLease;
  }
  Call("/v3/kv/put", body, [done = std::move(aDone)](const absl::StatusOr<Json>& aAnswer) {
    done(aAnswer.status());
  });
}

void EtcdStore::DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone)
{
  Json body = { { "key", ToBase64(aFirst) }, { "range_end", ToBase64(aEnd) } };
  Call("/v3/kv/deleterange", body, [done = std::move(aDone)](const absl::StatusOr<Json>& aAnswer) {
    done(aAnswer.status());
  });
}

Store::WatchId EtcdStore::Watch(const std::string& aPrefix,
                                int64_t aAfterRevision,
                                OnEvents aOnEvents,
                                std::function<void()> aOnEnd)
{
  ++callCount_;
  Json create = { { "key", ToBase64(aPrefix) },
                  { "range_end", ToBase64(PrefixRangeEnd(aPrefix)) },
                  { "start_revision", std::to_string(aAfterRevision + 1) } };
  HttpRequest request{ "POST", "/v3/watch", {}, Json{ { "create_request", create } }.dump() };
  auto buffer = std::make_shared<std::string>();
  auto onChunk = [buffer, onEvents = std::move(aOnEvents)](const std::string& aChunk) {
    *buffer += aChunk;
    for (const Json& line : TakeLines(*buffer)) {
      std::vector<KeyValue> written = ParsePutEvents(line);
      if (!written.empty()) {
        onEvents(WatchEvents{ std::move(written) });
      }
    }
  };
  auto onEnd = [this, end = std::move(aOnEnd)](const HttpResult& aResult) {
    if (aResult.outcome != HttpOutcome::Answered) {
      ++serverIndex_;
    }
    end();
  };
  return client_.Stream(servers_[serverIndex_ % servers_.size()], request, onChunk, onEnd);
}

void EtcdStore::CancelWatch(WatchId aId)
{
  client_.Cancel(aId);
}

void EtcdStore::Call(const std::string& aPath, const Json& aBody, OnJson aDone)
{
  ++callCount_;
  HttpRequest request{ "POST", aPath, { { "Content-Type", "application/json" } }, aBody.dump() };
  auto onResult = [this, done = std::move(aDone)](const HttpResult& aResult) {
    constexpr int kOk = 200;
    if (aResult.outcome != HttpOutcome::Answered || aResult.response.status != kOk) {
      ++serverIndex_;
      done(MakeError(
        ErrorKind::StoreUnavailable,
        "the store does not answer or reports an error; the next call uses the next server"));
      return;
    }
    const std::string& body = aResult.response.body;
    Json answer =
      body.size() > kMaxAnswerBytes ? Json(Json::value_t::discarded) : ParseForeignJson(body);
    if (answer.is_discarded() || !answer.is_object()) {
      done(MakeError(ErrorKind::StoreUnavailable,
                     "the store's answer is too large or is not a JSON object"));
      return;
    }
    done(answer);
  };
  client_.Send(servers_[serverIndex_ % servers_.size()], request, timeout_, onResult);
}

} // namespace dandelion
