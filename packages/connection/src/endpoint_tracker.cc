#include "cactusshelf/connection/endpoint_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cactusshelf {

namespace {

constexpr std::size_t kWindow = 32;
// Samples of the endpoint that weigh as much as what is known of the service as a whole.
constexpr double kPriorSamples = 8;
constexpr std::uint64_t kMaxPenaltyDoublings = 6;
// One failure, or two attempts that are late at the same time.
constexpr std::uint32_t kSuspectDoublings = 2;
constexpr Duration kSampleHalfLife = std::chrono::seconds(5);
// Without it an endpoint that failed once and is then never chosen would never be tried again.
constexpr Duration kForgiveAfter = std::chrono::milliseconds(500);

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

void EndpointTracker::OnLatency(Time now, Duration latency) {
  failures_ = 0;
  sampled_ = now;
  latency_.Add(latency);
  median_ = latency_.Quantile(0.5);
}

void EndpointTracker::OnFailure(Time now) {
  ++failures_;
  failed_ = now;
}

void EndpointTracker::ForgetLatency() {
  latency_ = LatencyHistogram(kWindow);
  median_ = Duration::zero();
  failures_ = 0;
}

Duration EndpointTracker::Expected(Time now, Duration service_median) const {
  const double retained = std::exp2(-static_cast<double>((now - sampled_) / kSampleHalfLife));
  const double weight = samples() * retained / (samples() * retained + kPriorSamples);
  const double known = weight * static_cast<double>(median_.count());
  const double prior = (1 - weight) * static_cast<double>(service_median.count());
  const double penalty = static_cast<double>(std::uint64_t{1} << PenaltyDoublings(now));
  return Duration(static_cast<Duration::rep>((known + prior) * penalty));
}

bool EndpointTracker::Suspect(Time now) const { return PenaltyDoublings(now) >= kSuspectDoublings; }

std::uint32_t EndpointTracker::PenaltyDoublings(Time now) const {
  const auto forgiven = static_cast<std::uint64_t>((now - failed_) / kForgiveAfter);
  const std::uint64_t failed = 2 * std::uint64_t{failures_};
  const std::uint64_t doublings = late_ + (failed > forgiven ? failed - forgiven : 0);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(doublings, kMaxPenaltyDoublings));
}

}  // namespace cactusshelf
