// Defines the reasons and headers that report a request's outcome to its caller.
#pragma once

#include <string_view>

#include "core/internal/fields.h"

namespace dn {

// Why a request was refused or its outcome is unknown. The encoded names are part
// of the caller protocol.
enum class Reason {
  kNone,
  kMalformed,
  kUnknownService,
  kHeaderTooLarge,
  kBodyTooLarge,
  kNoCapacity,
  kIsolated,
  kNoConfiguration,
  kClaimNotConfirmed,
  kDuplicate,
  kCallerGone,
  kNoConnection,
  kDeadline,
  kConnectionBroken,
  kResponseInvalid,
};
template <>
struct EnumNames<Reason> {
  static constexpr std::array<EnumName<Reason>, 15> kNames = {
      {{Reason::kNone, "none"},
       {Reason::kMalformed, "malformed"},
       {Reason::kUnknownService, "unknown-service"},
       {Reason::kHeaderTooLarge, "header-too-large"},
       {Reason::kBodyTooLarge, "body-too-large"},
       {Reason::kNoCapacity, "no-capacity"},
       {Reason::kIsolated, "isolated"},
       {Reason::kNoConfiguration, "no-configuration"},
       {Reason::kClaimNotConfirmed, "claim-not-confirmed"},
       {Reason::kDuplicate, "duplicate"},
       {Reason::kCallerGone, "caller-gone"},
       {Reason::kNoConnection, "no-connection"},
       {Reason::kDeadline, "deadline"},
       {Reason::kConnectionBroken, "connection-broken"},
       {Reason::kResponseInvalid, "answer-invalid"}}};
};

// Headers of the caller protocol.
inline constexpr std::string_view kOutcomeHeader = "Dn-Outcome";
inline constexpr std::string_view kReasonHeader = "Dn-Reason";
inline constexpr std::string_view kFirstOutcomeHeader = "Dn-First-Outcome";
inline constexpr std::string_view kRequestIdHeader = "Dn-Request-Id";
inline constexpr std::string_view kRelayedByHeader = "Dn-Relayed-By";
inline constexpr std::string_view kDeadlineHeader = "Dn-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kHeaderPrefix = "Dn-";
inline constexpr std::string_view kOutcomeDuplicate = "duplicate";

}  // namespace dn
