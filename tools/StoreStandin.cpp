#include "StoreStandin.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <algorithm>

namespace dandelion {

namespace {

std::string DecodeBase64(const Json& aObject, const char* aName)
{
  std::string bytes;
  auto found = aObject.find(aName);
  if (found != aObject.end() && found->is_string()) {
    absl::Base64Unescape(found->get_ref<const std::string&>(), &bytes);
  }
  return bytes;
}

int64_t IntegerField(const Json& aObject, const char* aName)
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

bool IsInRange(const std::string& aKey, const std::string& aFirst, const std::string& aEnd)
{
  return aEnd.empty() ? aKey == aFirst : aKey >= aFirst && aKey < aEnd;
}

} // namespace

StoreStandin::StoreStandin(Loop& aLoop, const Endpoint& aListen)
  : loop_(aLoop)
  , listen_(aListen)
  , server_(aLoop, [this](const Exchange& aExchange) { OnRequest(aExchange); })
{
}

absl::Status StoreStandin::Start()
{
  return server_.Listen(listen_, HttpLimits());
}

void StoreStandin::SetFaults(const StoreFaults& aFaults)
{
  faults_ = aFaults;
  if (faults_.isDown) {
    for (Watcher& watcher : watchers_) {
      watcher.exchange->EndStream();
    }
    watchers_.clear();
  }
}

void StoreStandin::DropNewest(const std::string& aPrefix, size_t aCount)
{
  for (size_t i = 0; i < aCount; ++i) {
    auto newest = items_.lower_bound(PrefixRangeEnd(aPrefix));
    if (newest == items_.begin() || !absl::StartsWith(std::prev(newest)->first, aPrefix)) {
      return;
    }
    items_.erase(std::prev(newest));
  }
}

void StoreStandin::OnRequest(const Exchange& aExchange)
{
  if (aExchange->Request().target == "/control") {
    OnControl(aExchange);
    return;
  }
  if (aExchange->Request().target == "/stats") {
    auto isNote = [](const auto& aItem) {
      return absl::StartsWith(aItem.first, "dandelion/notes/");
    };
    Json stats = { { "calls", calls_ },
                   { "by_path", callsByPath_ },
                   { "created", createdKeys_ },
                   { "notes", std::count_if(items_.begin(), items_.end(), isNote) } };
    aExchange->Reply(HttpResponse{ 200, {}, stats.dump() });
    return;
  }
  ++calls_;
  ++callsByPath_[aExchange->Request().target];
  if (faults_.isDown) {
    unanswered_.push_back(aExchange);
    return;
  }
  if (faults_.delayMs > 0) {
    timers_.push_back(
      loop_.After(milliseconds(faults_.delayMs), [this, aExchange] { Serve(aExchange); }));
    return;
  }
  Serve(aExchange);
}

void StoreStandin::OnControl(const Exchange& aExchange)
{
  Json json = Json::parse(aExchange->Request().body, nullptr, false);
  auto forget = json.is_object() ? json.find("forget") : json.end();
  if (json.is_object() && forget != json.end()) {
    DropNewest("dandelion/notes/", forget->get<size_t>());
    json.erase("forget");
  }
  auto faults = FromJson<StoreFaults>(json, ErrorKind::Usage);
  if (!faults.ok()) {
    aExchange->Reply(HttpResponse{ 400, {}, MessageOf(faults.status()) });
    return;
  }
  SetFaults(*faults);
  aExchange->Reply(HttpResponse{ 200, {}, "{}" });
}

void StoreStandin::Serve(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    aExchange->Reply(HttpResponse{ 400, {}, "{}" });
    return;
  }
  Json answer;
  if (request.target == "/v3/kv/range") {
    answer = Range(body);
  } else if (request.target == "/v3/kv/txn") {
    if (faults_.lateWrites > 0) {
      --faults_.lateWrites;
      unanswered_.push_back(aExchange);
      timers_.push_back(
        loop_.After(milliseconds(faults_.lateWriteDelayMs), [this, body] { (void)Txn(body); }));
      return;
    }
    answer = Txn(body);
    if (faults_.lostAnswers > 0) {
      --faults_.lostAnswers;
      unanswered_.push_back(aExchange);
      return;
    }
  } else if (request.target == "/v3/kv/put") {
    answer = PutItem(body);
  } else if (request.target == "/v3/kv/deleterange") {
    answer = DeleteItems(body);
  } else if (request.target == "/v3/lease/grant") {
    answer = GrantLease(body);
  } else if (request.target == "/v3/watch") {
    Watch(aExchange, body);
    return;
  } else {
    aExchange->Reply(HttpResponse{ 404, {}, "{}" });
    return;
  }
  aExchange->Reply(HttpResponse{ 200, { { "Content-Type", "application/json" } }, answer.dump() });
}

Json StoreStandin::Range(const Json& aRequest) const
{
  std::string first = DecodeBase64(aRequest, "key");
  std::string end = DecodeBase64(aRequest, "range_end");
  int64_t limit = IntegerField(aRequest, "limit");
  bool isKeysOnly = aRequest.value("keys_only", false);
  std::vector<std::pair<std::string, const Item*>> found;
  for (auto item = items_.lower_bound(first);
       item != items_.end() && IsInRange(item->first, first, end);
       ++item) {
    found.emplace_back(item->first, &item->second);
  }
  if (aRequest.value("sort_order", "") == "DESCEND") {
    std::reverse(found.begin(), found.end());
  }
  bool hasMore = limit > 0 && static_cast<int64_t>(found.size()) > limit;
  if (hasMore) {
    found.resize(static_cast<size_t>(limit));
  }
  Json items = Json::array();
  for (const auto& [key, item] : found) {
    Json json = { { "key", absl::Base64Escape(key) },
                  { "create_revision", std::to_string(item->createRevision) },
                  { "mod_revision", std::to_string(item->modRevision) } };
    if (!isKeysOnly) {
      json["value"] = absl::Base64Escape(item->value);
    }
    items.push_back(json);
  }
  return Json{ { "header", Header() }, { "kvs", items }, { "more", hasMore } };
}

