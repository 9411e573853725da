#include "support/PlatformStore.h"

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace dandelion::testing {

namespace {

/// Returns a parameter of a request target; keys of these tests need no decoding.
std::string Parameter(const std::string& aTarget, const std::string& aName)
{
  size_t begin = aTarget.find(aName + "=");
  if (begin == std::string::npos) {
    return "";
  }
  begin += aName.size() + 1;
  return aTarget.substr(begin, aTarget.find('&', begin) - begin);
}

int64_t IntegerParameter(const std::string& aTarget, const std::string& aName)
{
  int64_t value = 0;
  return absl::SimpleAtoi(Parameter(aTarget, aName), &value) ? value : 0;
}

} // namespace

PlatformStore::PlatformStore(Loop& aLoop, const Endpoint& aListen)
  : loop_(aLoop)
  , server_(aLoop, [this](const Exchange& aExchange) { OnRequest(aExchange); })
{
  server_.Listen(aListen, HttpLimits()).IgnoreError();
}

void PlatformStore::Put(const std::string& aKey, const std::string& aValue)
{
  items_[aKey] = Item{ aValue, ++revision_ };
}

void PlatformStore::Return()
{
  std::tie(items_, revision_) = copy_;
  namedEra_ = std::to_string(++era_);
}

void PlatformStore::OnRequest(const Exchange& aExchange)
{
  auto reply = [this, aExchange] {
    Json answer = Answer(aExchange->Request());
    HttpResponse response{ answer.value("status", 200), {}, answer.dump() };
    if (!namedEra_.empty()) {
      response.headers.emplace_back("Store-Era", namedEra_);
    }
    aExchange->Reply(response);
  };
  int64_t wait = IntegerParameter(aExchange->Request().target, "wait-ms");
  if (wait == 0) {
    reply();
    return;
  }
  timers_.push_back(loop_.After(milliseconds(std::min<int64_t>(wait, 100)), reply));
}

Json PlatformStore::Answer(const HttpRequest& aRequest)
{
  const std::string& target = aRequest.target;
  Json answer = { { "at-rev", revision_ } };
  if (absl::StartsWith(target, "/v1/kv-key")) {
    auto found = items_.find(Parameter(target, "key"));
    if (found == items_.end()) {
      answer["status"] = 404;
    } else {
      answer["key"] = found->first;
      answer["value"] = absl::Base64Escape(found->second.value);
      answer["rev"] = found->second.revision;
    }
  } else if (absl::StartsWith(target, "/v1/kv-range")) {
    answer["items"] = ItemsOf(Parameter(target, "path-prefix"), 0);
  } else if (absl::StartsWith(target, "/v1/kv-watch")) {
    int64_t after = IntegerParameter(target, "after");
    if (after > revision_) {
      return Json{ { "status", 410 } };
    }
    answer["events"] = ItemsOf(Parameter(target, "path-prefix"), after);
  } else if (absl::StartsWith(target, "/v1/kv-lease")) {
    answer["lease"] = 1;
  } else if (absl::StartsWith(target, "/v1/kv-txn")) {
    return Commit(Json::parse(aRequest.body));
  }
  return answer;
}

Json PlatformStore::Commit(const Json& aTransaction)
{
  for (const Json& condition : aTransaction["precondition"]) {
    auto found = items_.find(condition["key"].get<std::string>());
    int64_t revision = found == items_.end() ? 0 : found->second.revision;
    if (revision != condition["rev"].get<int64_t>()) {
      return Json{ { "status", 412 }, { "at-rev", revision_ } };
    }
  }
  for (const Json& put : aTransaction["puts"]) {
    std::string value;
    absl::Base64Unescape(put["value"].get<std::string>(), &value);
    Put(put["key"].get<std::string>(), value);
  }
  for (const Json& key : aTransaction["remove"]) {
    items_.erase(key.get<std::string>());
  }
  return Json{ { "at-rev", revision_ } };
}

Json PlatformStore::ItemsOf(const std::string& aPrefix, int64_t aAfterRevision) const
{
  Json items = Json::array();
  for (const auto& [key, item] : items_) {
    if (absl::StartsWith(key, aPrefix) && item.revision > aAfterRevision) {
      items.push_back(Json{
        { "key", key }, { "value", absl::Base64Escape(item.value) }, { "rev", item.revision } });
    }
  }
  return items;
}

} // namespace dandelion::testing
