// Selects the queue of a request by its host and the longest matching path prefix.
#include "job_client/internal/job_service.h"

namespace dn {

const Queue* FindQueue(const QueueConfiguration& configuration, std::string_view host,
                       std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& queue : configuration->queues) {
    if (queue->host != host || path.substr(0, queue->path_prefix.size()) != queue->path_prefix) {
      continue;
    }
    if (best == nullptr || queue->path_prefix.size() > (*best)->path_prefix.size()) best = &queue;
  }
  return best;
}

}  // namespace dn
