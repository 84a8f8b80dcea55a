#include "cactusshelf/request/hedge_policy.h"

namespace cactusshelf {

namespace {

constexpr std::size_t kWindowSamples = 512;
// Twice the minimum of 20 samples for a 95% quantile.
constexpr double kMinSamples = 40;
constexpr double kHedgeQuantile = 0.95;
// An attempt this many times slower than the hedge delay is unlikely under any normal load.
constexpr int kOverdueFactor = 4;

}  // namespace

HedgePolicy::HedgePolicy() : latency_(kWindowSamples) {}

void HedgePolicy::OnLatency(Duration latency) { latency_.Add(latency); }

std::optional<Duration> HedgePolicy::HedgeAfter() const {
  if (latency_.weight() < kMinSamples) {
    return std::nullopt;
  }
  return latency_.Quantile(kHedgeQuantile);
}

std::optional<Duration> HedgePolicy::OverdueAfter() const {
  const std::optional<Duration> hedge_delay = HedgeAfter();
  if (!hedge_delay) {
    return std::nullopt;
  }
  return *hedge_delay * kOverdueFactor;
}

}  // namespace cactusshelf
