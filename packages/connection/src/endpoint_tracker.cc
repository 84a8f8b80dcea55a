#include "cactusshelf/connection/endpoint_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusshelf {

namespace {

constexpr std::size_t kLatencyWindow = 32;
// With this many samples the median of the endpoint and that of the service have equal weight.
constexpr double kPriorSamples = 8;
constexpr std::uint64_t kMaxPenaltyDoublings = 6;
// Reached by one failure, or by two attempts that are late at the same time.
constexpr std::uint32_t kSuspectDoublings = 2;
constexpr Duration kSampleHalfLife = std::chrono::seconds(5);
// The failure penalty decays by one doubling per period. Otherwise an endpoint that failed once
// would not be chosen, and thus never be tried again.
constexpr Duration kPenaltyDecayPeriod = std::chrono::milliseconds(500);

}  // namespace

EndpointTracker::EndpointTracker() : latency_(kLatencyWindow) {}

void EndpointTracker::OnAttemptEnded(bool late) {
  assert(in_flight_ > 0);
  --in_flight_;
  if (late) {
    assert(late_attempts_ > 0);
    --late_attempts_;
  }
}

void EndpointTracker::OnLatency(Time now, Duration latency) {
  consecutive_failures_ = 0;
  last_sample_ = now;
  latency_.Add(latency);
  median_ = latency_.Quantile(0.5);
}

void EndpointTracker::OnFailure(Time now) {
  ++consecutive_failures_;
  last_failure_ = now;
}

void EndpointTracker::ResetLatency() {
  latency_ = LatencyHistogram(kLatencyWindow);
  median_ = Duration::zero();
  consecutive_failures_ = 0;
}

Duration EndpointTracker::ExpectedLatency(Time now, Duration service_median) const {
  const double retained = std::exp2(-static_cast<double>((now - last_sample_) / kSampleHalfLife));
  const double weight = sample_weight() * retained / (sample_weight() * retained + kPriorSamples);
  const double own_part = weight * static_cast<double>(median_.count());
  const double prior_part = (1 - weight) * static_cast<double>(service_median.count());
  const double penalty = static_cast<double>(std::uint64_t{1} << PenaltyDoublings(now));
  return Duration(static_cast<Duration::rep>((own_part + prior_part) * penalty));
}

bool EndpointTracker::IsSuspect(Time now) const {
  return PenaltyDoublings(now) >= kSuspectDoublings;
}

std::uint32_t EndpointTracker::PenaltyDoublings(Time now) const {
  const auto decayed = static_cast<std::uint64_t>((now - last_failure_) / kPenaltyDecayPeriod);
  const std::uint64_t incurred = 2 * std::uint64_t{consecutive_failures_};
  const std::uint64_t doublings = late_attempts_ + (incurred > decayed ? incurred - decayed : 0);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(doublings, kMaxPenaltyDoublings));
}

}  // namespace cactusshelf
