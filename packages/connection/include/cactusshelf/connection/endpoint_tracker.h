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

  void OnSent() { ++in_flight_; }
  // An attempt in flight is slower than most.
  void OnLate() { ++late_; }
  // An attempt ended; `late` if OnLate was called for it.
  void OnEnded(bool late);

  void OnLatency(Duration latency);
  void OnFailure() { ++failures_; }
  // Drops the latencies and failures seen so far; attempts in flight still count.
  void ForgetLatency();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t late() const { return late_; }
  std::uint32_t consecutive_failures() const { return failures_; }

  // Weight of the retained samples.
  double samples() const { return latency_.weight(); }
  Duration Median() const { return median_; }

  // Latency to expect from one more attempt, given the same quantile of the whole service. Few
  // samples count less; attempts that are late and recent failures raise it.
  Duration Expected(Duration service_quantile) const;

  static constexpr double kQuantile = 0.9;

 private:
  LatencyHistogram latency_;
  Duration median_{};
  Duration quantile_{};
  std::uint32_t in_flight_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t failures_ = 0;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ENDPOINT_TRACKER_H_
