#ifndef CACTUSSHELF_JOBS_SRC_ROOM_CLAIMS_H_
#define CACTUSSHELF_JOBS_SRC_ROOM_CLAIMS_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "worker_state.h"

namespace cactusshelf::jobs {

// Room on workers that is kept free for tasks that have stopped, until they run again. Each task
// claims room on one worker at most. A claim is kept from one placement pass to the next, so that a
// worker is searched for only once. Not thread-safe.
class RoomClaims {
 public:
  // Drops the claims on workers that are not in `workers`. The workers that hold claims must
  // outlive the next placement pass.
  void KeepWorkers(const std::vector<WorkerState*>& workers);
  // Drops the claims of tasks that are not in `tasks`.
  void KeepTasks(const std::set<TaskRef>& tasks);

  // Replaces the claim of a task.
  void Add(const TaskRef& task, WorkerState& worker, const Resources& need);
  // Does nothing if the task has no claim.
  void Remove(const TaskRef& task);

  // The worker on which the task claims room, or null. It may have been removed since the last call
  // of KeepWorkers.
  WorkerState* WorkerOf(const TaskRef& task) const;
  // Sum of the claims on a worker, those of `task` excepted.
  Resources ClaimedByOthers(const WorkerState& worker, const TaskRef& task) const;
  bool empty() const { return claims_.empty(); }

 private:
  struct Claim {
    WorkerState* worker = nullptr;
    Resources need;
  };

  template <typename Predicate>
  void RemoveIf(const Predicate& obsolete);

  std::map<TaskRef, Claim> claims_;
  std::unordered_map<const WorkerState*, Resources> claimed_;  // Sum of the claims, by worker.
};

// Time at which the worker is expected to have `need` free: now, or once enough of its short tasks
// have ended, by their estimates. Nothing if it will not have as much then either.
std::optional<Time> ExpectedRoomAt(const WorkerState& worker, const Resources& need, Time now);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_ROOM_CLAIMS_H_
