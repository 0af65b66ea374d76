// Defines the project's error codes and the result type that all packages use.
#pragma once

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <system_error>

namespace dn {

enum class Errc {
  kTimeout = 1,  // No response arrived before the deadline.
  kUnreachable,  // No connection could be established; nothing was sent.
  kBroken,       // The connection was lost after data had been sent.
  kMalformed,    // The message could not be decoded.
  kTooLarge,     // The message exceeds its size limit.
  kUnavailable,  // The peer reported that it is temporarily unable to serve.
  kConflict,     // A competing change was accepted first.
  kRefused,      // The peer refused the request.
  kNotFound,     // The requested object does not exist.
  kInvalid,      // Validation of the input produced findings.
  kExpired,      // Retention has removed the records, or a lease has expired.
  kOutdated,     // What the peer holds may be too old to be told.
  kDraining,     // This process is shutting down.
  kWithdrawn,    // The caller's condition for the call did not hold any more; nothing was sent.
};

const std::error_category& ErrorCategory();
std::error_code make_error_code(Errc code);

// Contains either a value of type T or a std::error_code.
template <class T = void>
using Result = boost::outcome_v2::std_result<T>;

}  // namespace dn

template <>
struct std::is_error_code_enum<dn::Errc> : std::true_type {};
