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
    left_ = per_hour > 0 ? std::max(1.0, per_hour * kInitialShare) : 0;
    at_ = now;
    is_set_ = true;
  } else {
    Refill(now);
  }
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
  left_ = std::min(left_ + per_hour_ * Hours(now - at_).count(),
                   per_hour_ > 0 ? std::max(1.0, per_hour_) : 0.0);
  at_ = now;
}

}  // namespace cactusshelf
