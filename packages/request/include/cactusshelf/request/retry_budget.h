#ifndef CACTUSSHELF_REQUEST_RETRY_BUDGET_H_
#define CACTUSSHELF_REQUEST_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Limits the sum of retries and hedges to a fraction of the requests of the last 10 s, so that
// retries cannot multiply the load on endpoints that already fail. Not thread-safe.
class RetryBudget {
 public:
  // Precondition: 0 <= ratio <= 1.
  explicit RetryBudget(double ratio);

  void OnRequest(Time now);

  // Takes one retry or hedge out of the budget. False, without taking one, if the budget is spent.
  bool TrySpend(Time now);

 private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket {
    std::int64_t second = 0;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  Bucket& BucketFor(Time now);

  double ratio_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_REQUEST_RETRY_BUDGET_H_
