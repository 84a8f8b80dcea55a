#ifndef CACTUSSHELF_REQUEST_HEDGE_POLICY_H_
#define CACTUSSHELF_REQUEST_HEDGE_POLICY_H_

#include <optional>

#include "cactusshelf/base/time.h"
#include "cactusshelf/request/latency_histogram.h"

namespace cactusshelf {

// Tracks the latency distribution of a service and derives from it when an attempt counts as slow.
// Not thread-safe.
class HedgePolicy {
 public:
  HedgePolicy();

  void OnLatency(Duration latency);

  // 95% quantile of the recent latencies. An idempotent request is hedged when its attempt reaches
  // this age. Empty until enough latencies have been recorded.
  std::optional<Duration> HedgeAfter() const;

  // Age at which an attempt counts as a failure of its endpoint. Empty while HedgeAfter() is empty.
  std::optional<Duration> OverdueAfter() const;

  Duration Median() const { return latency_.Quantile(0.5); }
  Duration Mean() const { return latency_.Mean(); }

 private:
  LatencyHistogram latency_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_HEDGE_POLICY_H_
