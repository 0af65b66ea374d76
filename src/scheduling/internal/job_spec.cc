// Conversion of job identifiers and task keys to text and back.
#include "scheduling/internal/job_spec.h"

#include <charconv>

namespace dn {
namespace {
constexpr std::size_t kIdDigits = 16;
constexpr int kHexadecimal = 16;
}  // namespace

std::string FormatJobId(JobId id) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kIdDigits, '0');
  for (std::size_t i = kIdDigits; i > 0; --i, id >>= 4U) text[i - 1] = kDigits[id & 15U];
  return text;
}

std::string FormatTaskKey(const TaskKey& key) {
  return FormatJobId(key.job) + "." + std::to_string(key.occurrence) + "." +
         std::to_string(key.step) + "." + std::to_string(key.index);
}

Result<JobId> ParseJobId(std::string_view text) {
  JobId id = 0;
  if (text.size() != kIdDigits) return Errc::kMalformed;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), id, kHexadecimal);
  if (error != std::errc() || end != text.data() + text.size()) return Errc::kMalformed;
  return id;
}

}  // namespace dn
