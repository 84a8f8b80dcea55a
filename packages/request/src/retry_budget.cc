#include "cactusshelf/request/retry_budget.h"

#include <cassert>

namespace cactusshelf {

namespace {

std::int64_t ToWholeSeconds(Time now) {
  return std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
}

}  // namespace

RetryBudget::RetryBudget(double ratio) : ratio_(ratio) { assert(ratio >= 0 && ratio <= 1); }

void RetryBudget::OnRequest(Time now) { ++BucketFor(now).requests; }

bool RetryBudget::TrySpend(Time now) {
  Bucket& current = BucketFor(now);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    const bool recent = current.second - bucket.second < static_cast<std::int64_t>(kBuckets);
    if (recent) {
      requests += bucket.requests;
      retries += bucket.retries;
    }
  }
  if (static_cast<double>(retries + 1) > ratio_ * static_cast<double>(requests)) {
    return false;
  }
  ++current.retries;
  return true;
}

RetryBudget::Bucket& RetryBudget::BucketFor(Time now) {
  const std::int64_t second = ToWholeSeconds(now);
  Bucket& bucket = buckets_[static_cast<std::uint64_t>(second) % kBuckets];
  if (bucket.second != second) {
    bucket = Bucket{second, 0, 0};
  }
  return bucket;
}

}  // namespace cactusshelf
