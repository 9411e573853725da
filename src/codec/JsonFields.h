/// JSON encoding with field names for data that people read and write: settings, notes and reports.
///
/// The reader is strict. It collects all errors with their paths, so that the author of a file sees
/// them together: unknown keys, missing keys, wrong types and values out of range.
#ifndef DANDELION_CODEC_JSON_FIELDS_H
#define DANDELION_CODEC_JSON_FIELDS_H

#include "kernel/Kernel.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace dandelion {

using Json = nlohmann::json;

/// Parses JSON with comments. Errors: `TooLarge` for a text of more than `aMaxBytes` bytes,
/// `InvalidNote` for a syntax error (with line and column), a duplicate key or too deep nesting.
absl::StatusOr<Json> ParseJson(const std::string& aText, size_t aMaxBytes);

/// Parses JSON that another program wrote. Returns a discarded value if the text is not JSON or
/// nests too deeply.
Json ParseForeignJson(std::string_view aText);

/// How a reader treats keys that do not belong to a field.
enum class UnknownKeys
{
  /// They are errors, since unknown keys in text written by people are mistakes.
  Refused,
  /// They are ignored, since other programs may add keys to their output.
  Ignored,
};

/// Reads the fields of one JSON object that `VisitFields` passes to it, and collects the errors.
class JsonReader
{
public:
  JsonReader(const Json& aObject,
             std::string aPath,
             std::vector<std::string>& aErrors,
             UnknownKeys aUnknownKeys = UnknownKeys::Refused);
  /// Reports the keys that do not belong to a field.
  ~JsonReader();
  JsonReader(const JsonReader&) = delete;
  JsonReader& operator=(const JsonReader&) = delete;

  template<class T, class... Limits>
  void Field(std::string_view aName, T& aValue, const Limits&... aLimits)
  {
    const Json* found = FindKey(aName);
    if (found == nullptr) {
      AddError(aName, "is missing; add it");
      return;
    }
    Read(*found, PathOf(aName), aValue, aLimits...);
  }

  template<class T, class... Limits>
  void OptionalField(std::string_view aName, T& aValue, const Limits&... aLimits)
  {
    const Json* found = FindKey(aName);
    if (found != nullptr) {
      Read(*found, PathOf(aName), aValue, aLimits...);
    }
  }

private:
  const Json* FindKey(std::string_view aName);
  std::string PathOf(std::string_view aName) const;
  void AddError(std::string_view aName, std::string_view aMessage);
  void AddErrorAt(const std::string& aPath, const std::string& aMessage) const;
  bool ReadInteger(const Json& aJson,
                   const std::string& aPath,
                   int64_t aMin,
                   int64_t aMax,
                   int64_t& aValue) const;

  template<class T, class... Limits>
  void Read(const Json& aJson, const std::string& aPath, T& aValue, const Limits&... aLimits)
  {
    if constexpr (std::is_same_v<T, bool>) {
      if (!aJson.is_boolean()) {
        AddErrorAt(aPath, "must be true or false");
        return;
      }
      aValue = aJson.get<bool>();
    } else if constexpr (std::is_enum_v<T>) {
      auto value =
        aJson.is_string() ? FromName<T>(aJson.get_ref<const std::string&>()) : std::nullopt;
      if (!value.has_value()) {
        AddErrorAt(aPath, "must be one of: " + AllNames<T>());
        return;
      }
      aValue = *value;
    } else if constexpr (std::is_floating_point_v<T>) {
      ReadFloat(aJson, aPath, aValue);
    } else if constexpr (std::is_integral_v<T>) {
      ReadIntegerInRange(aJson, aPath, aValue, aLimits...);
    } else if constexpr (std::is_same_v<T, std::string>) {
      ReadString(aJson, aPath, aValue, aLimits...);
    } else if constexpr (IsOptional<T>::value) {
      aValue.emplace();
      Read(aJson, aPath, *aValue, aLimits...);
    } else if constexpr (IsSequence<T>::value) {
      ReadSequence(aJson, aPath, aValue);
    } else if constexpr (IsMap<T>::value) {
      ReadMap(aJson, aPath, aValue);
    } else {
      if constexpr (TextForm<T>::kExists) {
        if (aJson.is_string()) {
          ReadTextForm(aJson, aPath, aValue);
          return;
        }
      }
      if (!aJson.is_object()) {
        AddErrorAt(aPath, "must be an object in braces");
        return;
      }
      JsonReader reader(aJson, aPath, errors_, unknownKeys_);
      VisitFields(reader, aValue);
    }
  }

  template<class T>
  void ReadTextForm(const Json& aJson, const std::string& aPath, T& aValue) const
  {
    std::optional<T> value = TextForm<T>::Parse(aJson.get_ref<const std::string&>());
    if (!value.has_value()) {
      AddErrorAt(aPath, std::string("must be a text like ") + TextForm<T>::kFormat);
      return;
    }
    aValue = *std::move(value);
  }

