#ifndef CACTUSSHELF_PLACEMENT_SRC_MITIGATION_POLICY_H_
#define CACTUSSHELF_PLACEMENT_SRC_MITIGATION_POLICY_H_

#include "cactusshelf/placement/cell_options.h"
#include "interference_model.h"
#include "placement_ranker.h"
#include "worker_record.h"

namespace cactusshelf {

enum class MitigationAction { kNone, kThrottle, kLiftThrottle, kEvict };

struct MitigationStep {
  MitigationAction action = MitigationAction::kNone;
  TaskAttempt task;
};

// Decides after each report how to reduce interference and memory pressure on a worker. A task is
// throttled first and evicted only if that does not suffice; throttles are lifted when they are no
// longer needed. Steps are taken one at a time, with time between them for the measurements to show
// the effect. Not thread-safe.
class MitigationPolicy {
 public:
  // `interference` must outlive the policy.
  MitigationPolicy(const CellOptions& options, const PlacementRanker& ranker,
                   const InterferenceModel& interference);

  // Precondition: worker.services and the usage of its placements are up to date.
  MitigationStep Decide(Time now, const WorkerRecord& worker, const Resources& available,
                        bool may_evict) const;

  // Slowdown of a service above which tasks on its worker are throttled or evicted.
  double start_slowdown() const { return start_slowdown_; }

 private:
  MitigationStep DecideForMemory(const WorkerRecord& worker, const Resources& available) const;
  MitigationStep DecideForService(Time now, const WorkerRecord& worker,
                                  const ServiceStatus& service, bool may_evict) const;
  Duration MinThrottleDuration(const Placement& placement) const;
  MitigationStep DecideToLiftThrottle(Time now, const WorkerRecord& worker) const;

  Duration throttle_evaluation_period_;
  double start_slowdown_ = 0;
  double end_slowdown_;
  double throttle_share_;
  double tail_weight_;
  double eviction_weight_;
  double throughput_weight_;
  const InterferenceModel& interference_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_MITIGATION_POLICY_H_
