// JSON encoding and decoding of described value types, based on jsoncpp. Decoding
// reports all findings, each with its JSON pointer and line.
#pragma once

#include <json/json.h>

#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include "core/core.h"

namespace dn {

// Treatment of members that the type does not describe. They are findings in
// operators' files and are skipped in messages, so that newer peers can add members.
enum class UnknownMembers { kReject, kSkip };

// --- Encoding.

template <class T>
Json::Value Encode(const T& value);

namespace json_internal {

template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsName : std::false_type {};
template <class Tag>
struct IsName<Name<Tag>> : std::true_type {};
template <class T>
struct IsImmutable : std::false_type {};
template <class F>
struct IsImmutable<Immutable<F>> : std::true_type {};
template <class T>
struct IsStringMap : std::false_type {};
template <class T>
struct IsStringMap<std::map<std::string, T>> : std::true_type {};

template <class T>
Json::Value EncodeDescribed(const T& value) {
  Json::Value out(Json::objectValue);
  std::apply(
      [&](const auto&... field) {
        const auto put = [&](const auto& f) {
          const auto& member = value.*(f.member);
          if constexpr (IsOptional<std::decay_t<decltype(member)>>::value) {
            if (!member) return;
          }
          out[std::string(f.name)] = Encode(member);
        };
        (put(field), ...);
      },
      T::Describe());
  return out;
}

}  // namespace json_internal

template <class T>
Json::Value Encode(const T& value) {
  using namespace json_internal;
  if constexpr (IsOptional<T>::value) {
    return value ? Encode(*value) : Json::Value();
  } else if constexpr (IsImmutable<T>::value) {
    return Encode(*value);
  } else if constexpr (IsVector<T>::value) {
    Json::Value out(Json::arrayValue);
    for (const auto& item : value) out.append(Encode(item));
    return out;
  } else if constexpr (IsStringMap<T>::value) {
    Json::Value out(Json::objectValue);
    for (const auto& [key, item] : value) out[key] = Encode(item);
    return out;
  } else if constexpr (IsName<T>::value) {
    return Json::Value(value.value);
  } else if constexpr (std::is_same_v<T, Endpoint>) {
    return Json::Value(value.ToString());
  } else if constexpr (std::is_same_v<T, Duration>) {
    return Json::Value(static_cast<Json::Int64>(value.count()));
  } else if constexpr (NamedEnum<T>) {
    return Json::Value(std::string(NameOf(value)));
  } else if constexpr (Described<T>) {
    return EncodeDescribed(value);
  } else if constexpr (std::is_same_v<T, bool> || std::is_floating_point_v<T>) {
    return Json::Value(value);
  } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
    return Json::Value(static_cast<Json::Int64>(value));
  } else if constexpr (std::is_integral_v<T>) {
    return Json::Value(static_cast<Json::UInt64>(value));
  } else {
    return Json::Value(value);
  }
}

// Returns the compact JSON text, without line breaks.
std::string ToText(const Json::Value& value);

template <class T>
std::string EncodeText(const T& value) {
  return ToText(Encode(value));
}

// --- Decoding.

// Parses `text`. Adds a finding for each syntax error and each duplicate member;
// returns nothing if there are any.
std::optional<Json::Value> ParseJson(const std::string& file, const std::string& text,
                                     Findings& findings);

// Decodes a parsed document into described types and adds a finding for each
// problem. `file` and `text`, from which the document was parsed, locate the
// findings; with an empty `text` they have no line.
class JsonDecoder {
 public:
  JsonDecoder(std::string file, const std::string& text, UnknownMembers unknown, Findings& findings)
      : file_(std::move(file)), text_(text), unknown_(unknown), findings_(findings) {}

  // Decodes `from`, which stands at JSON pointer `pointer`, into `to`.
  template <class T>
  void Read(const Json::Value& from, const std::string& pointer, T& to) {
    ReadRanged(from, pointer, std::numeric_limits<std::int64_t>::min(),
               std::numeric_limits<std::int64_t>::max(), to);
  }

  void AddFinding(const Json::Value& at, const std::string& pointer, std::string message);

