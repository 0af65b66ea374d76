// Estimates interference by recursive least squares with a forgetting factor.
#include "scheduling/internal/interference.h"

#include <algorithm>

namespace dn {
namespace {

// Each observation multiplies the weight of all earlier ones by this factor, so that about 4,000
// observations count: 20 s of a fleet of 50 workers.
constexpr double kForgetting = 0.99975;
// Assumed tail latency at rest, as a fraction of the target, before the first observation.
constexpr double kPriorRest = 0.25;
// Assumed interference per core of a pair that has not been observed: between that of most pairs
// (0.002) and that of the few that interfere strongly (0.02).
constexpr double kPriorHarm = 0.004;
// Variance of the assumed interference per core, in units of the variance of a reported normalised
// load (0.04 squared); values of up to 0.03 are common. It is also the upper bound of the variance,
// since forgetting would otherwise let it grow without limit while a pair is not observed.
constexpr double kPriorVariance = 0.06;
// Smoothing factor of the load from a job's own requests. A job is reported at least ten times a
// second, and its load changes by 0.1 per second.
constexpr double kOwnShare = 0.3;
// Larger prediction errors have other causes, such as a slow worker, and are clamped.
constexpr double kMaxError = 0.3;

}  // namespace

std::size_t Interference::ColumnOf(ImageId fill_image) {
  if (columns_.size() <= fill_image) columns_.resize(fill_image + 1);
  std::optional<std::size_t>& column = columns_[fill_image];
  if (!column) {
    column = fill_images_.size();
    fill_images_.push_back(fill_image);
  }
  return *column;
}

Interference::Model& Interference::ModelOf(ImageId serving_image) {
  if (models_.size() <= serving_image) models_.resize(serving_image + 1);
  if (!models_[serving_image]) {
    models_[serving_image] = Model{.rest = kPriorRest, .weights = {}, .gain = {}};
  }
  Model& model = *models_[serving_image];
  const std::size_t columns = fill_images_.size();
  for (auto& row : model.gain) row.resize(columns, 0.0);
  for (std::size_t i = model.weights.size(); i < columns; ++i) {
    model.weights.push_back(kPriorHarm);
    model.gain.emplace_back(columns, 0.0);
    model.gain[i][i] = kPriorVariance;
  }
  return model;
}

const Interference::Model* Interference::Find(ImageId serving_image) const {
  if (serving_image >= models_.size() || !models_[serving_image]) return nullptr;
  return &*models_[serving_image];
}

double Interference::PressureOf(ImageId serving_image, double ratio) const {
  const Model* model = Find(serving_image);
  const double rest = model != nullptr ? model->rest : kPriorRest;
  if (ratio <= rest) return 0;
  return (1 - rest / ratio) / (1 - rest);
}

void Interference::Observe(ImageId serving_image, const Fills& fills, double ratio,
                           std::optional<double>& own) {
  if (ratio <= 0) return;  // The task has not served a request yet.
  std::vector<std::pair<std::size_t, double>> inputs;
  for (const auto& [image, cores] : fills) inputs.emplace_back(ColumnOf(image), cores);
  Model& model = ModelOf(serving_image);
  model.rest = std::min(model.rest, ratio);
  const std::size_t columns = model.weights.size();

  std::vector<double> spread(columns, 0.0);  // gain x inputs
  double by_fills = 0;
  for (const auto& [column, value] : inputs) {
    by_fills += model.weights[column] * value;
    for (std::size_t row = 0; row < columns; ++row) spread[row] += model.gain[row][column] * value;
  }
  const double pressure = PressureOf(serving_image, ratio);
  if (!own) own = std::max(0.0, pressure - by_fills);
  const double error = std::clamp(pressure - *own - by_fills, -kMaxError, kMaxError);
  *own += kOwnShare * error;
  if (inputs.empty()) return;

  double denominator = kForgetting;
  for (const auto& [column, value] : inputs) denominator += spread[column] * value;
  for (std::size_t row = 0; row < columns; ++row) {
    model.weights[row] += spread[row] / denominator * error;
  }
  for (std::size_t row = 0; row < columns; ++row) {
    for (std::size_t column = 0; column < columns; ++column) {
      double& cell = model.gain[row][column];
      cell = (cell - spread[row] * spread[column] / denominator) / kForgetting;
      cell = std::clamp(cell, -kPriorVariance, kPriorVariance);
    }
  }
}

std::vector<HarmEstimate> Interference::Export(const ImageTable& images) const {
  std::vector<HarmEstimate> out;
  for (ImageId serving = 0; serving < models_.size(); ++serving) {
    const Model* model = Find(serving);
    if (model == nullptr) continue;
    const std::string& name = images.NameOf(serving);
    out.emplace_back(HarmEstimateFields{.serving_image = name, .weight = model->rest});
    for (std::size_t column = 0; column < model->weights.size(); ++column) {
      out.emplace_back(HarmEstimateFields{.serving_image = name,
                                          .fill_image = images.NameOf(fill_images_[column]),
                                          .weight = model->weights[column],
                                          .variance = model->gain[column][column]});
    }
  }
  return out;
}

void Interference::Import(const std::vector<HarmEstimate>& estimates, ImageTable& images) {
  for (const HarmEstimate& estimate : estimates) {
    const ImageId serving = images.Of(estimate->serving_image);
    if (estimate->fill_image.empty()) {
      Model& model = ModelOf(serving);
      model.rest = std::min(model.rest, estimate->weight);
      continue;
    }
    const std::size_t column = ColumnOf(images.Of(estimate->fill_image));
    Model& model = ModelOf(serving);
    model.weights[column] = estimate->weight;
    model.gain[column][column] = std::clamp(estimate->variance, 0.0, kPriorVariance);
  }
}

double Interference::HarmPerCore(ImageId serving_image, ImageId fill_image) const {
  const Model* model = Find(serving_image);
  if (model == nullptr || fill_image >= columns_.size() || !columns_[fill_image]) {
    return kPriorHarm;
  }
  const std::size_t column = *columns_[fill_image];
  if (column >= model->weights.size()) return kPriorHarm;
  return std::max(0.0, model->weights[column]);
}

}  // namespace dn
