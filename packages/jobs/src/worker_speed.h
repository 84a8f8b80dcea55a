#ifndef CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_
#define CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// Speed of the tasks on one worker, relative to their estimates: 1 for the estimated speed, 0 for
// no progress. Estimates can be far off for a single task, so observations are averaged. Without
// new observations the speed returns to 1. Not thread-safe.
class WorkerSpeed {
 public:
  // Records that a task with the given estimate made `progress` (1 is the whole task) in `elapsed`.
  // Precondition: `elapsed` is positive.
  void Observe(double progress, Duration estimate, Duration elapsed, Time now);

  // Average speed, at most 1.
  double SpeedAt(Time now) const;

  // Discards all observations, for a new incarnation of the worker.
  void Reset() { *this = {}; }

 private:
  double slowness_ = 0;  // 1 - speed, as of `observed_at_`.
  Time observed_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_
