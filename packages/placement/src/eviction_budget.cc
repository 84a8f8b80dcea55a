#include "eviction_budget.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace cactusshelf {
namespace {

constexpr double kInitialShare = 0.1;

}  // namespace

void EvictionBudget::SetRate(Time now, double per_hour) {
  if (!has_rate_) {
    tokens_ = per_hour > 0 ? std::max(1.0, per_hour * kInitialShare) : 0;
    last_refill_ = now;
    has_rate_ = true;
  } else {
    Refill(now);
  }
  per_hour_ = per_hour;
}

bool EvictionBudget::CanEvict(Time now) {
  Refill(now);
  return tokens_ >= 1;
}

void EvictionBudget::Consume(Time now) {
  assert(CanEvict(now));
  tokens_ -= 1;
}

void EvictionBudget::Refill(Time now) {
  using Hours = std::chrono::duration<double, std::ratio<3600>>;
  tokens_ = std::min(tokens_ + per_hour_ * Hours(now - last_refill_).count(),
                     per_hour_ > 0 ? std::max(1.0, per_hour_) : 0.0);
  last_refill_ = now;
}

}  // namespace cactusshelf
