#ifndef CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_
#define CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_

#include "interference_model.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// Decides at which share of their speed the best-effort tasks of a worker run, so that the serving
// tasks beside them meet their latency targets. Only tasks that press on an endangered neighbour
// are slowed, as far as needed. Not thread-safe.
class BestEffortThrottle {
 public:
  // Learns from the latest report of `worker`, and sets WorkerState::serving and Run::pace.
  void Update(WorkerState& worker, InterferenceModel& model, Time now) const;

 private:
  void Observe(WorkerState& worker, InterferenceModel& model, const BestEffortUsage& use,
               Time now) const;
  double AllowedCpuSharePercent(const WorkerState& worker, const InterferenceModel& model,
                                const Run& run) const;
};

// Processors that the best-effort runs of `worker` are expected to use at their ordered pace.
BestEffortUsage ExpectedBestEffortUsage(const WorkerState& worker);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_BEST_EFFORT_THROTTLE_H_
