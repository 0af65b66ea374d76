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

std::size_t Interference::ColumnOf(ImageId fill_image) {
  if (columns_.size() <= fill_image) columns_.resize(fill_image + 1, 0);
  std::size_t& column = columns_[fill_image];
  if (column == 0) {
    fill_images_.push_back(fill_image);
    column = fill_images_.size();
  }
  return column;
}

Interference::Model& Interference::ModelOf(ImageId serving_image) {
  if (models_.size() <= serving_image) models_.resize(serving_image + 1);
  Model& model = models_[serving_image];
  const std::size_t columns = kFixedColumns + fill_images_.size();
  for (auto& row : model.gain) row.resize(columns, 0.0);
  for (std::size_t i = model.weights.size(); i < columns; ++i) {
    model.weights.push_back(i < kFixedColumns ? kPriorBase : kPriorHarm);
    model.gain.emplace_back(columns, 0.0);
    model.gain[i][i] = i < kFixedColumns ? kBaseVariance : kPriorVariance;
  }
  return model;
}

void Interference::Observe(ImageId serving_image, const Fills& fills, double ratio) {
  std::vector<std::pair<std::size_t, double>> inputs = {{0, 1.0}};
  for (const auto& [image, cores] : fills) inputs.emplace_back(ColumnOf(image), cores);
  Model& model = ModelOf(serving_image);
  const std::size_t columns = model.weights.size();

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

std::vector<HarmEstimate> Interference::Export(const ImageTable& images) const {
  std::vector<HarmEstimate> out;
  for (ImageId serving = 0; serving < models_.size(); ++serving) {
    const Model& model = models_[serving];
    for (std::size_t column = 0; column < model.weights.size(); ++column) {
      const bool base = column < kFixedColumns;
      out.emplace_back(HarmEstimateFields{
          .serving_image = images.NameOf(serving),
          .fill_image = base ? "" : images.NameOf(fill_images_[column - kFixedColumns]),
          .weight = model.weights[column],
          .variance = model.gain[column][column]});
    }
  }
  return out;
}

void Interference::Import(const std::vector<HarmEstimate>& estimates, ImageTable& images) {
  for (const HarmEstimate& estimate : estimates) {
    const bool base = estimate->fill_image.empty();
    const std::size_t column = base ? 0 : ColumnOf(images.Of(estimate->fill_image));
    Model& model = ModelOf(images.Of(estimate->serving_image));
    model.weights[column] = estimate->weight;
    model.gain[column][column] = std::clamp(estimate->variance, 0.0, kMaxVariance);
  }
}

double Interference::HarmPerCore(ImageId serving_image, ImageId fill_image) const {
  if (fill_image >= columns_.size() || serving_image >= models_.size()) return kPriorHarm;
  const std::size_t column = columns_[fill_image];
  const std::vector<double>& weights = models_[serving_image].weights;
  if (column == 0 || column >= weights.size()) return kPriorHarm;
  return std::max(0.0, weights[column]);
}

}  // namespace dn
