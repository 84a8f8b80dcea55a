#include "interference_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactusshelf {
namespace {

// Variance of the logarithm of a measured latency. The 99% quantile over a few seconds of requests
// scatters by about 15%.
constexpr double kMeasurementVariance = 0.02;
// Variance that each task adds that started, ended or was throttled during the measurement.
constexpr double kChangeVariance = 0.05;
// Without samples, a task is expected to slow a service by 5%, with a standard deviation of 20%.
constexpr double kPriorPairMean = 0.05;
constexpr double kPriorPairVariance = 0.04;
constexpr double kPriorBaseVariance = 4;
constexpr double kPriorLoadVariance = 0.25;
// Growth of the variances, so that the estimates follow a shift within minutes.
constexpr double kPairDriftPerSecond = 1e-5;
constexpr double kBaseDriftPerSecond = 1e-6;
// Bounds of the relative load. The ratio is meaningless for an idle service.
constexpr double kMinRelativeLoad = 0.25;
constexpr double kMaxRelativeLoad = 4;
constexpr double kTypicalLoadGain = 0.002;
constexpr double kMaxPairEffect = 3;

std::uint64_t PairKey(ServiceIndex service, ClassIndex job_class) {
  return (static_cast<std::uint64_t>(service) << 32) | job_class;
}

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void InterferenceModel::Learn(Time now, ServiceIndex service_index, double load, Duration latency,
                              const std::vector<ClassShare>& shares, std::size_t changes) {
  if (latency <= Duration::zero()) {
    return;
  }
  if (service_index >= services_.size()) {
    services_.resize(service_index + 1);
  }
  Service& service = services_[service_index];
  const double observed = std::log(Seconds(latency));
  if (service.samples == 0) {
    service.base = {observed, kPriorBaseVariance, now};
    service.load_effect = {0, kPriorLoadVariance, now};
    service.typical_load = load;
  }
  ++service.samples;
  service.typical_load += kTypicalLoadGain * (load - service.typical_load);

  struct Input {
    Estimate* estimate;
    double factor;
  };
  const double relative_load = RelativeLoad(service, load);
  std::vector<Input> inputs{{&service.base, 1}, {&service.load_effect, relative_load - 1}};
  service.base.variance += kBaseDriftPerSecond * Seconds(now - service.base.updated_at);
  service.base.updated_at = now;
  for (const ClassShare& share : shares) {
    inputs.push_back(
        {&GetOrCreate(now, service_index, share.job_class), share.share * relative_load});
  }
  double predicted = 0;
  double variance = kMeasurementVariance + kChangeVariance * static_cast<double>(changes);
  for (const Input& input : inputs) {
    predicted += input.estimate->mean * input.factor;
    variance += input.estimate->variance * input.factor * input.factor;
  }
  const double error = observed - predicted;
  for (const Input& input : inputs) {
    const double gain = input.estimate->variance * input.factor / variance;
    input.estimate->mean += gain * error;
    input.estimate->variance *= 1 - gain * input.factor;
  }
  // Batch tasks never make a service faster. Without this bound, negative effects could compensate
  // for a base that is estimated too high.
  for (std::size_t i = 2; i < inputs.size(); ++i) {
    inputs[i].estimate->mean = std::clamp(inputs[i].estimate->mean, 0.0, kMaxPairEffect);
  }
}

PairEffect InterferenceModel::Effect(ServiceIndex service, ClassIndex job_class,
                                     double load) const {
  const Estimate* estimate = Find(service, job_class);
  const double relative_load =
      service < services_.size() ? RelativeLoad(services_[service], load) : 1.0;
  if (estimate == nullptr) {
    return {kPriorPairMean * relative_load, std::sqrt(kPriorPairVariance) * relative_load};
  }
  return {estimate->mean * relative_load, std::sqrt(estimate->variance) * relative_load};
}

double InterferenceModel::PredictEffect(ServiceIndex service, const std::vector<ClassShare>& shares,
                                        double load) const {
  double sum = 0;
  for (const ClassShare& share : shares) {
    sum += share.share * Effect(service, share.job_class, load).mean;
  }
  return sum;
}

double InterferenceModel::Slowdown(ServiceIndex service_index, double load,
                                   Duration latency) const {
  if (service_index >= services_.size() || latency <= Duration::zero()) {
    return 1;
  }
  const Service& service = services_[service_index];
  const double baseline =
      service.base.mean + service.load_effect.mean * (RelativeLoad(service, load) - 1);
  return std::exp(std::log(Seconds(latency)) - baseline);
}

const InterferenceModel::Estimate* InterferenceModel::Find(ServiceIndex service,
                                                           ClassIndex job_class) const {
  const auto it = pairs_.find(PairKey(service, job_class));
  return it == pairs_.end() ? nullptr : &it->second;
}

InterferenceModel::Estimate& InterferenceModel::GetOrCreate(Time now, ServiceIndex service,
                                                            ClassIndex job_class) {
  const auto [it, is_new] = pairs_.try_emplace(PairKey(service, job_class));
  Estimate& estimate = it->second;
  if (is_new) {
    estimate = {kPriorPairMean, kPriorPairVariance, now};
  }
  estimate.variance =
      std::min(estimate.variance + kPairDriftPerSecond * Seconds(now - estimate.updated_at),
               kPriorPairVariance);
  estimate.updated_at = now;
  return estimate;
}

double InterferenceModel::RelativeLoad(const Service& service, double load) const {
  if (service.typical_load <= 0 || load <= 0) {
    return 1;
  }
  return std::clamp(load / service.typical_load, kMinRelativeLoad, kMaxRelativeLoad);
}

}  // namespace cactusshelf
