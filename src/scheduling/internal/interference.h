// Learns how much the tail latency of serving tasks rises by each fill beside
// them, by pair of images, from reports that are rough and late.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace dn {

class Interference {
 public:
  // Number of running fills by image, each weighted with its pace (0 to 1).
  using Fills = std::map<std::string, double>;

  // One report: the tail latency of a task of `serving_image` was `ratio` times
  // its target while `fills` ran beside it, and `load` cores of other serving
  // tasks (as a share of the worker).
  void Observe(const std::string& serving_image, const Fills& fills, double load, double ratio);

  // Rise of the ratio by one more fill of `fill_image` at full pace; at least 0.
  double Harm(const std::string& serving_image, const std::string& fill_image) const;

 private:
  // Recursive least squares for one serving image: ratio = base + slope x load
  // + sum of harm x fills.
  struct Model {
    std::vector<double> weights;            // By column.
    std::vector<std::vector<double>> gain;  // Inverse correlation, symmetric.
  };

  std::size_t ColumnOf(const std::string& fill_image);
  static void Widen(Model& model, std::size_t columns);

  std::map<std::string, std::size_t> columns_;  // Fill image -> column, from 2.
  std::map<std::string, Model> models_;         // By serving image.
};

}  // namespace dn
