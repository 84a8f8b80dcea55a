#ifndef CACTUSSHELF_JOBS_SRC_PACE_CONTROL_H_
#define CACTUSSHELF_JOBS_SRC_PACE_CONTROL_H_

#include "worker_state.h"

namespace cactusshelf::jobs {

// Decides at which share of their speed the best-effort tasks of a worker run, so that the serving
// tasks beside them meet their latency targets. Lowers it at once when a target is near and raises
// it in small steps. Not thread-safe.
class PaceControl {
 public:
  // Sets Run::pace of the best-effort runs of `worker` from the loads of its latest report.
  void Update(WorkerState& worker, Time now) const;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_PACE_CONTROL_H_