Json StoreStandin::Txn(const Json& aRequest)
{
  bool succeeds = true;
  for (const Json& compare : aRequest.value("compare", Json::array())) {
    succeeds = succeeds && IsSatisfied(compare);
  }
  Json responses = Json::array();
  for (const Json& operation : aRequest.value(succeeds ? "success" : "failure", Json::array())) {
    if (operation.contains("request_put")) {
      createdKeys_.push_back(DecodeBase64(operation["request_put"], "key"));
      responses.push_back(Json{ { "response_put", PutItem(operation["request_put"]) } });
    } else if (operation.contains("request_range")) {
      responses.push_back(Json{ { "response_range", Range(operation["request_range"]) } });
    }
  }
  return Json{ { "header", Header() }, { "succeeded", succeeds }, { "responses", responses } };
}

bool StoreStandin::IsSatisfied(const Json& aCompare) const
{
  auto item = items_.find(DecodeBase64(aCompare, "key"));
  int64_t actual = item == items_.end() ? 0 : item->second.createRevision;
  int64_t expected = IntegerField(aCompare, "create_revision");
  bool isEqual = aCompare.value("result", "EQUAL") == "EQUAL";
  return isEqual ? actual == expected : actual > expected;
}

Json StoreStandin::PutItem(const Json& aRequest)
{
  std::string key = DecodeBase64(aRequest, "key");
  Item& item = items_[key];
  ++revision_;
  item.value = DecodeBase64(aRequest, "value");
  item.modRevision = revision_;
  item.createRevision = item.createRevision == 0 ? revision_ : item.createRevision;
  int64_t lease = IntegerField(aRequest, "lease");
  if (lease > 0) {
    leases_[lease].push_back(key);
  }
  history_.push_back({ key, revision_ });
  NotifyWatchers(key, item);
  return Json{ { "header", Header() } };
}

Json StoreStandin::DeleteItems(const Json& aRequest)
{
  std::string first = DecodeBase64(aRequest, "key");
  std::string end = DecodeBase64(aRequest, "range_end");
  int64_t deleted = 0;
  for (auto item = items_.lower_bound(first);
       item != items_.end() && IsInRange(item->first, first, end);) {
    item = items_.erase(item);
    ++deleted;
  }
  revision_ += deleted > 0 ? 1 : 0;
  return Json{ { "header", Header() }, { "deleted", std::to_string(deleted) } };
}

Json StoreStandin::GrantLease(const Json& aRequest)
{
  int64_t id = nextLease_++;
  Duration timeToLive = seconds(IntegerField(aRequest, "TTL"));
  timers_.push_back(loop_.After(timeToLive, [this, id] {
    for (const std::string& key : leases_[id]) {
      items_.erase(key);
    }
    leases_.erase(id);
  }));
  return Json{ { "header", Header() }, { "ID", std::to_string(id) } };
}

void StoreStandin::Watch(const Exchange& aExchange, const Json& aRequest)
{
  const Json& create = aRequest.value("create_request", Json::object());
  Watcher watcher{ DecodeBase64(create, "key"), DecodeBase64(create, "range_end"), aExchange };
  int64_t startRevision = IntegerField(create, "start_revision");
  aExchange->BeginStream(HttpResponse{ 200, { { "Content-Type", "application/json" } }, "" });
  aExchange->SendChunk(
    Json{ { "result", { { "header", Header() }, { "created", true } } } }.dump() + "\n");
  watchers_.push_back(watcher);
  aExchange->OnClientDisconnected([this, disconnected = aExchange.get()] {
    auto isDisconnected = [disconnected](const Watcher& aWatcher) {
      return aWatcher.exchange.get() == disconnected;
    };
    watchers_.erase(std::remove_if(watchers_.begin(), watchers_.end(), isDisconnected),
                    watchers_.end());
  });
  for (const PastWrite& write : history_) {
    auto item = items_.find(write.key);
    bool matchesWatch = startRevision > 0 && write.revision >= startRevision &&
                        item != items_.end() && IsInRange(write.key, watcher.key, watcher.end);
    if (matchesWatch) {
      NotifyWatchers(write.key, item->second);
    }
  }
}

void StoreStandin::NotifyWatchers(const std::string& aKey, const Item& aItem)
{
  Json event = { { "kv",
                   { { "key", absl::Base64Escape(aKey) },
                     { "value", absl::Base64Escape(aItem.value) },
                     { "mod_revision", std::to_string(aItem.modRevision) } } } };
  Json line = { { "result", { { "header", Header() }, { "events", Json::array({ event }) } } } };
  for (const Watcher& watcher : watchers_) {
    if (IsInRange(aKey, watcher.key, watcher.end)) {
      watcher.exchange->SendChunk(line.dump() + "\n");
    }
  }
}

Json StoreStandin::Header() const
{
  return Json{ { "revision", std::to_string(revision_) } };
}

} // namespace dandelion
