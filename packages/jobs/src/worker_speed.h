#ifndef CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_
#define CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// How fast tasks get on at one worker, relative to their estimates: 1 as estimated, 0 standing
// still. Estimates are far off for single tasks, so several are averaged, and what was seen fades
// once nothing is seen any more. Not thread-safe.
class WorkerSpeed {
 public:
  // A task of the given estimate made `progress` (1 is all of it) in `elapsed`. Precondition:
  // `elapsed` is positive.
  void Observe(double progress, Duration estimate, Duration elapsed, Time now);

  // At most 1.
  double SpeedAt(Time now) const;

  // Another life of the worker.
  void Reset() { *this = {}; }

 private:
  double slowness_ = 0;  // 1 - speed, at `seen_`.
  Time observed_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_WORKER_SPEED_H_
