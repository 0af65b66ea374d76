// Decodes registrations and remembers their problems.
#include "store/internal/registration_reader.h"

namespace dn {
namespace {
// Twice the number of workers that the system is designed for. With more invalid
// registrations, some are logged again.
constexpr std::size_t kMaxProblems = 14'000;
}  // namespace

std::optional<WorkerEntry> RegistrationReader::Read(const StoreRecord& record) {
  Findings findings;
  std::optional<WorkerEntry> entry;
  if (record->value) entry = decode_(record->key, *record->value, findings);
  if (findings.empty()) {
    problems_.erase(record->key);
    return entry;
  }
  const Finding& first = findings.front();
  std::string problem =
      "member=" + (first.pointer.empty() ? "/" : first.pointer) + " cause=" + first.message;
  if (problems_.size() >= kMaxProblems) problems_.clear();
  std::string& known = problems_[record->key];
  if (known != problem) log_.Write("worker-entry-skipped", record->key, problem);
  known = std::move(problem);
  return std::nullopt;
}

}  // namespace dn
