/// Tables of names for enumerations.
///
/// Each `enum class` that is printed, parsed or sent specialises `EnumNames` with a constant
/// `kTable` of (value, name) pairs. Names are unique within a table.
#ifndef DANDELION_KERNEL_ENUM_NAMES_H
#define DANDELION_KERNEL_ENUM_NAMES_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dandelion {

template<class Enum>
struct EnumName
{
  Enum value;
  std::string_view name;
};

template<class Enum>
struct EnumNames;

/// The name of a value, or "?" for a value outside of the table.
template<class Enum>
constexpr std::string_view NameOf(Enum aValue)
{
  for (const auto& row : EnumNames<Enum>::kTable) {
    if (row.value == aValue) {
      return row.name;
    }
  }
  return "?";
}

/// The value with this name, if there is one.
template<class Enum>
constexpr std::optional<Enum> FromName(std::string_view aName)
{
  for (const auto& row : EnumNames<Enum>::kTable) {
    if (row.name == aName) {
      return row.value;
    }
  }
  return std::nullopt;
}

/// All names of an enumeration, for error messages: "a, b, c".
template<class Enum>
std::string AllNames()
{
  std::string names;
  for (const auto& row : EnumNames<Enum>::kTable) {
    names += names.empty() ? "" : ", ";
    names += row.name;
  }
  return names;
}

} // namespace dandelion

#endif
