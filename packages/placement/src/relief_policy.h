#ifndef CACTUSSHELF_PLACEMENT_SRC_RELIEF_POLICY_H_
#define CACTUSSHELF_PLACEMENT_SRC_RELIEF_POLICY_H_

#include "cactusshelf/placement/cell_options.h"
#include "interference_model.h"
#include "placement_ranker.h"
#include "worker_record.h"

namespace cactusshelf {

enum class ReliefAction { kNone, kThrottle, kLiftThrottle, kEvict };

struct Relief {
  ReliefAction action = ReliefAction::kNone;
  TaskAttempt task;
};

// Decides after a report whether a worker needs relief: first a throttle, then an eviction, and
// back. One step at a time, each with time to show in the measurements. Not thread-safe.
class ReliefPolicy {
 public:
  // `interference` must outlive the policy.
  ReliefPolicy(const CellOptions& options, const PlacementRanker& ranker,
               const InterferenceModel& interference);

  // Precondition: worker.services and the usage of its placements are up to date.
  Relief Decide(Time now, const WorkerRecord& worker, const Resources& available,
                bool may_evict) const;

  // Slowdown above which a service counts as disturbed.
  double begin_slowdown() const { return begin_; }

 private:
  Relief RelieveMemory(const WorkerRecord& worker, const Resources& available) const;
  Relief RelieveService(Time now, const WorkerRecord& worker, const ServiceStatus& service,
                        bool may_evict) const;
  Duration LeastThrottleTime(const Placement& placement) const;
  Relief Lift(Time now, const WorkerRecord& worker) const;

  Duration patience_;
  double begin_ = 0;
  double end_;
  double throttle_share_;
  double tail_;
  double evictions_;
  double throughput_;
  const InterferenceModel& interference_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_RELIEF_POLICY_H_
