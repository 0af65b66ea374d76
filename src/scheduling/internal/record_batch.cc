// Text of a batch of records for the log.
#include "scheduling/internal/shard.h"

namespace dn {
namespace {

// Maximum sizes of the lists of runs and of ends, in bytes. Together they fit into the detail of a
// line of the log, 2,400 bytes, with the epoch, numbers and counts before them.
constexpr std::size_t kMaxRunsBytes = 1'500;
constexpr std::size_t kMaxEndsBytes = 600;

// Joins items by commas up to a size, and counts the others.
class BoundedList {
 public:
  explicit BoundedList(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void Add(const std::string& item) {
    if (left_out_ > 0 || text_.size() + 1 + item.size() > max_bytes_) {
      ++left_out_;
      return;
    }
    if (!text_.empty()) text_ += ',';
    text_ += item;
  }
  std::size_t left_out() const { return left_out_; }
  const std::string& text() const { return text_; }

 private:
  const std::size_t max_bytes_;
  std::size_t left_out_ = 0;  // Once above 0, no further item is added.
  std::string text_;
};

}  // namespace

std::string ToText(const RecordBatch& batch) {
  BoundedList runs(kMaxRunsBytes);
  for (std::size_t i = 0; i < batch.intents.size(); ++i) {
    runs.Add(FormatTaskKey(batch.intents[i]) + "/" + std::to_string(batch.runs[i]) + "@" +
             batch.workers[i].value);
  }
  BoundedList ends(kMaxEndsBytes);
  for (const auto& [worker, end] : batch.ends) {
    ends.Add(worker.value + ":" + std::to_string(end.second));
  }
  return "runs_left_out=" + std::to_string(runs.left_out()) +
         " ends_left_out=" + std::to_string(ends.left_out()) + " runs=" + runs.text() +
         " ends=" + ends.text();
}

}  // namespace dn
