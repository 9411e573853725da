#include "codec/JsonFields.h"

namespace dandelion {

namespace {

constexpr int kMaxNestingDepth = 32;

/// Whether the brackets of a text nest too deeply. Copying a deeply nested value would overflow the
/// stack.
bool NestsTooDeeply(std::string_view aText)
{
  int depth = 0;
  bool isInString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    char character = aText[i];
    if (isInString && character == '\\') {
      ++i;
    } else if (character == '"') {
      isInString = !isInString;
    } else if (!isInString && (character == '[' || character == '{')) {
      ++depth;
    } else if (!isInString && (character == ']' || character == '}')) {
      --depth;
    }
    if (depth > kMaxNestingDepth) {
      return true;
    }
  }
  return false;
}

std::string DescribePath(const std::string& aPath)
{
  return aPath.empty() ? "the text" : aPath;
}

} // namespace

absl::StatusOr<Json> ParseJson(const std::string& aText, size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return MakeError(ErrorKind::TooLarge,
                     fmt::format("the text has {} bytes; the limit is {} bytes, so split it",
                                 aText.size(),
                                 aMaxBytes));
  }
  bool isTooDeep = false;
  std::string duplicateKey;
  std::vector<std::set<std::string>> keys;
  auto onEvent = [&](int aDepth, Json::parse_event_t aEvent, Json& aParsed) {
    isTooDeep = isTooDeep || aDepth > kMaxNestingDepth;
    if (isTooDeep) {
      return false;
    }
    if (aEvent == Json::parse_event_t::object_start) {
      keys.emplace_back();
    } else if (aEvent == Json::parse_event_t::object_end) {
      keys.pop_back();
    } else if (aEvent == Json::parse_event_t::key) {
      std::string key = aParsed.get<std::string>();
      if (!keys.back().insert(key).second) {
        duplicateKey = key;
      }
    }
    return true;
  };
  Json json;
  try {
    json = Json::parse(aText, onEvent, /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const Json::exception& error) {
    // The library ends its message with the text that it read last, which may be a secret.
    std::string_view message = error.what();
    return MakeError(
      ErrorKind::InvalidNote,
      fmt::format("the text is not JSON: {}", message.substr(0, message.find("; last read"))));
  }
  if (isTooDeep) {
    return MakeError(
      ErrorKind::InvalidNote,
      fmt::format("the text nests deeper than {} levels; flatten it", kMaxNestingDepth));
  }
  if (!duplicateKey.empty()) {
    return MakeError(
      ErrorKind::InvalidNote,
      fmt::format("the key \"{}\" stands twice in one object; keep one", duplicateKey));
  }
  return json;
}

Json ParseForeignJson(std::string_view aText)
{
  if (NestsTooDeeply(aText)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(aText, nullptr, /*allow_exceptions=*/false);
}

JsonReader::JsonReader(const Json& aObject,
                       std::string aPath,
                       std::vector<std::string>& aErrors,
                       UnknownKeys aUnknownKeys)
  : object_(aObject)
  , path_(std::move(aPath))
  , errors_(aErrors)
  , unknownKeys_(aUnknownKeys)
{
}

JsonReader::~JsonReader()
{
  if (unknownKeys_ == UnknownKeys::Ignored) {
    return;
  }
  for (const auto& [key, value] : object_.items()) {
    if (knownKeys_.count(key) > 0) {
      continue;
    }
    std::string known;
    for (const std::string& name : knownKeys_) {
      known += (known.empty() ? "" : ", ") + name;
    }
    AddErrorAt(PathOf(key), "is not a known key; the keys here are: " + known);
  }
}

const Json* JsonReader::FindKey(std::string_view aName)
{
  std::string name(aName);
  if (unknownKeys_ == UnknownKeys::Refused) {
    knownKeys_.insert(name);
  }
  auto found = object_.find(name);
  return found == object_.end() ? nullptr : &*found;
}

std::string JsonReader::PathOf(std::string_view aName) const
{
  return path_.empty() ? std::string(aName) : fmt::format("{}.{}", path_, aName);
}

void JsonReader::AddError(std::string_view aName, std::string_view aMessage)
{
  AddErrorAt(PathOf(aName), std::string(aMessage));
}

void JsonReader::AddErrorAt(const std::string& aPath, const std::string& aMessage) const
{
  errors_.push_back(DescribePath(aPath) + " " + aMessage);
}

bool JsonReader::ReadInteger(const Json& aJson,
                             const std::string& aPath,
                             int64_t aMin,
                             int64_t aMax,
                             int64_t& aValue) const
{
  bool isTooLarge = aJson.is_number_unsigned() && aJson.get<uint64_t>() > INT64_MAX;
  if (!aJson.is_number_integer() || isTooLarge || aJson.get<int64_t>() < aMin ||
      aJson.get<int64_t>() > aMax) {
    AddErrorAt(aPath, fmt::format("must be a whole number from {} to {}", aMin, aMax));
    return false;
  }
  aValue = aJson.get<int64_t>();
  return true;
}

void JsonReader::ReadString(const Json& aJson, const std::string& aPath, std::string& aValue) const
{
  if (!aJson.is_string()) {
    AddErrorAt(aPath, "must be a text in quotes");
    return;
  }
  aValue = aJson.get<std::string>();
}

void JsonReader::ReadString(const Json& aJson,
                            const std::string& aPath,
                            std::string& aValue,
                            const MaxTextBytes& aLimit) const
{
  ReadString(aJson, aPath, aValue);
  if (aJson.is_string() && (aValue.empty() || aValue.size() > aLimit.bytes)) {
    AddErrorAt(aPath, fmt::format("must have 1 to {} bytes", aLimit.bytes));
  }
}

} // namespace dandelion
