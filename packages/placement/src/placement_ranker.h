#ifndef CACTUSSHELF_PLACEMENT_SRC_PLACEMENT_RANKER_H_
#define CACTUSSHELF_PLACEMENT_SRC_PLACEMENT_RANKER_H_

#include "cactusshelf/placement/cell_options.h"
#include "interference_model.h"
#include "job.h"
#include "usage_model.h"
#include "worker_record.h"

namespace cactusshelf {

// Ranks workers for the start of one task by estimated usage and interference. The caller passes
// only workers on which the declared size of the task fits. Not thread-safe.
class PlacementRanker {
 public:
  // The models must outlive the ranker. Weights are scaled to a mean of 1.
  PlacementRanker(const CellOptions& options, const UsageModel& usage,
                  const InterferenceModel& interference);

  // Cost of starting a task of `job` on `worker`; lower is better. Costs of different jobs are not
  // comparable.
  double Cost(Time now, const Job& job, const WorkerRecord& worker, const Resources& available,
              const Resources& committed) const;

  // Weight of a metric relative to the mean weight.
  double tail_weight() const { return tail_weight_; }
  double eviction_weight() const { return eviction_weight_; }
  double throughput_weight() const { return throughput_weight_; }

 private:
  struct ServiceCost {
    double slowdown_increase = 0;  // Predicted, summed over the endpoints.
    double worst_slowdown = 0;     // Predicted maximum over the services.
  };

  ServiceCost CostToServices(const Job& job, const WorkerRecord& worker) const;

  double mitigation_start_slowdown_;
  double tail_weight_;
  double eviction_weight_;
  double throughput_weight_;
  const UsageModel& usage_;
  const InterferenceModel& interference_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_PLACEMENT_RANKER_H_
