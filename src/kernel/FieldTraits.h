/// Traits shared by the field visitors.
///
/// A typed value lists its fields once, in a function `VisitFields(visitor, value)` that calls
/// `visitor.Field(name, member, limits...)` or `visitor.OptionalField(...)` for each. Readers,
/// writers and hashes are visitors, so the types do not depend on an encoding.
#ifndef DANDELION_KERNEL_FIELD_TRAITS_H
#define DANDELION_KERNEL_FIELD_TRAITS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace dandelion {

template<class T>
struct IsSequence : std::false_type
{
};
template<class T>
struct IsSequence<std::vector<T>> : std::true_type
{
};

template<class T>
struct IsMap : std::false_type
{
};
template<class K, class V>
struct IsMap<std::map<K, V>> : std::true_type
{
};

template<class T>
struct IsOptional : std::false_type
{
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};

template<class T>
struct IsVariant : std::false_type
{
};
template<class... T>
struct IsVariant<std::variant<T...>> : std::true_type
{
};

/// A type that may also be written as one string, such as "10.0.0.1:80" for an endpoint. Specialise
/// with `static std::optional<T> Parse(std::string_view)` and
/// `static constexpr const char* kFormat`, the form of the string as error messages show it.
template<class T>
struct TextForm
{
  static constexpr bool kExists = false;
};

/// Inclusive bounds of an integer field, in the unit that the field's name gives.
struct IntegerRange
{
  int64_t lowest;
  int64_t highest;
};

/// Maximum length of a string field, in bytes. An empty string is rejected as well.
struct MaxTextBytes
{
  size_t bytes;
};

/// Removes const for visitors that only read. `VisitFields` takes a mutable reference because
/// readers assign the fields; writers and hashes call it through this cast and modify nothing.
template<class T>
std::remove_const_t<T>& MutableForVisit(T& aValue)
{
  return const_cast<std::remove_const_t<T>&>(aValue);
}

/// Combines lambdas into one visitor for `std::visit`.
template<class... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace dandelion

#endif
