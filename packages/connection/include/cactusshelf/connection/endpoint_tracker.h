#ifndef CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_
#define CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_

#include <cstdint>

#include "cactusshelf/base/time.h"
#include "cactusshelf/request/latency_histogram.h"

namespace cactusshelf {

// What one entry host learned about one endpoint. Latencies exclude the distance of the
// endpoint's failure domain, so that endpoints of different domains compare. Not thread-safe.
class EndpointTracker {
 public:
  EndpointTracker();

  void OnAttemptSent() { ++in_flight_; }
  // An attempt in flight is slower than most.
  void OnAttemptLate() { ++late_attempts_; }
  // An attempt ended; `late` if OnAttemptLate was called for it.
  void OnAttemptEnded(bool late);

  void OnLatency(Time now, Duration latency);
  void OnFailure(Time now);
  // Drops the latencies and failures seen so far; attempts in flight still count.
  void ResetLatency();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t late() const { return late_attempts_; }
  std::uint32_t consecutive_failures() const { return consecutive_failures_; }

  // Weight of the retained samples.
  double sample_weight() const { return latency_.weight(); }
  Duration Median() const { return median_; }

  // Latency to expect from one more attempt, given the median of the whole service. A higher
  // quantile would make the load of an endpoint outweigh the link to another failure domain.
  // Few or old samples count less, so that an endpoint that was slow is tried again. Attempts
  // that are late and recent failures raise it.
  Duration ExpectedLatency(Time now, Duration service_median) const;

  // Failures or several late attempts suggest that the endpoint does not work at present.
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
