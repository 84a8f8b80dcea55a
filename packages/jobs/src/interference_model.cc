#include "interference_model.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cactusshelf::jobs {
namespace {

// Prior for the effect of one processor: a small rise in pressure. The deviation is wide enough for
// a few reports to override the prior.
constexpr double kPriorEffect = 0.02;
constexpr double kPriorDeviation = 0.04;
// Standard deviation of the change in pressure between two reports that has other causes.
constexpr double kNoiseDeviation = 0.08;
// Growth of the variance of an estimate with each report, since interference changes over time.
constexpr double kVarianceGrowth = 1e-7;
constexpr double kMinUsageChange = 0.15;  // Processors; smaller changes are lost in the noise.
constexpr double kMaxPressure = 0.985;
constexpr double kMinPressure = -0.5;

}  // namespace

double TailLatencyPressure(Duration tail, Duration target) {
  if (tail <= Duration::zero()) return 0;
  const double ratio = static_cast<double>(target.count()) / static_cast<double>(tail.count());
  const double pressure = 1.0 - (1.0 - kPressureAtTarget) * ratio;
  return std::clamp(pressure, kMinPressure, kMaxPressure);
}

int InterferenceModel::ImageIndex(const std::string& image) {
  const auto [it, is_new] =
      image_indexes_.try_emplace(image, static_cast<int>(image_names_.size()));
  if (is_new) image_names_.push_back(image);
  return it->second;
}

InterferenceModel::Estimate& InterferenceModel::EstimateOf(int serving_image) {
  const auto n = static_cast<std::size_t>(serving_image);
  if (estimates_.size() <= n) estimates_.resize(n + 1);
  return estimates_[n];
}

InterferenceRecord InterferenceModel::Export() const {
  InterferenceRecord record;
  for (std::size_t serving_image = 0; serving_image < estimates_.size(); ++serving_image) {
    const Estimate& estimate = estimates_[serving_image];
    const std::size_t n = estimate.images.size();
    for (std::size_t i = 0; i < n; ++i) {
      const double variance = std::max(estimate.covariance[i * n + i], 0.0);
      record.effects.push_back({image_names_[serving_image],
                                image_names_[static_cast<std::size_t>(estimate.images[i])],
                                estimate.mean[i], std::sqrt(variance)});
    }
  }
  return record;
}

void InterferenceModel::Import(const InterferenceRecord& record) {
  for (const InterferenceEffect& it : record.effects) {
    const int best_effort_image = ImageIndex(it.best_effort_image);
    Estimate& estimate = EstimateOf(ImageIndex(it.serving_image));
    const std::size_t i = estimate.PositionOf(best_effort_image);
    const std::size_t n = estimate.images.size();
    estimate.mean[i] = it.mean;
    estimate.covariance[i * n + i] = it.deviation * it.deviation;
  }
}

std::size_t InterferenceModel::Estimate::PositionOf(int image) {
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

void InterferenceModel::Learn(int serving_image, const BestEffortUsage& before,
                              const BestEffortUsage& after, double change) {
  std::map<int, double> difference = after;
  for (const auto& [image, use] : before) difference[image] -= use;
  double largest = 0;
  for (const auto& [image, use] : difference) largest = std::max(largest, std::abs(use));
  if (largest < kMinUsageChange) return;
  Estimate& estimate = EstimateOf(serving_image);
  for (const auto& [image, use] : difference) estimate.PositionOf(image);
  const std::size_t n = estimate.images.size();
  std::vector<double> x(n, 0.0);
  for (const auto& [image, use] : difference) x[estimate.PositionOf(image)] = use;
  // Kalman gain = P x / (x' P x + noise).
  std::vector<double> px(n, 0.0);
  double expected = 0;
  double variance = kNoiseDeviation * kNoiseDeviation;
  for (std::size_t i = 0; i < n; ++i) {
    estimate.covariance[i * n + i] += kVarianceGrowth;
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

double InterferenceModel::EffectPerProcessor(int serving_image, int best_effort_image) const {
  if (static_cast<std::size_t>(serving_image) >= estimates_.size()) return kPriorEffect;
  const Estimate& estimate = estimates_[static_cast<std::size_t>(serving_image)];
  const auto it = std::find(estimate.images.begin(), estimate.images.end(), best_effort_image);
  if (it == estimate.images.end()) return kPriorEffect;
  return std::max(0.0, estimate.mean[static_cast<std::size_t>(it - estimate.images.begin())]);
}

double InterferenceModel::PredictPressure(int serving_image, const BestEffortUsage& use) const {
  double sum = 0;
  for (const auto& [image, processors] : use)
    sum += EffectPerProcessor(serving_image, image) * processors;
  return sum;
}

}  // namespace cactusshelf::jobs
