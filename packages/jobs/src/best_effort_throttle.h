#ifndef CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_
#define CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_

#include "interference_model.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// Sets the CPU share of the best-effort tasks of a worker so that the serving tasks on the same
// worker meet their latency targets. Tasks are throttled only if they affect a serving task that is
// near its target, and only as far as needed. If a serving task stays above its target, all
// best-effort tasks of the worker are paused. Not thread-safe.
class BestEffortThrottle {
 public:
  // Updates `model` from the latest report of `worker`, and sets WorkerState::serving_by_image and
  // Run::cpu_share_percent.
  void Update(WorkerState& worker, InterferenceModel& model, Time now) const;

 private:
  // Updates `model` and the observed pressure of the serving images of `worker`.
  void Observe(WorkerState& worker, InterferenceModel& model, const BestEffortUsage& use,
               Time now) const;
  // Highest CPU share of `run` at which each serving neighbour stays below the target pressure.
  double AllowedCpuSharePercent(const WorkerState& worker, const InterferenceModel& model,
                                const Run& run) const;
};

// Processors that the best-effort runs of `worker` are expected to use at the CPU shares last
// ordered.
BestEffortUsage ExpectedBestEffortUsage(const WorkerState& worker);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_
