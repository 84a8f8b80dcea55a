#ifndef CACTUSSHELF_PLACEMENT_SRC_COMPOSITION_HISTORY_H_
#define CACTUSSHELF_PLACEMENT_SRC_COMPOSITION_HISTORY_H_

#include <deque>
#include <vector>

#include "cactusshelf/placement/worker_messages.h"
#include "interner.h"

namespace cactusshelf {

// Amount of one job class on a worker: the sum over its tasks of their share of the normal rate. A
// task that is throttled to 400 permille counts as 0.4.
struct ClassShare {
  ClassIndex job_class = 0;
  double share = 0;
};

// History of the job classes on one worker. Measurements arrive late and must be attributed to the
// tasks that ran when they were taken. Not thread-safe.
class CompositionHistory {
 public:
  // Records that the share of the class changed by `delta` at `at`. Times need not be in order.
  void Add(WorkerTime at, ClassIndex job_class, double delta);

  // Removes all entries. To be called when the worker restarted.
  void Clear();

  const std::vector<ClassShare>& current() const { return current_; }

  // Shares at time `at`. Changes older than the history are not undone.
  std::vector<ClassShare> SharesAt(WorkerTime at) const;

  // Number of recorded changes in (from, to].
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