 private:
  template <class T>
  void ReadRanged(const Json::Value& from, const std::string& pointer, std::int64_t min,
                  std::int64_t max, T& to) {
    using namespace json_internal;
    if constexpr (IsOptional<T>::value) {
      if (from.isNull()) return;
      ReadRanged(from, pointer, min, max, to.emplace());
    } else if constexpr (IsImmutable<T>::value) {
      typename T::Fields fields;
      Read(from, pointer, fields);
      to = T(std::move(fields));
    } else if constexpr (IsVector<T>::value) {
      ReadVector(from, pointer, to);
    } else if constexpr (IsStringMap<T>::value) {
      ReadMap(from, pointer, to);
    } else if constexpr (IsName<T>::value) {
      Read(from, pointer, to.value);
    } else if constexpr (std::is_same_v<T, Endpoint>) {
      ReadEndpoint(from, pointer, to);
    } else if constexpr (std::is_same_v<T, Duration>) {
      std::int64_t count = 0;
      ReadInteger(from, pointer, min, max, count);
      to = Duration(count);
    } else if constexpr (NamedEnum<T>) {
      ReadEnum(from, pointer, to);
    } else if constexpr (Described<T>) {
      ReadDescribed(from, pointer, to);
    } else if constexpr (std::is_same_v<T, bool>) {
      if (!from.isBool()) return AddFinding(from, pointer, "must be true or false");
      to = from.asBool();
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!from.isNumeric()) return AddFinding(from, pointer, "must be a number");
      to = from.asDouble();
    } else if constexpr (std::is_integral_v<T>) {
      ReadInteger(from, pointer, min, max, to);
    } else {
      if (!from.isString()) return AddFinding(from, pointer, "must be a string");
      to = from.asString();
    }
  }

  template <class T>
  void ReadInteger(const Json::Value& from, const std::string& pointer, std::int64_t min,
                   std::int64_t max, T& to) {
    if constexpr (std::is_unsigned_v<T> && sizeof(T) == sizeof(std::uint64_t)) {
      if (!from.isUInt64()) return AddFinding(from, pointer, "must be a non-negative integer");
      to = from.asUInt64();
    } else {
      if (!from.isInt64()) return AddFinding(from, pointer, "must be an integer");
      const std::int64_t value = from.asInt64();
      const std::int64_t low = std::max<std::int64_t>(min, std::numeric_limits<T>::min());
      const std::int64_t high = std::min<std::int64_t>(max, std::numeric_limits<T>::max());
      if (value < low || value > high) {
        return AddFinding(from, pointer,
                          "must be from " + std::to_string(low) + " to " + std::to_string(high));
      }
      to = static_cast<T>(value);
    }
  }

  template <class T>
  void ReadVector(const Json::Value& from, const std::string& pointer, std::vector<T>& to) {
    if (!from.isArray()) return AddFinding(from, pointer, "must be an array");
    to.clear();
    to.reserve(from.size());
    for (Json::ArrayIndex i = 0; i < from.size(); ++i) {
      T item{};
      Read(from[i], pointer + "/" + std::to_string(i), item);
      to.push_back(std::move(item));
    }
  }

  template <class T>
  void ReadMap(const Json::Value& from, const std::string& pointer, std::map<std::string, T>& to) {
    if (!from.isObject()) return AddFinding(from, pointer, "must be an object");
    to.clear();
    for (const std::string& name : from.getMemberNames()) {
      Read(from[name], pointer + "/" + name, to[name]);
    }
  }

  template <class T>
  void ReadEnum(const Json::Value& from, const std::string& pointer, T& to) {
    std::string names;
    for (const auto& entry : EnumNames<T>::kNames) {
      if (from.isString() && from.asString() == entry.name) {
        to = entry.value;
        return;
      }
      names += (names.empty() ? "" : ", ") + std::string(entry.name);
    }
    AddFinding(from, pointer, "must be one of " + names);
  }

  template <class T>
  void ReadDescribed(const Json::Value& from, const std::string& pointer, T& to) {
    if (!from.isObject()) return AddFinding(from, pointer, "must be an object");
    std::vector<std::string_view> known;
    std::apply(
        [&](const auto&... field) {
          const auto read = [&](const auto& f) {
            known.push_back(f.name);
            const std::string name(f.name);
            if (from.isMember(name)) {
              ReadRanged(from[name], pointer + "/" + name, f.min, f.max, to.*(f.member));
            } else if (f.required) {
              AddFinding(from, pointer + "/" + name, "is missing");
            }
          };
          (read(field), ...);
        },
        T::Describe());
    if (unknown_ == UnknownMembers::kReject) RejectUnknown(from, pointer, known);
  }

  void ReadEndpoint(const Json::Value& from, const std::string& pointer, Endpoint& to);
  void RejectUnknown(const Json::Value& from, const std::string& pointer,
                     const std::vector<std::string_view>& known);
  // Line of `value` in the text, from 1; 0 if there is no text.
  int LineOf(const Json::Value& value) const;

  const std::string file_;
  const std::string& text_;
  const UnknownMembers unknown_;
  Findings& findings_;
};

// Decodes `text`; returns nothing if there are findings.
template <class T>
std::optional<T> DecodeText(const std::string& file, const std::string& text,
                            UnknownMembers unknown, Findings& findings) {
  const std::size_t before = findings.size();
  const auto parsed = ParseJson(file, text, findings);
  if (!parsed) return std::nullopt;
  T value{};
  JsonDecoder(file, text, unknown, findings).Read(*parsed, "", value);
  if (findings.size() != before) return std::nullopt;
  return value;
}

// Decodes a message of a peer, skipping unknown members; kMalformed if the message
// is not valid.
template <class T>
Result<T> DecodeMessage(const std::string& text) {
  Findings findings;
  auto value = DecodeText<T>("message", text, UnknownMembers::kSkip, findings);
  if (!value) return Errc::kMalformed;
  return std::move(*value);
}

template <class T>
Result<T> DecodeMessage(const Json::Value& from) {
  Findings findings;
  T value{};
  JsonDecoder("message", "", UnknownMembers::kSkip, findings).Read(from, "", value);
  if (!findings.empty()) return Errc::kMalformed;
  return value;
}

}  // namespace dn
