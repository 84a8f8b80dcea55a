#include "eviction_budget.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace cactusshelf {
namespace {

constexpr double kInitialShare = 0.1;

}  // namespace

void EvictionBudget::SetRate(Time now, double per_hour) {
  if (!is_set_) {
    left_ = std::max(1.0, per_hour * kInitialShare);
    at_ = now;
    is_set_ = true;
  }
  Refill(now);
  per_hour_ = per_hour;
}

bool EvictionBudget::HasLeft(Time now) {
  Refill(now);
  return left_ >= 1;
}

void EvictionBudget::Take(Time now) {
  assert(HasLeft(now));
  left_ -= 1;
}

void EvictionBudget::Refill(Time now) {
  using Hours = std::chrono::duration<double, std::ratio<3600>>;
  left_ = std::min(left_ + per_hour_ * Hours(now - at_).count(), std::max(1.0, per_hour_));
  at_ = now;
}

}  // namespace cactusshelf
