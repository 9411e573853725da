/// Positional CBOR encoding for messages between processes and values in the store.
///
/// A value is encoded as an array of its fields in the order of `VisitFields`, a variant as an
/// array of the alternative's index and its value. Field names are omitted to keep messages small.
#ifndef DANDELION_CODEC_CBOR_FIELDS_H
#define DANDELION_CODEC_CBOR_FIELDS_H

#include "codec/SharedString.h"
#include "kernel/Kernel.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

using Json = nlohmann::json;

/// Raw bytes that are encoded as a CBOR byte string, such as the body of a call. Copies share them.
struct Bytes
{
  SharedString data;
};

/// Encodes the fields of a value that `VisitFields` passes to it.
class CborWriter
{
public:
  template<class T, class... Limits>
  void Field(std::string_view /* aName */, T& aValue, const Limits&... /* aLimits */)
  {
    array_.push_back(Write(aValue));
  }

  template<class T, class... Limits>
  void OptionalField(std::string_view aName, T& aValue, const Limits&... aLimits)
  {
    Field(aName, aValue, aLimits...);
  }

  Json TakeArray() { return std::move(array_); }

  template<class T>
  static Json Write(const T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<int64_t>(aValue);
    } else if constexpr (std::is_same_v<T, Bytes>) {
      const std::string& bytes = aValue.data.Text();
      return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
    } else if constexpr (std::is_integral_v<T>) {
      return aValue;
    } else if constexpr (std::is_same_v<T, std::string>) {
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
      Json list = Json::array();
      for (const auto& [key, element] : aValue) {
        list.push_back(key);
        list.push_back(Write(element));
      }
      return list;
    } else if constexpr (IsVariant<T>::value) {
      Json pair = Json::array({ aValue.index() });
      pair.push_back(
        std::visit([](const auto& aAlternative) { return Write(aAlternative); }, aValue));
      return pair;
    } else {
      CborWriter writer;
      VisitFields(writer, MutableForVisit(aValue));
      return writer.TakeArray();
    }
  }

private:
  Json array_ = Json::array();
};

/// Decodes values that `CborWriter` encoded. A mismatch makes the decoding of the whole value fail.
class CborReader
{
public:
  CborReader(const Json& aArray, bool& aHasFailed)
    : array_(aArray)
    , hasFailed_(aHasFailed)
  {
    hasFailed_ = hasFailed_ || !aArray.is_array();
  }

  template<class T, class... Limits>
  void Field(std::string_view /* aName */, T& aValue, const Limits&... /* aLimits */)
  {
    if (hasFailed_ || next_ >= array_.size()) {
      hasFailed_ = true;
      return;
    }
    Read(array_[next_++], aValue, hasFailed_);
  }

  template<class T, class... Limits>
  void OptionalField(std::string_view aName, T& aValue, const Limits&... aLimits)
  {
    Field(aName, aValue, aLimits...);
  }

  template<class T>
  static void Read(const Json& aJson, T& aValue, bool& aHasFailed)
  {
    if constexpr (std::is_same_v<T, bool>) {
      aHasFailed = aHasFailed || !aJson.is_boolean();
      aValue = !aHasFailed && aJson.get<bool>();
    } else if constexpr (std::is_enum_v<T>) {
      ReadEnum(aJson, aValue, aHasFailed);
    } else if constexpr (std::is_integral_v<T>) {
      ReadInteger(aJson, aValue, aHasFailed);
    } else if constexpr (std::is_same_v<T, std::string>) {
      aHasFailed = aHasFailed || !aJson.is_string();
      aValue = aHasFailed ? std::string() : aJson.get_ref<const std::string&>();
    } else if constexpr (std::is_same_v<T, Bytes>) {
      aHasFailed = aHasFailed || !aJson.is_binary();
      if (!aHasFailed) {
        const auto& binary = aJson.get_binary();
        aValue.data = std::string(binary.begin(), binary.end());
      }
    } else if constexpr (IsOptional<T>::value) {
      if (!aJson.is_null()) {
        aValue.emplace();
        Read(aJson, *aValue, aHasFailed);
      }
    } else if constexpr (IsSequence<T>::value) {
      ReadSequence(aJson, aValue, aHasFailed);
    } else if constexpr (IsMap<T>::value) {
      ReadMap(aJson, aValue, aHasFailed);
    } else if constexpr (IsVariant<T>::value) {
      ReadVariant(aJson, aValue, aHasFailed);
    } else {
      CborReader reader(aJson, aHasFailed);
      VisitFields(reader, aValue);
    }
  }

private:
  template<class T>
  static void ReadEnum(const Json& aJson, T& aValue, bool& aHasFailed)
  {
    int64_t number = -1;
    ReadInteger(aJson, number, aHasFailed);
    aHasFailed = aHasFailed || NameOf(static_cast<T>(number)) == "?";
    if (!aHasFailed) {
      aValue = static_cast<T>(number);
    }
  }

