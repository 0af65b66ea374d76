// Learns how much the tail latency of serving tasks rises by fills beside them,
// by pair of images. Most pairs do not matter, a few matter much. Both figures
// that are compared are reported by the worker for the same half second.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

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
  using Fills = std::map<std::string, double>;

  // The tail latency of a task of `serving_image` was `ratio` times its target
  // while `fills` worked beside it.
  void Observe(const std::string& serving_image, const Fills& fills, double ratio);

  // Rise of the ratio for each core that `fill_image` uses; at least 0.
  double HarmPerCore(const std::string& serving_image, const std::string& fill_image) const;

  // Everything learned, to hand it to a later owner.
  std::vector<HarmEstimate> Export() const;
  // Takes what an earlier owner learned; replaces what is known of its pairs.
  void Import(const std::vector<HarmEstimate>& estimates);

 private:
  // Recursive least squares for one serving image: ratio = base + sum of harm x
  // cores.
  struct Model {
    std::vector<double> weights;            // By column.
    std::vector<std::vector<double>> gain;  // Inverse correlation, symmetric.
  };

  std::size_t ColumnOf(const std::string& fill_image);
  static void Widen(Model& model, std::size_t columns);

  std::map<std::string, std::size_t> columns_;  // Fill image -> column, from 1.
  std::map<std::string, Model> models_;         // By serving image.
};

}  // namespace dn
