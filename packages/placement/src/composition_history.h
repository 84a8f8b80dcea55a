#ifndef CACTUSSHELF_PLACEMENT_SRC_COMPOSITION_HISTORY_H_
#define CACTUSSHELF_PLACEMENT_SRC_COMPOSITION_HISTORY_H_

#include <deque>
#include <vector>

#include "cactusshelf/placement/worker_messages.h"
#include "interner.h"

namespace cactusshelf {

// How much of one job class runs on a worker: the sum of the shares of the normal rate at which its
// tasks run, so that a task throttled to 400 permille counts as 0.4.
struct ClassShare {
  ClassIndex job_class = 0;
  double share = 0;
};

// Which job classes ran on one worker at which time. Measurements arrive late and must be explained
// by the tasks that ran when they were taken. Not thread-safe.
class CompositionHistory {
 public:
  // The share of the class changed by `delta` at `at`. Times need not be in order.
  void Add(WorkerTime at, ClassIndex job_class, double delta);

  // Drops everything; for a worker that restarted.
  void Clear();

  const std::vector<ClassShare>& current() const { return current_; }

  // Shares at `at`, as far back as the history reaches.
  std::vector<ClassShare> SharesAt(WorkerTime at) const;

  // Number of changes within (from, to].
  std::size_t ChangesBetween(WorkerTime from, WorkerTime to) const;

 private:
  struct Change {
    WorkerTime at;
    ClassIndex job_class;
    double delta;
  };

  std::vector<ClassShare> current_;
  std::deque<Change> changes_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_COMPOSITION_HISTORY_H_
