#include "usage_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactusshelf {
namespace {

// Many tasks of a class report every few seconds. A quarter of an hour spans several tasks and
// still follows a class whose input changes during the day.
constexpr double kHalfLifeSeconds = 900;
// Weight of the declared size, as a number of samples.
constexpr double kPriorWeight = 2;
// Limits the weight of old samples, so that new ones keep an influence on a long-lived class.
constexpr double kMaxWeight = 200;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::int64_t Scale(std::int64_t amount, double ratio) {
  return static_cast<std::int64_t>(std::llround(static_cast<double>(amount) * ratio));
}

}  // namespace

void UsageModel::Ratio::Add(Time now, double sample) {
  if (weight > 0) {
    weight *= std::exp2(-Seconds(now - updated_at) / kHalfLifeSeconds);
  }
  updated_at = now;
  weight = std::min(weight + 1, kMaxWeight);
  const double step = (sample - mean) / weight;
  variance += (sample - mean) * (sample - mean - step) / weight - variance / weight;
  mean += step;
}

double UsageModel::Ratio::UpperEstimate() const {
  const double upper = mean + std::sqrt(std::max(variance, 0.0));
  return (weight * upper + kPriorWeight) / (weight + kPriorWeight);
}

void UsageModel::Learn(Time now, ClassIndex job_class, const Resources& declared,
                       const Resources& used) {
  if (job_class >= classes_.size()) {
    classes_.resize(job_class + 1);
  }
  ClassUsage& usage = classes_[job_class];
  if (declared.milliprocessors > 0) {
    usage.processors.Add(now, static_cast<double>(used.milliprocessors) /
                                  static_cast<double>(declared.milliprocessors));
  }
  if (declared.memory_bytes > 0) {
    usage.memory.Add(
        now, static_cast<double>(used.memory_bytes) / static_cast<double>(declared.memory_bytes));
  }
}

Resources UsageModel::ExpectedUsage(ClassIndex job_class, const Resources& declared) const {
  if (job_class >= classes_.size()) {
    return declared;
  }
  const ClassUsage& usage = classes_[job_class];
  return {Scale(declared.milliprocessors, usage.processors.UpperEstimate()),
          Scale(declared.memory_bytes, usage.memory.UpperEstimate()), declared.accelerators};
}

}  // namespace cactusshelf
