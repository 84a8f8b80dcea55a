#ifndef CACTUSSHELF_REQUEST_RATE_LIMITER_H_
#define CACTUSSHELF_REQUEST_RATE_LIMITER_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Token bucket that holds one second of the rate, and at least one request. Not thread-safe.
class RateLimiter {
 public:
  // `rate` in requests per second; 0 means unlimited. Precondition: rate >= 0.
  RateLimiter(double rate, Time now);

  // Changes the rate and keeps what was used so far.
  void SetRate(double rate);

  bool TryTake(Time now);

  // Time until the next request is accepted.
  Duration RetryAfter() const;

 private:
  double Burst() const;

  double rate_;
  double tokens_;
  Time updated_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_RATE_LIMITER_H_
