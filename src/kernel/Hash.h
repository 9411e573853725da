/// Hashes by xxHash, and a visitor that hashes the fields of a typed value.
#ifndef DANDELION_KERNEL_HASH_H
#define DANDELION_KERNEL_HASH_H

#include "kernel/FieldTraits.h"

#include <xxhash.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// 64-bit hash of a sequence of bytes.
uint64_t HashBytes(std::string_view aBytes, uint64_t aSeed = 0);

/// Field visitor that adds each field, after its length where it has one, to one 128-bit hash.
/// The result does not depend on any encoding.
class FieldHash
{
public:
  FieldHash();
  ~FieldHash();
  FieldHash(const FieldHash&) = delete;
  FieldHash& operator=(const FieldHash&) = delete;

  template<class T, class... Limits>
  void Field(std::string_view /* aName */, T& aValue, const Limits&... /* aLimits */)
  {
    Add(aValue);
  }

  template<class T, class... Limits>
  void OptionalField(std::string_view /* aName */, T& aValue, const Limits&... /* aLimits */)
  {
    Add(aValue);
  }

  /// The hash so far, as 32 hexadecimal digits.
  std::string Digest() const;

  template<class T>
  void Add(T& aValue)
  {
    if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
      AddInteger(static_cast<uint64_t>(aValue));
    } else if constexpr (std::is_same_v<std::remove_const_t<T>, std::string>) {
      AddInteger(aValue.size());
      AddBytes(aValue);
    } else if constexpr (IsSequence<std::remove_const_t<T>>::value) {
      AddInteger(aValue.size());
      for (auto& element : aValue) {
        Add(element);
      }
    } else if constexpr (IsMap<std::remove_const_t<T>>::value) {
      AddInteger(aValue.size());
      for (auto& [key, element] : aValue) {
        Add(key);
        Add(element);
      }
    } else if constexpr (IsOptional<std::remove_const_t<T>>::value) {
      AddInteger(aValue.has_value() ? 1 : 0);
      if (aValue.has_value()) {
        Add(*aValue);
      }
    } else {
      VisitFields(*this, MutableForVisit(aValue));
    }
  }

private:
  void AddInteger(uint64_t aValue);
  void AddBytes(std::string_view aBytes);

  XXH3_state_t* state_;
};

/// The hash of a value that has `VisitFields`.
template<class T>
std::string HashOf(const T& aValue)
{
  FieldHash hash;
  hash.Add(aValue);
  return hash.Digest();
}

} // namespace dandelion

#endif
