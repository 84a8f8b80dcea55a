#ifndef CACTUSSHELF_REQUEST_HEDGE_POLICY_H_
#define CACTUSSHELF_REQUEST_HEDGE_POLICY_H_

#include <optional>

#include "cactusshelf/base/time.h"
#include "cactusshelf/request/latency_histogram.h"

namespace cactusshelf {

// Learns the latency of a service and decides when an attempt is slow. Not thread-safe.
class HedgePolicy {
 public:
  HedgePolicy();

  void OnLatency(Duration latency);

  // Age at which an attempt is slower than 95% of the recent ones, and an idempotent request is
  // hedged. Empty until enough attempts were seen.
  std::optional<Duration> HedgeAfter() const;

  // Age at which an attempt counts as a failure of its endpoint. Empty like HedgeAfter().
  std::optional<Duration> OverdueAfter() const;

  Duration Median() const { return latency_.Quantile(0.5); }
  Duration Mean() const { return latency_.Mean(); }

 private:
  LatencyHistogram latency_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_HEDGE_POLICY_H_
