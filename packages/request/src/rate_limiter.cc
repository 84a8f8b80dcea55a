#include "cactusshelf/request/rate_limiter.h"

#include <algorithm>
#include <cassert>

namespace cactusshelf {

namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

RateLimiter::RateLimiter(double rate, Time now)
    : rate_(rate), tokens_(BurstSize()), updated_at_(now) {
  assert(rate >= 0);
}

void RateLimiter::SetRate(double rate) {
  assert(rate >= 0);
  rate_ = rate;
  tokens_ = std::min(tokens_, BurstSize());
}

bool RateLimiter::TryTake(Time now) {
  const double elapsed = std::max(Seconds(now - updated_at_).count(), 0.0);
  updated_at_ = now;
  tokens_ = std::min(tokens_ + elapsed * rate_, BurstSize());
  if (rate_ <= 0) {
    return true;
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Duration RateLimiter::RetryAfter() const {
  if (rate_ <= 0) {
    return Duration::zero();
  }
  const Seconds wait(std::max(1 - tokens_, 0.0) / rate_);
  return std::chrono::ceil<Duration>(wait);
}

double RateLimiter::BurstSize() const { return std::max(rate_, 1.0); }

}  // namespace cactusshelf
