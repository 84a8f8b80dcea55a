#ifndef CACTUSSHELF_JOBS_SRC_PLACER_H_
#define CACTUSSHELF_JOBS_SRC_PLACER_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "interference_model.h"
#include "job_tracker.h"
#include "room_claims.h"
#include "worker_state.h"

namespace cactusshelf::jobs {

// A task that is waiting to be placed on a worker.
struct PlacementRequest {
  const SubmittedJob* job = nullptr;
  TaskId task;
  std::string service;  // Pool of workers that run the task.
  std::string rack;     // Required rack; empty: any.
  int image_index = 0;
  Duration waited{};
  bool may_probe = false;              // The task may start on a worker in quarantine.
  bool restart = false;                // A long-running task that has run before.
  WorkerState* last_worker = nullptr;  // Where a restart ran; null if that worker is not usable.

  TaskRef ref() const { return {job->key, task}; }
  const StepSpec& step() const { return job->spec.steps[static_cast<std::size_t>(task.step)]; }
};

// Why a task cannot start on a worker now.
enum class PlacementObstacle : std::uint8_t {
  kCapacity,
  kConstraint,     // Pool, rack, label or limit per worker.
  kStartsPaused,   // The worker has just refused a start.
  kQuarantine,     // Runs of several jobs have failed on the worker.
  kReserved,       // For a long-running task that has stopped, or that has waited long.
  kNeighbourLoad,  // A best-effort task would bring a serving neighbour near its target.
};
inline constexpr std::size_t kPlacementObstacleCount = 6;

// Name of the field of a log line that counts workers with this obstacle.
std::string_view ToString(PlacementObstacle obstacle);

// Number of workers by the obstacle that rules each out.
using ObstacleCounts = std::array<int, kPlacementObstacleCount>;

// What the workers that a task may use have free, and what is short on those without room for it.
struct CapacitySummary {
  Resources max_free;  // The most of each resource that is free, not all on the same worker.
  // Workers with less free than the task needs. One that is short of two resources counts twice.
  int short_of_processors = 0;
  int short_of_memory = 0;
  int short_of_accelerators = 0;
};

// Chooses the worker on which a task starts.
//
// Serving tasks are packed on workers with tasks of the same image, to keep the number of different
// image pairs on a worker low. Long-running tasks leave a reserve for short tasks, since callers
// wait for those. Best-effort tasks go to workers with idle processors where they do not bring a
// serving task near its latency target.
//
// Room may be claimed for a long-running task that has stopped: room that is free, or that is
// expected to be free once short tasks have ended. No other task takes it. If there is none, the
// task awaits room on the worker that lacks least of it. Short tasks go on there, but no
// long-running task that never ran takes a part of it while most of the pool is in use.
// Not thread-safe.
class Placer {
 public:
  // The arguments must outlive the placer.
  Placer(const SchedulerOptions& options, const InterferenceModel& interference)
      : options_(options), interference_(interference) {}

  // Starts a placement pass over `workers`, which must outlive the pass. After the free capacity of
  // a worker has grown in a pass, call OnCapacityFreed, since requests that fitted nowhere are not
  // tried again.
  // Room stays claimed for those of the tasks in `restarts` that had claimed it before.
  void BeginPass(const std::vector<WorkerState*>& workers, const std::set<TaskRef>& restarts = {});
  void OnCapacityFreed() { unplaceable_.clear(); }

  // Returns the best worker for one task, or null if no worker can run the task now.
  WorkerState* Choose(const PlacementRequest& request, Time now);

  // Returns the worker on which the task has claimed room, if it fits there now, or null.
  WorkerState* ChooseClaimed(const PlacementRequest& request, Time now) const;

  // True if the task has claimed room on the worker.
  bool HasClaimOn(const WorkerState& worker, const TaskRef& task) const {
    return claims_.WorkerOf(task) == &worker;
  }

  // Counts, for a task that fits nowhere, the given workers by the obstacle on each.
  ObstacleCounts CountObstacles(const PlacementRequest& request,
                                const std::vector<WorkerState*>& workers, Time now) const;

  // Returns what those of the given workers have free that match the task's pool, rack, label and
  // limit per worker.
  CapacitySummary SummarizeCapacity(const PlacementRequest& request,
                                    const std::vector<WorkerState*>& workers) const;

  // Reserves a worker for a long-running task that fits nowhere: no short task is placed on this
  // worker in this and the next pass, so that its capacity becomes free as running tasks end. A
  // worker that is reserved already is preferred.
  void ReserveWorker(const PlacementRequest& request, Time now);

  // Claims or awaits room for a restart: on its last worker, if that is expected to have room in
  // time, or else on the worker that is expected to have room first. So tasks that stop together
  // find room as they had it. Does nothing if the task has a claim that still holds.
  // A request without `restart` is for a task whose run is about to end; it only awaits room.
  // A restart that has waited for long may claim room that has become free since the pass before,
  // also if the task that left it has stopped as well: call this in the order in which they
  // stopped. The number of searches in one pass is limited; tasks without a claim take turns. Until
  // its turn, a task keeps all of its pool from long-running tasks that never ran.
  void ClaimRoom(const PlacementRequest& request, Time now);

  // Records that a task was placed on `worker` in this pass. Ends its claim.
  void OnPlaced(const WorkerState& worker, const TaskRef& task, const StepSpec& step);

  // Number of times that a worker was compared with a task, which is the main cost of a pass.
  std::uint64_t comparison_count() const { return comparison_count_; }

