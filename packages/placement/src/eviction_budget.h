#ifndef CACTUSSHELF_PLACEMENT_SRC_EVICTION_BUDGET_H_
#define CACTUSSHELF_PLACEMENT_SRC_EVICTION_BUDGET_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Token bucket that limits evictions because of interference or memory pressure. Not thread-safe.
class EvictionBudget {
 public:
  // Sets the refill rate, which is also the capacity. The first call fills a tenth of the capacity.
  // Unless the rate is 0, capacity and first fill are at least one eviction. Precondition:
  // per_hour >= 0.
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
