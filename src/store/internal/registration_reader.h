// Reads registrations of workers that anyone may have written.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "runtime/runtime.h"
#include "store/internal/worker_registry.h"

namespace dn {

// Decodes registrations and logs those that name no usable worker. Not thread-safe.
class RegistrationReader {
 public:
  RegistrationReader(const WorkerRegistry& registry, DecisionLog& log)
      : decode_(registry.decode), log_(log) {}

  // Returns the registration in `record`; nothing if the worker is not registered or the
  // registration is invalid. Logs the first problem of an invalid one, unless it was the
  // last one logged for the key.
  std::optional<WorkerEntry> Read(const StoreRecord& record);

 private:
  const decltype(WorkerRegistry::decode) decode_;
  DecisionLog& log_;
  // Problem of each key whose last registration is invalid; at most kMaxProblems.
  std::map<std::string, std::string> problems_;
};

}  // namespace dn
