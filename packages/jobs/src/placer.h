#ifndef CACTUSSHELF_JOBS_SRC_PLACER_H_
#define CACTUSSHELF_JOBS_SRC_PLACER_H_

#include <string>
#include <vector>

#include "job_tracker.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// Chooses the worker on which a task starts. Tasks whose processors are reserved are packed, so
// that some workers stay free of serving tasks; best-effort tasks go where most processors are
// idle. Not thread-safe.
class Placer {
 public:
  // Starts a placement pass, in which workers only become fuller.
  void BeginPass() { misfits_.clear(); }

  // The best of `workers` for one task of `step`, or null if it fits nowhere now. `service` is the
  // pool. With a non-empty `rack`, only workers of that rack.
  WorkerState* Choose(const std::vector<WorkerState*>& workers, const SubmittedJob& job,
                      const TaskId& task, const std::string& service, const std::string& rack,
                      Time now);

 private:
  // What did not fit on any worker in this pass.
  struct Misfit {
    std::string service;
    std::string rack;
    std::string label;
    bool best_effort = false;
    Resources need;
  };

  bool IsMisfit(const StepSpec& step, const std::string& service, const std::string& rack) const;
  bool MayRun(const WorkerState& worker, const SubmittedJob& job, const TaskId& task,
              const std::string& service, Time now) const;
  double Score(const WorkerState& worker, const StepSpec& step) const;

  std::vector<Misfit> misfits_;
};

// What a task of `step` counts against a worker's capacity.
Resources CountedNeed(const StepSpec& step);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_PLACER_H_