  void ReadFloat(const Json& aJson, const std::string& aPath, double& aValue) const
  {
    if (!aJson.is_number()) {
      AddErrorAt(aPath, "must be a number");
      return;
    }
    aValue = aJson.get<double>();
  }

  template<class T>
  void ReadIntegerInRange(const Json& aJson, const std::string& aPath, T& aValue)
  {
    int64_t max = std::is_same_v<T, uint16_t> ? UINT16_MAX : INT64_MAX;
    ReadIntegerInRange(
      aJson, aPath, aValue, IntegerRange{ std::is_signed_v<T> ? INT64_MIN : 0, max });
  }

  template<class T>
  void ReadIntegerInRange(const Json& aJson,
                          const std::string& aPath,
                          T& aValue,
                          const IntegerRange& aRange)
  {
    int64_t value = 0;
    if (ReadInteger(aJson, aPath, aRange.lowest, aRange.highest, value)) {
      aValue = static_cast<T>(value);
    }
  }

  void ReadString(const Json& aJson, const std::string& aPath, std::string& aValue) const;
  void ReadString(const Json& aJson,
                  const std::string& aPath,
                  std::string& aValue,
                  const MaxTextBytes& aLimit) const;

  template<class T>
  void ReadSequence(const Json& aJson, const std::string& aPath, std::vector<T>& aValues)
  {
    if (!aJson.is_array()) {
      AddErrorAt(aPath, "must be a list in brackets");
      return;
    }
    aValues.clear();
    size_t index = 0;
    for (const Json& element : aJson) {
      aValues.emplace_back();
      Read(element, fmt::format("{}[{}]", aPath, index++), aValues.back());
    }
  }

  template<class T>
  void ReadMap(const Json& aJson, const std::string& aPath, std::map<std::string, T>& aValues)
  {
    if (!aJson.is_object()) {
      AddErrorAt(aPath, "must be an object in braces");
      return;
    }
    aValues.clear();
    for (const auto& [key, element] : aJson.items()) {
      Read(element, aPath + "." + key, aValues[key]);
    }
  }

  const Json& object_;
  std::string path_;
  std::vector<std::string>& errors_;
  UnknownKeys unknownKeys_;
  std::set<std::string> knownKeys_;
};

/// Reads a typed value from a JSON object. Errors: `aKind`, with a list of the errors in the text.
template<class T>
absl::StatusOr<T> FromJson(const Json& aJson,
                           ErrorKind aKind,
                           UnknownKeys aUnknownKeys = UnknownKeys::Refused)
{
  if (!aJson.is_object()) {
    return MakeError(aKind, "the text must be one object in braces");
  }
  T value;
  std::vector<std::string> errors;
  {
    JsonReader reader(aJson, "", errors, aUnknownKeys);
    VisitFields(reader, value);
  }
  if (errors.empty()) {
    return value;
  }
  constexpr size_t kMaxListedErrors = 20;
  std::string text;
  for (size_t i = 0; i < errors.size() && i < kMaxListedErrors; ++i) {
    text += (i == 0 ? "" : "; ") + errors[i];
  }
  if (errors.size() > kMaxListedErrors) {
    text += fmt::format("; and {} more", errors.size() - kMaxListedErrors);
  }
  return MakeError(aKind, text);
}

/// Writes the fields of a value that `VisitFields` passes to it.
class JsonWriter
{
public:
  template<class T, class... Limits>
  void Field(std::string_view aName, T& aValue, const Limits&... /* aLimits */)
  {
    object_[std::string(aName)] = Write(aValue);
  }

  template<class T, class... Limits>
  void OptionalField(std::string_view aName, T& aValue, const Limits&... /* aLimits */)
  {
    if constexpr (IsOptional<std::remove_const_t<T>>::value) {
      if (!aValue.has_value()) {
        return;
      }
    }
    object_[std::string(aName)] = Write(aValue);
  }

  Json TakeObject() { return std::move(object_); }

  template<class T>
  static Json Write(const T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      return std::string(NameOf(aValue));
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
      return aValue;
    } else if constexpr (IsOptional<T>::value) {
      return aValue.has_value() ? Write(*aValue) : Json();
    } else if constexpr (IsSequence<T>::value) {
      Json list = Json::array();
      for (const auto& element : aValue) {
        list.push_back(Write(element));
      }
      return list;
    } else if constexpr (IsMap<T>::value) {
      Json map = Json::object();
      for (const auto& [key, element] : aValue) {
        map[key] = Write(element);
      }
      return map;
    } else {
      JsonWriter writer;
      VisitFields(writer, MutableForVisit(aValue));
      return writer.TakeObject();
    }
  }

private:
  Json object_ = Json::object();
};

/// Converts a value to JSON.
template<class T>
Json ToJson(const T& aValue)
{
  return JsonWriter::Write(aValue);
}

} // namespace dandelion

#endif
