// Implements the error category of Errc and the texts of its codes.
#include "core/internal/error.h"

#include <array>

namespace dn {
namespace {

constexpr std::array<const char*, 15> kTexts = {
    "success",   "timed out",   "unreachable", "connection broken", "malformed message",
    "too large", "unavailable", "conflict",    "refused",           "not found",
    "invalid",   "expired",     "outdated",    "draining",          "withdrawn"};

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "dandelionnotch"; }
  std::string message(int code) const override {
    const auto index = static_cast<std::size_t>(code);
    return index < kTexts.size() ? kTexts.at(index) : "unknown error";
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) { return {static_cast<int>(code), ErrorCategory()}; }

}  // namespace dn
