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

// The admitted job can no longer fit, for instance since workers were removed.
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
  // Meaningful for the first two reasons.
  ResourceKind limiting_resource = ResourceKind::kProcessors;

  friend bool operator==(const JobRefusal&, const JobRefusal&) = default;
};

// Places the batch work of one cell on the workers of that cell while this process owns it.
//
// A deterministic state machine: each input carries the time, which must not decrease, and the
// resulting effects are collected with TakeEffects. Inputs other than those about ownership may be
// given at any time, also while the cell is not owned; job, team, worker and customer inputs are
// remembered across changes of ownership. Commands are emitted only while the cell is owned and
// the authority has not ended. Not thread-safe.
class CellScheduler {
 public:
  CellScheduler(CellOptions options, Random random);
  ~CellScheduler();
  CellScheduler(CellScheduler&&) noexcept;
  CellScheduler& operator=(CellScheduler&&) noexcept;

  // Begins to own the cell with `epoch`, which must exceed every earlier one. The authority of all
  // earlier owners ended by `old_authority_end`. Nothing is placed until every worker answered or
  // its leases expired. Does not grant authority; call SetAuthority. The jobs of the cell should be
  // admitted before: work of jobs that are unknown when recovery ends is stopped.
  void TakeOwnership(Time now, Epoch epoch, Time old_authority_end);

  // Drops what is known of running tasks. Learned usage and interference are kept.
  void LoseOwnership(Time now);

  // This process has authority until `valid_until`. An earlier instant than before shortens it.
  void SetAuthority(Time now, Time valid_until);

  // Replaces the workers of the cell. A removed worker keeps its tasks until they are stopped.
  void ApplyWorkers(Time now, std::vector<WorkerSpec> workers);

  // Replaces the teams. A smaller quota stops no running task.
  void ApplyTeams(Time now, const std::vector<TeamSpec>& teams);

  // Admits a job, or returns why it is refused. Admitting a known job again has no effect.
  std::optional<JobRefusal> AdmitJob(Time now, const JobSpec& job);

  // The job is cancelled, or the log records it as finished. It never starts again; running tasks
  // are stopped. Unknown ids are remembered.
  void CancelJob(Time now, const JobId& job);

  // Irreversible: stops all tasks of the customer and refuses its jobs from now on.
  void RetireCustomer(Time now, const CustomerId& customer);

  // The worker answered a command. Results of unknown or superseded commands are ignored.
  void OnCommandResult(Time now, const CommandId& id, const CommandResult& result);

  // The command was dropped, or no answer arrived. It may or may not have been executed.
  void OnCommandLost(Time now, const CommandId& id);

  // A report that answers ReadState.
  void OnWorkerState(Time now, const WorkerId& worker, const WorkerState& state);

  // To be called at or after NextWakeup.
  void OnTimer(Time now);

  // The effects since the last call, in order. Commands to one worker may arrive in any order.
  std::vector<CellEffect> TakeEffects();

  // When OnTimer is next due, or nothing if only an input can cause an effect.
  std::optional<Time> NextWakeup() const;

  const Counters& counters() const;

  // Tasks of the customer that run or may run on workers of the cell. While workers are unvisited
  // this is a lower bound.
  std::uint64_t customer_task_count(const CustomerId& customer) const;

  // Whether tasks of a job that is cancelled or not admitted run or may run on workers of the cell.
  // While workers are unvisited the answer may be too low.
  bool has_leftover_tasks(const JobId& job) const;

  // True from TakeOwnership until every worker answered or its leases expired.
  bool is_recovering() const;

  // Workers that have neither answered since TakeOwnership nor had their leases expire.
  std::vector<WorkerId> unvisited_workers() const;

  // Jobs with tasks that wait to be started.
  std::uint64_t waiting_jobs() const;

  // Resources committed on the worker, without its endpoints. Zero for an unknown worker.
  Resources committed(const WorkerId& worker) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_CELL_SCHEDULER_H_
