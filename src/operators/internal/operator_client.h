// Access of operators' tools to the system: they read and append records of streams in the store,
// and send control calls to instances.
#pragma once

#include <optional>
#include <vector>

#include "decisions/decisions.h"
#include "operators/internal/status.h"
#include "store/store.h"

namespace dn {

// Result of applying a configuration.
struct Applied {
  ApplyResult result;
  Offset base_revision = kNoOffset;

  auto operator<=>(const Applied&) const = default;
};

class OperatorClient {
 public:
  OperatorClient(HttpClient& http, StoreClient& store) : http_(http), store_(store) {}

  // Both read the whole stream, up to its present end, and print the offsets of skipped records on
  // standard error. kExpired if retention has removed records that the state needs.
  Task<Result<ConfigurationState>> ReadConfiguration();
  Task<Result<MembershipState>> ReadMembership();
  // Appends `configuration` as a change of revision `base` and reads the result back. Retries
  // under the same `id` until `deadline`. After an error it is unknown whether the configuration
  // was accepted or still will be; kTimeout: appended, but the result was not read.
  Task<Result<Applied>> ApplyConfiguration(RecordId id, Offset base, Configuration configuration,
                                           Time deadline);
  // The control calls below have a timeout of 3 s.
  Task<Result<Status>> StatusOf(Instance instance);
  // Events with a logical time after `after`.
  Task<Result<std::vector<Event>>> EventsOf(Instance instance, std::int64_t after);
  Task<Result<HttpReply>> Call(Instance instance, HttpCall call);

 private:
  template <class Record, class Fold>
  Task<Result<Fold>> ReadAll(std::string stream);

  HttpClient& http_;
  StoreClient& store_;
};

}  // namespace dn
