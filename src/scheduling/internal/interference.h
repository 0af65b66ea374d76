// Learns how much best-effort tasks interfere with latency-critical tasks on the same worker, for
// each pair of images. Most pairs do not interfere; a few interfere strongly.
//
// A latency-critical task is modelled as a queue: its tail latency is rest / (1 - utilisation),
// where `rest` is its tail latency without load. Tasks on the same worker add to its utilisation
// rather than to its latency. The model therefore uses the normalised load of a task: 0 at rest, 1
// where the tail latency reaches the target. The normalised load of a task is the sum of the load
// from its job's own requests and of the load that best-effort tasks on the same worker add. All
// values in a worker's report cover the same 0.5 s.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "scheduling/internal/images.h"

namespace dn {

// Estimate for one pair of images.
struct InterferenceEstimateFields {
  std::string latency_critical_image;
  std::string best_effort_image;  // Empty: `weight` is the tail latency at rest.
  // Normalised load per core, or the tail latency at rest as a fraction of the target.
  double weight = 0;
  double variance = 0;  // In units of the variance of a reported normalised load.

  friend auto operator<=>(const InterferenceEstimateFields&,
                          const InterferenceEstimateFields&) = default;
};
using InterferenceEstimate = Immutable<InterferenceEstimateFields>;

class Interference {
 public:
  // Cores in use by best-effort tasks, by image.
  using BestEffortCores = std::map<ImageId, double>;

  // Updates the model with one observation: the tail latency of a task that runs
  // `latency_critical_image` was `ratio` times its target while best-effort tasks used
  // `best_effort_cores` on the same worker. `own_load` is the estimate of the load from the job's
  // own requests; it is empty before the first observation and is updated by each one.
  void Observe(ImageId latency_critical_image, const BestEffortCores& best_effort_cores,
               double ratio, std::optional<double>& own_load);

  // Returns the normalised load of a task whose tail latency is `ratio` times its target.
  double NormalisedLoad(ImageId latency_critical_image, double ratio) const;
  // Returns the normalised load that each core in use by `best_effort_image` adds; at least 0.
  double InterferencePerCore(ImageId latency_critical_image, ImageId best_effort_image) const;

  // Returns all estimates, to be recorded for a later owner.
  std::vector<InterferenceEstimate> Export(const ImageTable& images) const;
  // Imports the estimates of an earlier owner. They replace the existing ones of the same pairs.
  void Import(const std::vector<InterferenceEstimate>& estimates, ImageTable& images);

 private:
  // Recursive least squares for one latency-critical image. The load that best-effort tasks add is
  // the sum of weight x cores over their images.
  struct Model {
    double rest;                  // Lowest tail latency seen, as a fraction of the target.
    std::vector<double> weights;  // Interference per core, by column.
    std::vector<std::vector<double>> gain;  // Inverse correlation, symmetric.
  };

  std::size_t ColumnOf(ImageId best_effort_image);
  // Returns the model of a latency-critical image, extended to the current number of columns.
  Model& ModelOf(ImageId latency_critical_image);
  const Model* Find(ImageId latency_critical_image) const;

  std::vector<std::optional<std::size_t>> columns_;  // By best-effort image.
  std::vector<ImageId> best_effort_images_;          // By column.
  std::vector<std::optional<Model>> models_;         // By latency-critical image.
};

}  // namespace dn
