#include "cactusshelf/request/latency_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusshelf {

namespace {

// Bucket bounds start at 100 us and grow by a factor of 2^(1/4); 80 buckets reach beyond 100 s.
constexpr double kMinLatencyUs = 100;
constexpr double kBucketsPerOctave = 4;

}  // namespace

LatencyHistogram::LatencyHistogram(std::size_t window) : window_(static_cast<double>(window)) {
  assert(window > 0);
}

void LatencyHistogram::Add(Duration latency) {
  const double latency_us = std::max(static_cast<double>(latency.count()), 1.0);
  const double bucket_position = std::log2(latency_us / kMinLatencyUs) * kBucketsPerOctave;
  const double bucket = std::clamp(bucket_position, 0.0, static_cast<double>(kBuckets - 1));
  counts_[static_cast<std::size_t>(bucket)] += 1;
  weight_ += 1;
  sum_us_ += latency_us;
  if (weight_ >= 2 * window_) {
    Decay();
  }
}

Duration LatencyHistogram::Quantile(double q) const {
  if (weight_ <= 0) {
    return Duration::zero();
  }
  const double rank = q * weight_;
  double cumulative_weight = 0;
  std::size_t bucket = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (counts_[i] > 0) {
      bucket = i;
      cumulative_weight += counts_[i];
    }
    if (cumulative_weight >= rank) {
      break;
    }
  }
  const double bucket_midpoint = (static_cast<double>(bucket) + 0.5) / kBucketsPerOctave;
  return Duration(static_cast<Duration::rep>(kMinLatencyUs * std::exp2(bucket_midpoint)));
}

Duration LatencyHistogram::Mean() const {
  if (weight_ <= 0) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(sum_us_ / weight_));
}

void LatencyHistogram::Decay() {
  for (float& count : counts_) {
    count /= 2;
  }
  weight_ /= 2;
  sum_us_ /= 2;
}

}  // namespace cactusshelf
