// Encodings, decoders and locations that the adapter of a platform supplies to a
// node.
#pragma once

#include <string>
#include <string_view>

#include "job_client/job_client.h"
#include "store/store.h"
#include "task_worker/task_worker.h"

namespace dn {

struct NodeAdapter {
  std::string settings_path;  // Default path of the settings file.
  // Decodes the settings; `file` is named in `findings`. Returns nullopt if the
  // settings are invalid.
  std::optional<NodeSettings> (*decode_settings)(const std::string& file, const std::string& text,
                                                 Findings& findings) = nullptr;
  StoreProtocol store;
  WorkerProtocol workers;
  JobProtocol jobs;
  Partition operator_records;           // Partition of the records that operators write.
  std::string queue_configuration_key;  // Key of the queue configuration among them.
  // Decodes the queue configuration.
  Result<QueueConfiguration> (*decode_queue_configuration)(std::string_view text) = nullptr;
  // Returns the zone that the operator's record with this key evacuates; nothing for another key.
  std::optional<std::string> (*evacuated_zone)(std::string_view key) = nullptr;
  WorkerRegistry registry;
};

}  // namespace dn
