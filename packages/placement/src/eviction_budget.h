#ifndef CACTUSSHELF_PLACEMENT_SRC_EVICTION_BUDGET_H_
#define CACTUSSHELF_PLACEMENT_SRC_EVICTION_BUDGET_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Limits how often work is evicted for relief. Not thread-safe.
class EvictionBudget {
 public:
  // The budget grows evenly by `per_hour` up to that much, and begins with a tenth of it. Unless
  // the rate is 0, one eviction can always accumulate. Precondition: per_hour >= 0.
  void SetRate(Time now, double per_hour);

  bool CanEvict(Time now);

  // Precondition: CanEvict(now).
  void Consume(Time now);

 private:
  void Refill(Time now);

  double per_hour_ = 0;
  double tokens_ = 0;
  Time last_refill_;
  bool has_rate_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_EVICTION_BUDGET_H_
