// What a node needs from the adapter of its platform.
#pragma once

#include <string>
#include <string_view>

#include "job_client/job_client.h"
#include "store/store.h"
#include "task_worker/task_worker.h"

namespace dn {

struct NodeAdapter {
  std::string settings_path;
  std::optional<NodeSettings> (*settings)(const std::string& file, const std::string& text,
                                          Findings& findings) = nullptr;
  StoreProtocol store;
  WorkerProtocol workers;
  JobProtocol jobs;
  Partition operator_records;
  std::string catalogue_key;
  Result<QueueConfiguration> (*catalogue)(std::string_view text) = nullptr;
  WorkerRegistry registry;
};

}  // namespace dn