 private:
  // A request that did not fit on any worker in this pass.
  struct UnplaceableRequest {
    std::string service;
    std::string rack;
    std::string label;
    int image_index = 0;
    bool best_effort = false;
    bool long_running = false;
    bool may_probe = false;
    bool restart = false;
    Resources need;
  };
  struct RoomSearch {
    // Expected to have room first; of those at the same time, the one with the fewest free
    // processors. Null if none is.
    WorkerState* claimable = nullptr;
    // Lacks least, or exceeds the need least. Null if none matches.
    WorkerState* awaited = nullptr;
  };
  // A restart of this size has had no turn yet to be searched room for.
  struct UnclaimedNeed {
    std::string service;
    std::string label;
    Resources need;
  };

  // True if a request of the same kind and of at most the same size failed earlier in this pass.
  bool IsKnownUnplaceable(const PlacementRequest& request) const;
  // True if placing the task leaves enough processors of the pool to short tasks.
  bool LeavesShortTaskReserve(const PlacementRequest& request) const;
  bool IsReserved(const WorkerState& worker) const;
  // True if other tasks go before this one on the worker.
  bool IsKeptForOthers(const WorkerState& worker, const PlacementRequest& request) const;
  // True if the task fits beside what other tasks claim on the worker, or claims room there itself.
  bool LeavesClaimedRoom(const WorkerState& worker, const PlacementRequest& request) const;
  // True if the task, which never ran, would take room that restarts claim or await, or if room on
  // the worker may be owed to restarts that have not had their turn.
  bool IsOwedToRestarts(const WorkerState& worker, const PlacementRequest& request) const;
  // Time at which the worker is expected to have room for the restart, or nothing if that is later
  // than callers are owed it.
  std::optional<Time> ClaimableAt(const WorkerState& worker, const PlacementRequest& request,
                                  Time now) const;
  // Milliprocessors that the worker lacks for the task and all that is claimed or awaited there,
  // once its short tasks have ended. Negative if it has more.
  std::int64_t Shortfall(const WorkerState& worker, const PlacementRequest& request) const;
  // Searches all workers for room.
  RoomSearch SearchRoom(const PlacementRequest& request, Time now);
  // Replaces the claim of a task, which awaits room no longer.
  void AddClaim(const PlacementRequest& request, WorkerState& worker);
  // Claims room without a search. Returns false if neither the present claim holds nor the last
  // worker, or the one on which the task awaits room, is expected to have it in time.
  bool ClaimOnKnownWorker(const PlacementRequest& request, Time now);
  // Claims room that has become free since the pass before, without a search.
  bool ClaimFreedRoom(const PlacementRequest& request, Time now);
  void AddUnclaimedNeed(const PlacementRequest& request);
  // The best worker for the task, without regard to what is known to be unplaceable.
  WorkerState* FindBest(const PlacementRequest& request, Time now);
  std::size_t MaxReservedWorkers() const;
  // True if the worker is not reserved in this pass, and the task fits once the short tasks there
  // have ended.
  bool CanReserve(const WorkerState& worker, const PlacementRequest& request, Time now) const;
  // Returns the reservable worker with the most free processors, or null.
  template <typename Workers>
  const WorkerState* FindReservable(const Workers& workers, const PlacementRequest& request,
                                    Time now) const;
  // Checks the pool, rack, label and limit per worker, but neither capacity nor interference.
  bool MatchesConstraints(const WorkerState& worker, const PlacementRequest& request) const;
  // Returns nothing if the task can start on the worker.
  std::optional<PlacementObstacle> FindObstacle(WorkerState& worker,
                                                const PlacementRequest& request, Time now) const;
  // True if a best-effort task finds enough idle processors and leaves its serving neighbours
  // headroom to their latency targets.
  bool KeepsNeighbourHeadroom(WorkerState& worker, const PlacementRequest& request) const;
  const std::vector<PressureHeadroom>& PressureHeadrooms(WorkerState& worker) const;
  // Fraction of a serving neighbour's pressure headroom that the task would use, for the neighbour
  // with the highest fraction.
  double HeadroomUse(WorkerState& worker, const PlacementRequest& request) const;
  double Score(WorkerState& worker, const PlacementRequest& request, Time now) const;

  const SchedulerOptions& options_;
  const InterferenceModel& interference_;
  std::vector<WorkerState*> workers_;
  std::vector<WorkerState*> freed_workers_;  // Those that runs have left since the pass before.
  std::unordered_map<std::string, Resources> pool_free_;      // By pool.
  std::unordered_map<std::string, Resources> pool_capacity_;  // By pool.
  std::vector<UnplaceableRequest> unplaceable_;
  std::vector<const WorkerState*> reserved_before_;  // In the pass before.
  std::vector<const WorkerState*> reserved_workers_;
  int reservation_scans_left_ = 0;
  RoomClaims claims_;
  RoomClaims awaited_room_;
  std::vector<UnclaimedNeed> unclaimed_needs_;  // In this pass.
  // Tasks that were searched room for in vain since all others without a claim had their turn.
  std::set<TaskRef> searched_in_vain_;
  int claim_searches_left_ = 0;
  std::uint64_t comparison_count_ = 0;
};

// Resources that a task of `step` reserves of a worker's capacity. Best-effort tasks reserve no
// processors.
Resources CapacityNeed(const StepSpec& step);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_PLACER_H_
