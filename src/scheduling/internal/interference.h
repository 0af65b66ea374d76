// Learns how much fills press on serving tasks beside them, by pair of images.
// Most pairs do not matter, a few matter much.
//
// A serving task is a queue: its tail latency is rest / (1 - utilisation). What
// works beside it adds to its utilisation, not to its latency, so everything here
// is reckoned in pressure: 0 at rest, 1 where the tail reaches the target. The
// pressure of a task is that of its job's own load plus that of the fills beside
// it. Reported figures of one worker are for the same half second.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "scheduling/internal/images.h"

namespace dn {

// What was learned of one pair of images.
struct HarmEstimateFields {
  std::string serving_image;
  std::string fill_image;  // Empty: `weight` is the tail at rest.
  double weight = 0;       // Pressure a core; or the tail as a share of the target.
  double variance = 0;     // In units of the variance of a reported pressure.

  friend auto operator<=>(const HarmEstimateFields&, const HarmEstimateFields&) = default;
};
using HarmEstimate = Immutable<HarmEstimateFields>;

class Interference {
 public:
  // Cores that fills used, by image.
  using Fills = std::map<ImageId, double>;

  // The tail latency of a task of `serving_image` was `ratio` times its target
  // while `fills` worked beside it. `own` is the estimate of its job's own
  // pressure, empty at first, and follows what is observed.
  void Observe(ImageId serving_image, const Fills& fills, double ratio, std::optional<double>& own);

  // Pressure of a task whose tail latency is `ratio` times its target.
  double PressureOf(ImageId serving_image, double ratio) const;
  // Pressure for each core that `fill_image` uses; at least 0.
  double HarmPerCore(ImageId serving_image, ImageId fill_image) const;

  // Everything learned, to hand it to a later owner.
  std::vector<HarmEstimate> Export(const ImageTable& images) const;
  // Takes what an earlier owner learned; replaces what is known of its pairs.
  void Import(const std::vector<HarmEstimate>& estimates, ImageTable& images);

 private:
  // Recursive least squares for one serving image: pressure by fills = sum of
  // harm x cores.
  struct Model {
    double rest;                            // Least tail seen, as a share of the target.
    std::vector<double> weights;            // By column.
    std::vector<std::vector<double>> gain;  // Inverse correlation, symmetric.
  };

  std::size_t ColumnOf(ImageId fill_image);
  // The model of a serving image, as wide as there are columns.
  Model& ModelOf(ImageId serving_image);
  const Model* Find(ImageId serving_image) const;

  std::vector<std::optional<std::size_t>> columns_;  // By fill image.
  std::vector<ImageId> fill_images_;                 // By column.
  std::vector<std::optional<Model>> models_;         // By serving image.
};

}  // namespace dn
