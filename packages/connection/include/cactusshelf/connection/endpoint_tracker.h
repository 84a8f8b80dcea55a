#ifndef CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_
#define CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_

#include <cstdint>

#include "cactusshelf/base/time.h"
#include "cactusshelf/request/latency_histogram.h"

namespace cactusshelf {

// Latency and failure statistics of one endpoint, as measured by one entry host. Latencies exclude
// the round trip to the failure domain of the endpoint, so that endpoints of different domains can
// be compared. Not thread-safe.
class EndpointTracker {
 public:
  EndpointTracker();

  void OnAttemptSent() { ++in_flight_; }
  // Called once for an attempt in flight that exceeds the hedging threshold.
  void OnAttemptLate() { ++late_attempts_; }
  // `late` states whether OnAttemptLate was called for the attempt.
  void OnAttemptEnded(bool late);

  void OnLatency(Time now, Duration latency);
  void OnFailure(Time now);
  // Discards all recorded latencies and failures. Attempts in flight still count.
  void ResetLatency();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t late() const { return late_attempts_; }
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }

  // Total weight of the latency samples in the histogram.
  double sample_weight() const { return latency_.weight(); }
  Duration Median() const { return median_; }

  // Estimated latency of one more attempt. Blends the median of the endpoint with
  // `service_median`, the median of the whole service. The median is used because with a higher
  // quantile the load of an endpoint would outweigh the cost of a link to another failure domain.
  // The weight of the endpoint's own median falls with few or old samples, so that an endpoint
  // that was slow is tried again. Late attempts and recent failures increase the estimate.
  Duration ExpectedLatency(Time now, Duration service_median) const;

  // True if recent failures or several late attempts indicate that the endpoint is not working.
  bool IsSuspect(Time now) const;

 private:
  std::uint32_t PenaltyDoublings(Time now) const;

  LatencyHistogram latency_;
  Duration median_{};
  std::uint32_t in_flight_ = 0;
  std::uint32_t late_attempts_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  Time last_sample_{};
  Time last_failure_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_