  template<class T>
  static void ReadInteger(const Json& aJson, T& aValue, bool& aHasFailed)
  {
    if (!aJson.is_number_integer()) {
      aHasFailed = true;
      return;
    }
    if (aJson.is_number_unsigned()) {
      uint64_t number = aJson.get<uint64_t>();
      aHasFailed = aHasFailed || number > static_cast<uint64_t>(std::numeric_limits<T>::max());
      aValue = static_cast<T>(number);
      return;
    }
    int64_t number = aJson.get<int64_t>();
    aHasFailed = aHasFailed || number < static_cast<int64_t>(std::numeric_limits<T>::min());
    aValue = static_cast<T>(number);
  }

  template<class T>
  static void ReadSequence(const Json& aJson, std::vector<T>& aValues, bool& aHasFailed)
  {
    aHasFailed = aHasFailed || !aJson.is_array();
    if (aHasFailed) {
      return;
    }
    for (const Json& element : aJson) {
      aValues.emplace_back();
      Read(element, aValues.back(), aHasFailed);
    }
  }

  template<class T>
  static void ReadMap(const Json& aJson, std::map<std::string, T>& aValues, bool& aHasFailed)
  {
    aHasFailed = aHasFailed || !aJson.is_array() || aJson.size() % 2 != 0;
    if (aHasFailed) {
      return;
    }
    for (size_t i = 0; i + 1 < aJson.size() && !aHasFailed; i += 2) {
      std::string key;
      Read(aJson[i], key, aHasFailed);
      Read(aJson[i + 1], aValues[key], aHasFailed);
    }
  }

  template<class... T>
  static void ReadVariant(const Json& aJson, std::variant<T...>& aValue, bool& aHasFailed)
  {
    size_t index = sizeof...(T);
    aHasFailed = aHasFailed || !aJson.is_array() || aJson.size() != 2;
    if (aHasFailed) {
      return;
    }
    Read(aJson[0], index, aHasFailed);
    if (aHasFailed || index >= sizeof...(T)) {
      aHasFailed = true;
      return;
    }
    ReadAlternative(aJson[1], index, aValue, aHasFailed, std::index_sequence_for<T...>());
  }

  template<class Variant, size_t... I>
  static void ReadAlternative(const Json& aJson,
                              size_t aIndex,
                              Variant& aValue,
                              bool& aHasFailed,
                              std::index_sequence<I...> /* aIndices */)
  {
    auto readAt = [&](auto aConstant) {
      if (aIndex == aConstant) {
        Read(aJson, aValue.template emplace<aConstant>(), aHasFailed);
      }
    };
    (readAt(std::integral_constant<size_t, I>()), ...);
  }

  const Json& array_;
  bool& hasFailed_;
  size_t next_ = 0;
};

/// Returns the CBOR bytes of a JSON value.
std::string ToCborBytes(const Json& aJson);
/// Parses CBOR bytes from an untrusted peer. Returns a discarded value where they are invalid or
/// nested too deeply.
Json FromCborBytes(std::string_view aBytes);

/// Where a byte string is in CBOR bytes: its head, the begin of its content and the size there is
/// according to the head. The content may be incomplete.
struct CborByteString
{
  size_t head = 0;
  size_t begin = 0;
  uint64_t size = 0;
};

/// Finds the first byte string of at least `aMinBytes`, also in bytes that end within it.
std::optional<CborByteString> FindLargeByteString(std::string_view aBytes, size_t aMinBytes);
/// The head of a byte string of this size.
std::string CborByteStringHead(size_t aBytes);

/// Encodes a value as CBOR bytes.
template<class T>
std::string Encode(const T& aValue)
{
  return ToCborBytes(CborWriter::Write(aValue));
}

/// Decodes a value from CBOR bytes. Errors: `BrokenMessage` for bytes that do not encode a `T`.
template<class T>
absl::StatusOr<T> Decode(std::string_view aBytes)
{
  T value;
  Json json = FromCborBytes(aBytes);
  bool hasFailed = json.is_discarded();
  if (!hasFailed) {
    CborReader::Read(json, value, hasFailed);
  }
  if (hasFailed) {
    return MakeError(
      ErrorKind::BrokenMessage,
      fmt::format("a message of {} bytes cannot be decoded; check that both peers run "
                  "the same release",
                  aBytes.size()));
  }
  return value;
}

} // namespace dandelion

#endif
