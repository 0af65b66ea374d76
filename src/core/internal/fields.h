// Defines tables of member pointers that describe the fields of a value type.
// Encoders and the validation of settings use these tables, which keeps value
// types independent of any encoding.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>
#include <tuple>

namespace dn {

// Describes one field: its encoded name, the member that stores it, whether it
// must be present and, for numbers and durations (in milliseconds), the closed
// range of allowed values.
template <class Owner, class Type>
struct Field {
  std::string_view name;
  Type Owner::*member;
  bool required = true;
  std::int64_t min = std::numeric_limits<std::int64_t>::min();
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

// Describes a field that must be present.
template <class Owner, class Type>
constexpr auto Required(std::string_view name, Type Owner::*member,
                        std::int64_t min = std::numeric_limits<std::int64_t>::min(),
                        std::int64_t max = std::numeric_limits<std::int64_t>::max()) {
  return Field<Owner, Type>{name, member, true, min, max};
}

// Describes a field that keeps its default value when it is absent.
template <class Owner, class Type>
constexpr auto Optional(std::string_view name, Type Owner::*member,
                        std::int64_t min = std::numeric_limits<std::int64_t>::min(),
                        std::int64_t max = std::numeric_limits<std::int64_t>::max()) {
  return Field<Owner, Type>{name, member, false, min, max};
}

// A type that has a static `Describe()`, which returns a tuple of Field.
template <class T>
concept Described = requires {
  T::Describe();
};

// Maps one enumerator to its encoded name.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Each enumeration that is encoded specialises this template with a member
// `static constexpr std::array<EnumName<Enum>, N> kNames`.
template <class Enum>
struct EnumNames;

// An enumeration for which EnumNames is specialised.
template <class Enum>
concept NamedEnum = requires {
  EnumNames<Enum>::kNames;
};

// Returns the encoded name of `value`, or "?" if `value` is not in the table.
template <NamedEnum Enum>
constexpr std::string_view NameOf(Enum value) {
  for (const auto& entry : EnumNames<Enum>::kNames) {
    if (entry.value == value) return entry.name;
  }
  return "?";
}

}  // namespace dn
