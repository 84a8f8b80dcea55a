#include "cactusshelf/request/hedge_policy.h"

namespace cactusshelf {

namespace {

constexpr std::size_t kWindow = 512;
constexpr double kMinSamples = 40;  // Twice the samples that a 95% quantile rests on.
constexpr double kHedgeQuantile = 0.95;
// An attempt this many times slower than the hedge delay is unlikely under any normal load.
constexpr int kOverdueFactor = 4;

}  // namespace

HedgePolicy::HedgePolicy() : latency_(kWindow) {}

void HedgePolicy::OnLatency(Duration latency) { latency_.Add(latency); }

std::optional<Duration> HedgePolicy::HedgeAfter() const {
  if (latency_.weight() < kMinSamples) {
    return std::nullopt;
  }
  return latency_.Quantile(kHedgeQuantile);
}

std::optional<Duration> HedgePolicy::OverdueAfter() const {
  const std::optional<Duration> hedge = HedgeAfter();
  if (!hedge) {
    return std::nullopt;
  }
  return *hedge * kOverdueFactor;
}

}  // namespace cactusshelf
