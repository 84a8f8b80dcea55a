#ifndef CACTUSSHELF_PLACEMENT_CELL_SCHEDULER_H_
#define CACTUSSHELF_PLACEMENT_CELL_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/cell_options.h"
#include "cactusshelf/placement/specs.h"
#include "cactusshelf/placement/worker_messages.h"

namespace cactusshelf {

// Every task of the job finished. Emitted again by the next owner if the job is still admitted.
struct JobFinished {
  JobId job;
};

// An admitted job no longer fits on any worker, for example because workers were removed.
struct JobRefused {
  JobId job;
  ResourceKind limiting_resource = ResourceKind::kProcessors;
};

using CellEffect = std::variant<InstallEpoch, StartTask, StopTask, CheckpointTask, ThrottleTask,
                                RenewLeases, ReadState, JobFinished, JobRefused>;

enum class RefusalReason {
  kTooLargeForWorkers,  // No worker of the cell can hold one task.
  kTooLargeForQuota,    // One task exceeds the quota of the team.
  kUnknownTeam,
  kRetiredCustomer,
  kAlreadyCancelled,
};

struct JobRefusal {
  RefusalReason reason = RefusalReason::kTooLargeForWorkers;
  // Set only for kTooLargeForWorkers and kTooLargeForQuota.
  ResourceKind limiting_resource = ResourceKind::kProcessors;

  friend bool operator==(const JobRefusal&, const JobRefusal&) = default;
};

// Places the batch tasks of one cell on the workers of that cell while this process owns the cell.
//
// A deterministic state machine: each input carries the current time, which must not decrease, and
// the resulting effects are collected with TakeEffects. All inputs except those about ownership are
// accepted at any time, also while the cell is not owned. Jobs, teams, workers and customers are
// kept across changes of ownership. Commands are emitted only while this process owns the cell and
// its authority has not ended. Not thread-safe.
class CellScheduler {
 public:
  CellScheduler(CellOptions options, Random random);
  ~CellScheduler();
  CellScheduler(CellScheduler&&) noexcept;
  CellScheduler& operator=(CellScheduler&&) noexcept;

  // Takes ownership of the cell with `epoch`, which must exceed every earlier epoch. The authority
  // of all earlier owners ended by `old_authority_end`. No task is started until every worker has
  // answered or its leases have expired. Does not grant authority; call SetAuthority. The jobs of
  // the cell should be admitted first: tasks of jobs that are unknown when recovery ends are
  // stopped.
  void TakeOwnership(Time now, Epoch epoch, Time old_authority_end);

  // Discards the state of running tasks. The usage and interference models are kept.
  void LoseOwnership(Time now);

  // Sets the time at which the authority of this process ends. The time may be earlier than before.
  void SetAuthority(Time now, Time valid_until);

  // Replaces the workers of the cell. Tasks on a removed worker run until they have been stopped.
  void ApplyWorkers(Time now, std::vector<WorkerSpec> workers);

  // Replaces the teams. A smaller quota does not stop running tasks.
  void ApplyTeams(Time now, const std::vector<TeamSpec>& teams);

  // Admits a job, or returns the reason for its refusal. Admitting a known job has no effect.
  std::optional<JobRefusal> AdmitJob(Time now, const JobSpec& job);

  // Closes a job that was cancelled or that the log records as finished. Running tasks are stopped
  // and none is started again. An unknown id is recorded and refused by a later AdmitJob.
  void CancelJob(Time now, const JobId& job);

  // Stops all tasks of the customer and refuses its jobs from now on. Cannot be undone.
  void RetireCustomer(Time now, const CustomerId& customer);

  // Handles the answer to a command. Results of unknown or superseded commands are ignored.
  void OnCommandResult(Time now, const CommandId& id, const CommandResult& result);

  // The command was dropped or was not answered. The worker may or may not have executed it.
  void OnCommandLost(Time now, const CommandId& id);

  // Handles the answer to ReadState.
  void OnWorkerState(Time now, const WorkerId& worker, const WorkerState& state);

  // Handles all timers that are due. To be called at or after NextWakeup.
  void OnTimer(Time now);

  // Returns the effects since the last call, in order. Commands may be delivered in any order.
  std::vector<CellEffect> TakeEffects();

  // The time at which OnTimer is due next. Empty if no timer is pending.
  std::optional<Time> NextWakeup() const;

  const Counters& counters() const;

  // Number of tasks of the customer that run or may run on workers of the cell. A lower bound while
  // unvisited_workers() is not empty.
  std::uint64_t customer_task_count(const CustomerId& customer) const;

  // True if tasks of a job that is cancelled or not admitted run or may run on workers of the cell.
  // May miss tasks while unvisited_workers() is not empty.
  bool has_leftover_tasks(const JobId& job) const;

  // True from TakeOwnership until every worker has answered or its leases have expired.
  bool is_recovering() const;

  // Workers that have neither answered since TakeOwnership nor had their leases expire.
  std::vector<WorkerId> unvisited_workers() const;

  // Number of jobs with tasks that wait to be started.
  std::uint64_t waiting_jobs() const;

  // Resources committed to tasks on the worker, without its endpoints. Zero for unknown workers.
  Resources committed(const WorkerId& worker) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_CELL_SCHEDULER_H_
