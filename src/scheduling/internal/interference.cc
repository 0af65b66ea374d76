// Recursive least squares with forgetting.
#include "scheduling/internal/interference.h"

#include <algorithm>

namespace dn {
namespace {

constexpr std::size_t kFixedColumns = 1;  // The base.
// An observation's weight decays by this factor with each later one: about
// 4,000 observations, 20 s of a fleet of 50 workers.
constexpr double kForgetting = 0.99975;
// Variance of the harm of a core before anything was seen, in units of the
// variance of the reported ratio (0.2 squared): harms of 0 to 0.5 are usual.
constexpr double kPriorVariance = 0.5;
constexpr double kBaseVariance = 4.0;
// Bound on the variance, so that forgetting cannot blow it up while a pair does
// not meet.
constexpr double kMaxVariance = 4.0;
// Harm of a core of an unseen pair: four fills of seven cores use up the usual
// distance from the target.
constexpr double kPriorHarm = 0.02;
constexpr double kPriorBase = 0.4;
// Ratios above this say only "much too slow".
constexpr double kMaxRatio = 4.0;

}  // namespace

std::size_t Interference::ColumnOf(const std::string& fill_image) {
  return columns_.try_emplace(fill_image, kFixedColumns + columns_.size()).first->second;
}

void Interference::Widen(Model& model, std::size_t columns) {
  for (auto& row : model.gain) row.resize(columns, 0.0);
  for (std::size_t i = model.weights.size(); i < columns; ++i) {
    model.weights.push_back(i < kFixedColumns ? kPriorBase : kPriorHarm);
    model.gain.emplace_back(columns, 0.0);
    model.gain[i][i] = i < kFixedColumns ? kBaseVariance : kPriorVariance;
  }
}

void Interference::Observe(const std::string& serving_image, const Fills& fills, double ratio) {
  std::vector<std::pair<std::size_t, double>> inputs = {{0, 1.0}};
  for (const auto& [image, cores] : fills) inputs.emplace_back(ColumnOf(image), cores);
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

std::vector<HarmEstimate> Interference::Export() const {
  std::vector<HarmEstimate> out;
  for (const auto& [image, model] : models_) {
    out.emplace_back(HarmEstimateFields{.serving_image = image,
                                        .fill_image = {},
                                        .weight = model.weights[0],
                                        .variance = model.gain[0][0]});
    for (const auto& [fill, column] : columns_) {
      if (column >= model.weights.size()) continue;
      out.emplace_back(HarmEstimateFields{.serving_image = image,
                                          .fill_image = fill,
                                          .weight = model.weights[column],
                                          .variance = model.gain[column][column]});
    }
  }
  return out;
}

void Interference::Import(const std::vector<HarmEstimate>& estimates) {
  for (const HarmEstimate& estimate : estimates) {
    if (!estimate->fill_image.empty()) ColumnOf(estimate->fill_image);
  }
  const std::size_t columns = kFixedColumns + columns_.size();
  for (const HarmEstimate& estimate : estimates) {
    Model& model = models_[estimate->serving_image];
    Widen(model, columns);
    const std::size_t column = estimate->fill_image.empty() ? 0 : columns_.at(estimate->fill_image);
    model.weights[column] = estimate->weight;
    model.gain[column][column] = std::clamp(estimate->variance, 0.0, kMaxVariance);
  }
}

double Interference::HarmPerCore(const std::string& serving_image,
                                 const std::string& fill_image) const {
  const auto column = columns_.find(fill_image);
  const auto model = models_.find(serving_image);
  if (column == columns_.end() || model == models_.end()) return kPriorHarm;
  if (column->second >= model->second.weights.size()) return kPriorHarm;
  return std::max(0.0, model->second.weights[column->second]);
}

}  // namespace dn
