#include "platform/StoreMessages.h"

#include "absl/strings/escaping.h"

#include <algorithm>

namespace dandelion::platform {

namespace {

/// Whether an event of a watch reports that a key was removed.
bool IsTombstone(const Json& aItem)
{
  return aItem.is_object() && aItem.contains("tombstone");
}

} // namespace

std::string PercentEncode(const std::string& aText)
{
  std::string escaped;
  for (char character : aText) {
    bool isPlain = absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
                   std::string_view("-_.~/").find(character) != std::string_view::npos;
    escaped += isPlain ? std::string(1, character)
                       : fmt::format("%{:02X}", static_cast<unsigned char>(character));
  }
  return escaped;
}

int64_t ReadRevision(const Json& aBody, const char* aName, int64_t aEra)
{
  auto found = aBody.is_object() ? aBody.find(aName) : aBody.end();
  if (found == aBody.end() || !found->is_number_integer()) {
    return 0;
  }
  auto number = found->get<int64_t>();
  return number > 0 && number <= kMaxRevisionNumber ? MakeRevision(aEra, number) : 0;
}

std::optional<KeyValue> ReadItem(const Json& aItem, int64_t aEra)
{
  bool isValid = aItem.is_object() && aItem.contains("key") && aItem["key"].is_string() &&
                 aItem.contains("value") && aItem["value"].is_string();
  if (!isValid) {
    return std::nullopt;
  }
  KeyValue item;
  item.key = aItem["key"].get<std::string>();
  if (!absl::Base64Unescape(aItem["value"].get_ref<const std::string&>(), &item.value)) {
    return std::nullopt;
  }
  item.revision = ReadRevision(aItem, "rev", aEra);
  return item;
}

std::vector<KeyValue> ReadItems(const Json& aBody, const char* aName, int64_t aEra)
{
  std::vector<KeyValue> items;
  if (!aBody.is_object() || !aBody.contains(aName) || !aBody[aName].is_array()) {
    return items;
  }
  for (const Json& entry : aBody[aName]) {
    std::optional<KeyValue> item = ReadItem(entry, aEra);
    if (item.has_value()) {
      items.push_back(*std::move(item));
    } else if (!IsTombstone(entry)) {
      Log(LogPart::Store, LogLevel::Warning, "An item of the store cannot be read and is ignored.");
    }
  }
  return items;
}

std::string LastKeyOf(const Json& aBody)
{
  std::string last;
  if (!aBody.contains("items") || !aBody["items"].is_array()) {
    return last;
  }
  for (const Json& item : aBody["items"]) {
    if (item.is_object() && item.contains("key") && item["key"].is_string()) {
      last = std::max(last, item["key"].get<std::string>());
    }
  }
  return last;
}

bool IsTrue(const Json& aBody, const char* aName)
{
  auto found = aBody.find(aName);
  return found != aBody.end() && found->is_boolean() && found->get<bool>();
}

Json MakePut(const std::string& aKey, const std::string& aValue, int64_t aLease)
{
  Json put = { { "key", aKey }, { "value", absl::Base64Escape(aValue) } };
  if (aLease != 0) {
    put["lease"] = aLease;
  }
  return put;
}

Json MakeTransaction(const Json& aConditions, const Json& aPuts, const Json& aRemovedKeys)
{
  Json body = Json::object();
  body["precondition"] = aConditions;
  body["puts"] = aPuts;
  body["remove"] = aRemovedKeys;
  return body;
}

} // namespace dandelion::platform
