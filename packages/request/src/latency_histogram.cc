#include "cactusshelf/request/latency_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusshelf {

namespace {

// Buckets grow by a factor of 2^(1/4) from 100 us; 80 of them reach beyond 100 s.
constexpr double kLowestUs = 100;
constexpr double kBucketsPerOctave = 4;

}  // namespace

LatencyHistogram::LatencyHistogram(std::size_t window) : window_(static_cast<double>(window)) {
  assert(window > 0);
}

void LatencyHistogram::Add(Duration latency) {
  const double us = std::max(static_cast<double>(latency.count()), 1.0);
  const double position = std::log2(us / kLowestUs) * kBucketsPerOctave;
  const double bucket = std::clamp(position, 0.0, static_cast<double>(kBuckets - 1));
  counts_[static_cast<std::size_t>(bucket)] += 1;
  weight_ += 1;
  sum_us_ += us;
  if (weight_ >= 2 * window_) {
    Decay();
  }
}

Duration LatencyHistogram::Quantile(double q) const {
  if (weight_ <= 0) {
    return Duration::zero();
  }
  const double rank = q * weight_;
  double seen = 0;
  std::size_t bucket = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    if (counts_[i] > 0) {
      bucket = i;
      seen += counts_[i];
    }
    if (seen >= rank) {
      break;
    }
  }
  const double middle = (static_cast<double>(bucket) + 0.5) / kBucketsPerOctave;
  return Duration(static_cast<Duration::rep>(kLowestUs * std::exp2(middle)));
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
