#include "cactusshelf/request/rate_limiter.h"

#include <algorithm>
#include <cassert>

namespace cactusshelf {

namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

RateLimiter::RateLimiter(double rate, Time now) : rate_(rate), tokens_(Burst()), updated_(now) {
  assert(rate >= 0);
}

void RateLimiter::SetRate(double rate) {
  assert(rate >= 0);
  rate_ = rate;
  tokens_ = std::min(tokens_, Burst());
}

bool RateLimiter::TryTake(Time now) {
  const double elapsed = std::max(Seconds(now - updated_).count(), 0.0);
  updated_ = now;
  tokens_ = std::min(tokens_ + elapsed * rate_, Burst());
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

double RateLimiter::Burst() const { return std::max(rate_, 1.0); }

}  // namespace cactusshelf
