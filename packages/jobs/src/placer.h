#ifndef CACTUSSHELF_JOBS_SRC_PLACER_H_
#define CACTUSSHELF_JOBS_SRC_PLACER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "interference_model.h"
#include "job_tracker.h"
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
  Placer(const SchedulerOptions& options, const InterferenceModel& neighbours)
      : options_(options), interference_(neighbours) {}

  // Starts a pass over `workers`, which outlive it. Workers become only fuller in a pass.
  void BeginPass(const std::vector<WorkerState*>& workers);

  // The best worker for one task, or null if it fits nowhere now.
  WorkerState* Choose(const PlacementRequest& request, Time now);

  // Keeps a worker free of further short tasks in this pass, so that room for a long-running task
  // that fits nowhere comes together there.
  void ReserveWorker(const PlacementRequest& request);

  // A task was placed on `worker` in this pass.
  void OnPlaced(const WorkerState& worker, const StepSpec& step);

 private:
  // What did not fit on any worker in this pass.
  struct UnplaceableRequest {
    std::string service;
    std::string rack;
    std::string label;
    int image_index = 0;
    bool best_effort = false;
    bool long_running = false;
    Resources need;
  };

  bool IsKnownUnplaceable(const PlacementRequest& request) const;
  bool LeavesShortTaskReserve(const PlacementRequest& request) const;
  bool IsReserved(const WorkerState& worker) const;
  bool MatchesConstraints(const WorkerState& worker, const PlacementRequest& request) const;
  bool CanPlace(WorkerState& worker, const PlacementRequest& request, Time now) const;
  bool KeepsNeighbourHeadroom(WorkerState& worker, const PlacementRequest& request) const;
  const std::vector<PressureHeadroom>& PressureHeadrooms(WorkerState& worker) const;
  // Share of its room to the latency target that the task would take from its closest neighbour.
  double HeadroomUse(WorkerState& worker, const PlacementRequest& request) const;
  double Score(WorkerState& worker, const PlacementRequest& request, Time now) const;

  const SchedulerOptions& options_;
  const InterferenceModel& interference_;
  std::vector<WorkerState*> workers_;
  std::unordered_map<std::string, Resources> pool_free_;      // By pool.
  std::unordered_map<std::string, Resources> pool_capacity_;  // By pool.
  std::vector<UnplaceableRequest> unplaceable_;
  std::vector<const WorkerState*> reserved_workers_;
};

// What a task of `step` counts against a worker's capacity.
Resources CapacityNeed(const StepSpec& step);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_PLACER_H_
