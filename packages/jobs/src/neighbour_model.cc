#include "neighbour_model.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cactusshelf::jobs {
namespace {

// Before anything is known, a processor is expected to press a little. The deviation lets a few
// reports replace that.
constexpr double kPriorEffect = 0.02;
constexpr double kPriorDeviation = 0.04;
// Deviation of a change of pressure between two reports from other causes.
constexpr double kNoiseDeviation = 0.08;
// Growth of an estimate's variance with each report: interference changes with time.
constexpr double kDrift = 1e-7;
constexpr double kLeastChange = 0.15;  // Processors; smaller changes tell nothing.
constexpr double kHighestPressure = 0.985;
constexpr double kLowestPressure = -0.5;

}  // namespace

double PressureOf(Duration tail, Duration target) {
  if (tail <= Duration::zero()) return 0;
  const double ratio = static_cast<double>(target.count()) / static_cast<double>(tail.count());
  const double pressure = 1.0 - (1.0 - kPressureAtTarget) * ratio;
  return std::clamp(pressure, kLowestPressure, kHighestPressure);
}

int NeighbourModel::ImageIndex(const std::string& image) {
  const auto [it, is_new] = indexes_.try_emplace(image, static_cast<int>(names_.size()));
  if (is_new) names_.push_back(image);
  return it->second;
}

NeighbourModel::Estimate& NeighbourModel::EstimateOf(int serving) {
  const auto n = static_cast<std::size_t>(serving);
  if (estimates_.size() <= n) estimates_.resize(n + 1);
  return estimates_[n];
}

NeighbourRecord NeighbourModel::Export() const {
  NeighbourRecord record;
  for (std::size_t serving = 0; serving < estimates_.size(); ++serving) {
    const Estimate& estimate = estimates_[serving];
    const std::size_t n = estimate.images.size();
    for (std::size_t i = 0; i < n; ++i) {
      const double variance = std::max(estimate.covariance[i * n + i], 0.0);
      record.effects.push_back({names_[serving],
                                names_[static_cast<std::size_t>(estimate.images[i])],
                                estimate.mean[i], std::sqrt(variance)});
    }
  }
  return record;
}

void NeighbourModel::Import(const NeighbourRecord& record) {
  for (const NeighbourEffect& it : record.effects) {
    const int fill = ImageIndex(it.best_effort_image);
    Estimate& estimate = EstimateOf(ImageIndex(it.serving_image));
    const std::size_t i = estimate.PositionOf(fill);
    const std::size_t n = estimate.images.size();
    estimate.mean[i] = it.mean;
    estimate.covariance[i * n + i] = it.deviation * it.deviation;
  }
}

std::size_t NeighbourModel::Estimate::PositionOf(int image) {
  const auto it = std::find(images.begin(), images.end(), image);
  if (it != images.end()) return static_cast<std::size_t>(it - images.begin());
  const std::size_t n = images.size();
  std::vector<double> grown((n + 1) * (n + 1), 0.0);
  for (std::size_t i = 0; i < n; ++i) {
    for (std::size_t j = 0; j < n; ++j) grown[i * (n + 1) + j] = covariance[i * n + j];
  }
  grown[n * (n + 1) + n] = kPriorDeviation * kPriorDeviation;
  covariance = std::move(grown);
  images.push_back(image);
  mean.push_back(kPriorEffect);
  return n;
}

void NeighbourModel::Learn(int serving, const FillUse& before, const FillUse& after,
                           double change) {
  std::map<int, double> difference = after;
  for (const auto& [image, use] : before) difference[image] -= use;
  double largest = 0;
  for (const auto& [image, use] : difference) largest = std::max(largest, std::abs(use));
  if (largest < kLeastChange) return;
  Estimate& estimate = EstimateOf(serving);
  for (const auto& [image, use] : difference) estimate.PositionOf(image);
  const std::size_t n = estimate.images.size();
  std::vector<double> x(n, 0.0);
  for (const auto& [image, use] : difference) x[estimate.PositionOf(image)] = use;
  // gain = P x / (x' P x + noise)
  std::vector<double> px(n, 0.0);
  double expected = 0;
  double variance = kNoiseDeviation * kNoiseDeviation;
  for (std::size_t i = 0; i < n; ++i) {
    estimate.covariance[i * n + i] += kDrift;
    for (std::size_t j = 0; j < n; ++j) px[i] += estimate.covariance[i * n + j] * x[j];
    expected += estimate.mean[i] * x[i];
    variance += px[i] * x[i];
  }
  for (std::size_t i = 0; i < n; ++i) estimate.mean[i] += px[i] / variance * (change - expected);
  for (std::size_t i = 0; i < n; ++i) {
    for (std::size_t j = 0; j < n; ++j) {
      estimate.covariance[i * n + j] -= px[i] * px[j] / variance;
    }
  }
}

double NeighbourModel::Effect(int serving, int fill) const {
  if (static_cast<std::size_t>(serving) >= estimates_.size()) return kPriorEffect;
  const Estimate& estimate = estimates_[static_cast<std::size_t>(serving)];
  const auto it = std::find(estimate.images.begin(), estimate.images.end(), fill);
  if (it == estimate.images.end()) return kPriorEffect;
  return std::max(0.0, estimate.mean[static_cast<std::size_t>(it - estimate.images.begin())]);
}

double NeighbourModel::Predict(int serving, const FillUse& use) const {
  double sum = 0;
  for (const auto& [image, processors] : use) sum += Effect(serving, image) * processors;
  return sum;
}

}  // namespace cactusshelf::jobs
