#ifndef CACTUSSHELF_REQUEST_LATENCY_HISTOGRAM_H_
#define CACTUSSHELF_REQUEST_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Estimates quantiles of recent latencies in constant memory, with a relative error below 10%.
// After every `window` further samples, the weight of all samples so far is halved.
// Not thread-safe.
class LatencyHistogram {
 public:
  // Precondition: window > 0.
  explicit LatencyHistogram(std::size_t window);

  void Add(Duration latency);

  // Zero while there are no samples. Precondition: 0 <= q <= 1.
  Duration Quantile(double q) const;

  // Mean of the retained samples; zero while there are none.
  Duration Mean() const;

  // Total weight of the retained samples.
  double weight() const { return weight_; }

 private:
  static constexpr std::size_t kBuckets = 80;

  void Decay();

  std::array<float, kBuckets> counts_{};
  double window_;
  double weight_ = 0;
  double sum_us_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_LATENCY_HISTOGRAM_H_
