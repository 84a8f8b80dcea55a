#include "cactusshelf/connection/endpoint_tracker.h"

#include <algorithm>
#include <cassert>

namespace cactusshelf {

namespace {

constexpr std::size_t kWindow = 32;
// Samples of the endpoint that weigh as much as what is known of the service as a whole.
constexpr double kPriorSamples = 8;
constexpr std::uint32_t kMaxPenaltyDoublings = 6;

}  // namespace

EndpointTracker::EndpointTracker() : latency_(kWindow) {}

void EndpointTracker::OnEnded(bool late) {
  assert(in_flight_ > 0);
  --in_flight_;
  if (late) {
    assert(late_ > 0);
    --late_;
  }
}

void EndpointTracker::OnLatency(Duration latency) {
  failures_ = 0;
  latency_.Add(latency);
  median_ = latency_.Quantile(0.5);
  quantile_ = latency_.Quantile(kQuantile);
}

void EndpointTracker::ForgetLatency() {
  latency_ = LatencyHistogram(kWindow);
  median_ = Duration::zero();
  quantile_ = Duration::zero();
  failures_ = 0;
}

Duration EndpointTracker::Expected(Duration service_quantile) const {
  const double weight = samples() / (samples() + kPriorSamples);
  const double known = weight * static_cast<double>(quantile_.count());
  const double prior = (1 - weight) * static_cast<double>(service_quantile.count());
  const std::uint32_t doublings = std::min(late_ + 2 * failures_, kMaxPenaltyDoublings);
  const double penalty = static_cast<double>(std::uint64_t{1} << doublings);
  return Duration(static_cast<Duration::rep>((known + prior) * penalty));
}

}  // namespace cactusshelf
