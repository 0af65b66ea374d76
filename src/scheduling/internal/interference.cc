// Recursive least squares with forgetting.
#include "scheduling/internal/interference.h"

#include <algorithm>

namespace dn {
namespace {

constexpr std::size_t kFixedColumns = 2;  // Constant and load.
// Weight of an observation decays by this factor with each later one: about
// 2,000 observations, 10 s of a fleet of 50 workers.
constexpr double kForgetting = 0.9995;
// Variance of a weight before anything was seen; larger learns faster.
constexpr double kPriorVariance = 0.5;
// Bound on the variance, so that forgetting cannot blow it up while a column
// is not excited.
constexpr double kMaxVariance = 2.0;
// Harm of an image that was never seen, as a share of the target: a fill of
// average harm leaves room for about three of them.
constexpr double kPriorHarm = 0.15;
// Ratios above this say only "much too slow".
constexpr double kMaxRatio = 4.0;

}  // namespace

std::size_t Interference::ColumnOf(const std::string& fill_image) {
  return columns_.try_emplace(fill_image, kFixedColumns + columns_.size()).first->second;
}

void Interference::Widen(Model& model, std::size_t columns) {
  for (auto& row : model.gain) row.resize(columns, 0.0);
  for (std::size_t i = model.weights.size(); i < columns; ++i) {
    model.weights.push_back(i < kFixedColumns ? 0.0 : kPriorHarm);
    model.gain.emplace_back(columns, 0.0);
    model.gain[i][i] = kPriorVariance;
  }
}

void Interference::Observe(const std::string& serving_image, const Fills& fills, double load,
                           double ratio) {
  std::vector<std::pair<std::size_t, double>> inputs = {{0, 1.0}, {1, load}};
  for (const auto& [image, weight] : fills) inputs.emplace_back(ColumnOf(image), weight);
  Model& model = models_[serving_image];
  const std::size_t columns = kFixedColumns + columns_.size();
  Widen(model, columns);

  std::vector<double> spread(columns, 0.0);  // gain x inputs
  double predicted = 0;
  for (const auto& [column, value] : inputs) {
    predicted += model.weights[column] * value;
    for (std::size_t row = 0; row < columns; ++row) spread[row] += model.gain[row][column] * value;
  }
  double denominator = kForgetting;
  for (const auto& [column, value] : inputs) denominator += spread[column] * value;
  const double error = std::min(ratio, kMaxRatio) - predicted;
  for (std::size_t row = 0; row < columns; ++row) {
    model.weights[row] += spread[row] / denominator * error;
  }
  for (std::size_t row = 0; row < columns; ++row) {
    for (std::size_t column = 0; column < columns; ++column) {
      double& cell = model.gain[row][column];
      cell = (cell - spread[row] * spread[column] / denominator) / kForgetting;
      cell = std::clamp(cell, -kMaxVariance, kMaxVariance);
    }
  }
}

double Interference::Harm(const std::string& serving_image, const std::string& fill_image) const {
  const auto column = columns_.find(fill_image);
  const auto model = models_.find(serving_image);
  if (column == columns_.end() || model == models_.end()) return kPriorHarm;
  if (column->second >= model->second.weights.size()) return kPriorHarm;
  return std::max(0.0, model->second.weights[column->second]);
}

}  // namespace dn
