#ifndef CACTUSSHELF_JOBS_SRC_PLACER_H_
#define CACTUSSHELF_JOBS_SRC_PLACER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "job_tracker.h"
#include "interference_model.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// A task that waits for a worker.
struct PlacementRequest {
  const SubmittedJob* job = nullptr;
  TaskId task;
  std::string service;  // Pool.
  std::string rack;     // Empty: any.
  int image_index = 0;
  Duration waited{};

  const StepSpec& step() const { return job->spec.steps[static_cast<std::size_t>(task.step)]; }
};

// Chooses the worker on which a task starts.
//
// Serving tasks are packed on workers with tasks of the same image, so that as few pairs of images
// as possible meet. They leave a reserve for short tasks, whose callers wait. Best-effort tasks go
// where processors are idle and where they do not bring a serving task near its latency target.
// Not thread-safe.
class Placer {
 public:
  // The arguments outlive the placer.
  Placer(const SchedulerOptions& options, const NeighbourModel& neighbours)
      : options_(options), neighbours_(neighbours) {}

  // Starts a pass over `workers`, which outlive it. Workers become only fuller in a pass.
  void BeginPass(const std::vector<WorkerState*>& workers);

  // The best worker for one task, or null if it fits nowhere now.
  WorkerState* Choose(const PlacementRequest& request, Time now);

  // Keeps a worker free of further short tasks in this pass, so that room for a long-running task
  // that fits nowhere comes together there.
  void Reserve(const PlacementRequest& request);

  // A task was placed on `worker` in this pass.
  void OnPlaced(const WorkerState& worker, const StepSpec& step);

 private:
  // What did not fit on any worker in this pass.
  struct Misfit {
    std::string service;
    std::string rack;
    std::string label;
    int image_index = 0;
    bool best_effort = false;
    bool long_running = false;
    Resources need;
  };

  bool IsMisfit(const PlacementRequest& request) const;
  bool KeepsReserve(const PlacementRequest& request) const;
  bool IsReserved(const WorkerState& worker) const;
  bool Suits(const WorkerState& worker, const PlacementRequest& request) const;
  bool MayRun(WorkerState& worker, const PlacementRequest& request, Time now) const;
  bool SparesNeighbours(WorkerState& worker, const PlacementRequest& request) const;
  const std::vector<PressureRoom>& PressureRooms(WorkerState& worker) const;
  // Share of its room to the latency target that the task would take from its closest neighbour.
  double Harm(WorkerState& worker, const PlacementRequest& request) const;
  double Score(WorkerState& worker, const PlacementRequest& request, Time now) const;

  const SchedulerOptions& options_;
  const NeighbourModel& neighbours_;
  std::vector<WorkerState*> workers_;
  std::unordered_map<std::string, Resources> free_;      // By pool.
  std::unordered_map<std::string, Resources> capacity_;  // By pool.
  std::vector<Misfit> misfits_;
  std::vector<const WorkerState*> reserved_;
};

// What a task of `step` counts against a worker's capacity.
Resources CountedNeed(const StepSpec& step);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_PLACER_H_
