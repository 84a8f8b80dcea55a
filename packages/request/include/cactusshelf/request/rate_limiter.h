#ifndef CACTUSSHELF_REQUEST_RATE_LIMITER_H_
#define CACTUSSHELF_REQUEST_RATE_LIMITER_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Token bucket with a capacity of one second's worth of requests, at least one. Not thread-safe.
class RateLimiter {
 public:
  // `rate` in requests per second; 0 means unlimited. Precondition: rate >= 0.
  RateLimiter(double rate, Time now);

  // Changes the rate without refilling the bucket. Precondition: rate >= 0.
  void SetRate(double rate);

  // Takes one token. False, without taking one, if the bucket is empty.
  bool TryTake(Time now);

  // Time from the last TryTake until a request is accepted.
  Duration RetryAfter() const;

 private:
  double BurstSize() const;

  double rate_;
  double tokens_;
  Time updated_at_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_RATE_LIMITER_H_
