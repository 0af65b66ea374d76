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
constexpr double kPriorInterference = 0.004;
// Variance of the assumed interference per core, in units of the variance of a reported normalised
// load (0.04 squared); an interference of up to 0.03 per core is common. It is also the upper bound
// of the variance, since forgetting would otherwise let it grow without limit while a pair is not
// observed.
constexpr double kPriorVariance = 0.06;
// Smoothing factor of the load from a job's own requests. A job is reported at least ten times a
// second, and its load changes by 0.1 per second.
constexpr double kOwnLoadSmoothing = 0.3;
// Larger prediction errors have other causes, such as a slow worker, and are clamped.
constexpr double kMaxError = 0.3;

}  // namespace

std::size_t Interference::ColumnOf(ImageId best_effort_image) {
  if (columns_.size() <= best_effort_image) columns_.resize(best_effort_image + 1);
  std::optional<std::size_t>& column = columns_[best_effort_image];
  if (!column) {
    column = best_effort_images_.size();
    best_effort_images_.push_back(best_effort_image);
  }
  return *column;
}

Interference::Model& Interference::ModelOf(ImageId latency_critical_image) {
  if (models_.size() <= latency_critical_image) models_.resize(latency_critical_image + 1);
  if (!models_[latency_critical_image]) {
    models_[latency_critical_image] = Model{.rest = kPriorRest, .weights = {}, .gain = {}};
  }
  Model& model = *models_[latency_critical_image];
  const std::size_t columns = best_effort_images_.size();
  for (auto& row : model.gain) row.resize(columns, 0.0);
  for (std::size_t i = model.weights.size(); i < columns; ++i) {
    model.weights.push_back(kPriorInterference);
    model.gain.emplace_back(columns, 0.0);
    model.gain[i][i] = kPriorVariance;
  }
  return model;
}

const Interference::Model* Interference::Find(ImageId latency_critical_image) const {
  if (latency_critical_image >= models_.size() || !models_[latency_critical_image]) return nullptr;
  return &*models_[latency_critical_image];
}

double Interference::NormalisedLoad(ImageId latency_critical_image, double ratio) const {
  const Model* model = Find(latency_critical_image);
  const double rest = model != nullptr ? model->rest : kPriorRest;
  if (ratio <= rest) return 0;
  return (1 - rest / ratio) / (1 - rest);
}

void Interference::Observe(ImageId latency_critical_image, const BestEffortCores& best_effort_cores,
                           double ratio, std::optional<double>& own_load) {
  if (ratio <= 0) return;  // The task has not served a request yet.
  std::vector<std::pair<std::size_t, double>> inputs;
  for (const auto& [image, cores] : best_effort_cores) inputs.emplace_back(ColumnOf(image), cores);
  Model& model = ModelOf(latency_critical_image);
  model.rest = std::min(model.rest, ratio);
  const std::size_t columns = model.weights.size();

  std::vector<double> scaled(columns, 0.0);  // gain x inputs
  double added_load = 0;
  for (const auto& [column, value] : inputs) {
    added_load += model.weights[column] * value;
    for (std::size_t row = 0; row < columns; ++row) scaled[row] += model.gain[row][column] * value;
  }
  const double load = NormalisedLoad(latency_critical_image, ratio);
  if (!own_load) own_load = std::max(0.0, load - added_load);
  const double error = std::clamp(load - *own_load - added_load, -kMaxError, kMaxError);
  *own_load += kOwnLoadSmoothing * error;
  if (inputs.empty()) return;

  double denominator = kForgetting;
  for (const auto& [column, value] : inputs) denominator += scaled[column] * value;
  for (std::size_t row = 0; row < columns; ++row) {
    model.weights[row] += scaled[row] / denominator * error;
  }
  for (std::size_t row = 0; row < columns; ++row) {
    for (std::size_t column = 0; column < columns; ++column) {
      double& cell = model.gain[row][column];
      cell = (cell - scaled[row] * scaled[column] / denominator) / kForgetting;
      cell = std::clamp(cell, -kPriorVariance, kPriorVariance);
    }
  }
}

std::vector<InterferenceEstimate> Interference::Export(const ImageTable& images) const {
  std::vector<InterferenceEstimate> out;
  for (ImageId latency_critical = 0; latency_critical < models_.size(); ++latency_critical) {
    const Model* model = Find(latency_critical);
    if (model == nullptr) continue;
    const std::string& name = images.NameOf(latency_critical);
    out.emplace_back(
        InterferenceEstimateFields{.latency_critical_image = name, .weight = model->rest});
    for (std::size_t column = 0; column < model->weights.size(); ++column) {
      out.emplace_back(InterferenceEstimateFields{
          .latency_critical_image = name,
          .best_effort_image = images.NameOf(best_effort_images_[column]),
          .weight = model->weights[column],
          .variance = model->gain[column][column]});
    }
  }
  return out;
}

void Interference::Import(const std::vector<InterferenceEstimate>& estimates, ImageTable& images) {
  for (const InterferenceEstimate& estimate : estimates) {
    const ImageId latency_critical = images.Of(estimate->latency_critical_image);
    if (estimate->best_effort_image.empty()) {
      Model& model = ModelOf(latency_critical);
      model.rest = std::min(model.rest, estimate->weight);
      continue;
    }
    const std::size_t column = ColumnOf(images.Of(estimate->best_effort_image));
    Model& model = ModelOf(latency_critical);
    model.weights[column] = estimate->weight;
    model.gain[column][column] = std::clamp(estimate->variance, 0.0, kPriorVariance);
  }
}

double Interference::InterferencePerCore(ImageId latency_critical_image,
                                         ImageId best_effort_image) const {
  const Model* model = Find(latency_critical_image);
  if (model == nullptr || best_effort_image >= columns_.size() || !columns_[best_effort_image]) {
    return kPriorInterference;
  }
  const std::size_t column = *columns_[best_effort_image];
  if (column >= model->weights.size()) return kPriorInterference;
  return std::max(0.0, model->weights[column]);
}

}  // namespace dn
