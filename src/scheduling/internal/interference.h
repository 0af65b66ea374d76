// Learns how much the tail latency of serving tasks rises by fills beside them,
// by pair of images. Most pairs do not matter, a few matter much. Both figures
// that are compared are reported by the worker for the same half second.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "scheduling/internal/images.h"

namespace dn {

// What was learned of one pair of images.
struct HarmEstimateFields {
  std::string serving_image;
  std::string fill_image;  // Empty: the base, without fills.
  double weight = 0;       // Rise of the ratio a core; the ratio itself for the base.
  double variance = 0;     // In units of the variance of a reported ratio.

  friend auto operator<=>(const HarmEstimateFields&, const HarmEstimateFields&) = default;
};
using HarmEstimate = Immutable<HarmEstimateFields>;

class Interference {
 public:
  // Cores that fills used, by image.
  using Fills = std::map<ImageId, double>;

  // The tail latency of a task of `serving_image` was `ratio` times its target
  // while `fills` worked beside it.
  void Observe(ImageId serving_image, const Fills& fills, double ratio);

  // Rise of the ratio for each core that `fill_image` uses; at least 0.
  double HarmPerCore(ImageId serving_image, ImageId fill_image) const;

  // Everything learned, to hand it to a later owner.
  std::vector<HarmEstimate> Export(const ImageTable& images) const;
  // Takes what an earlier owner learned; replaces what is known of its pairs.
  void Import(const std::vector<HarmEstimate>& estimates, ImageTable& images);

 private:
  // Recursive least squares for one serving image: ratio = base + sum of harm x
  // cores.
  struct Model {
    std::vector<double> weights;            // By column; empty: nothing is known.
    std::vector<std::vector<double>> gain;  // Inverse correlation, symmetric.
  };

  std::size_t ColumnOf(ImageId fill_image);
  // The model of a serving image, as wide as there are columns.
  Model& ModelOf(ImageId serving_image);

  std::vector<std::size_t> columns_;  // By fill image, from 1; 0: none yet.
  std::vector<ImageId> fill_images_;  // By column, from 1.
  std::vector<Model> models_;         // By serving image.
};

}  // namespace dn
