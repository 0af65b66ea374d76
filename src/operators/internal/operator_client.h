// What operators' tools read and write: streams in the store, and instances'
// control calls.
#pragma once

#include <optional>
#include <vector>

#include "decisions/decisions.h"
#include "operators/internal/status.h"
#include "store/store.h"

namespace dn {

// Answer to an apply.
struct Applied {
  ApplyResult verdict;
  Offset in_force_before = kNoOffset;

  auto operator<=>(const Applied&) const = default;
};

class OperatorClient {
 public:
  OperatorClient(HttpClient& http, StoreClient& store) : http_(http), store_(store) {}

  // Folds the whole stream as of now.
  Task<Result<ConfigurationState>> ReadConfiguration();
  Task<Result<MembershipState>> ReadRoster();
  // Appends `configuration`, tries again under the same `id` until `deadline`
  // and reads the verdict back. kTimeout: not known whether it was accepted.
  Task<Result<Applied>> ApplyConfiguration(RecordId id, Offset base, Configuration configuration,
                                           Time deadline);
  Task<Result<Status>> StatusOf(Instance instance);
  Task<Result<std::vector<Event>>> EventsOf(Instance instance, std::int64_t after);
  Task<Result<HttpReply>> Call(Instance instance, HttpCall call);

 private:
  template <class Record, class Fold>
  Task<Result<Fold>> ReadAll(std::string stream);

  HttpClient& http_;
  StoreClient& store_;
};

}  // namespace dn
