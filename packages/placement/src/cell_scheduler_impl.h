#ifndef CACTUSSHELF_PLACEMENT_SRC_CELL_SCHEDULER_IMPL_H_
#define CACTUSSHELF_PLACEMENT_SRC_CELL_SCHEDULER_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "cactusshelf/placement/cell_scheduler.h"
#include "command_table.h"
#include "eviction_budget.h"
#include "failure_matrix.h"
#include "interference_model.h"
#include "interner.h"
#include "job.h"
#include "job_queue.h"
#include "placement_ranker.h"
#include "relief_policy.h"
#include "timer_queue.h"
#include "usage_model.h"
#include "worker_ledger.h"
#include "worker_record.h"

namespace cactusshelf {

// The parts of the scheduler of one cell and the flow between them. Defined in four files: inputs
// and ownership (cell_scheduler_impl.cc), commands to workers and their results (commands.cc),
// reports (reports.cc), starts (starts.cc), and relief and preemption (relief.cc).
class CellScheduler::Impl {
 public:
  Impl(CellOptions options, Random random);

  void TakeOwnership(Time now, Epoch epoch, Time old_authority_end);
  void LoseOwnership();
  void SetAuthority(Time now, Time valid_until);
  void ApplyWorkers(Time now, std::vector<WorkerSpec> workers);
  void ApplyTeams(Time now, const std::vector<TeamSpec>& teams);
  std::optional<JobRefusal> AdmitJob(Time now, const JobSpec& spec);
  void CancelJob(Time now, const JobId& id);
  void RetireCustomer(Time now, const CustomerId& customer);
  void OnCommandResult(Time now, const CommandId& id, const CommandResult& result);
  void OnCommandLost(Time now, const CommandId& id);
  void OnWorkerState(Time now, const WorkerId& worker, const WorkerState& state);
  void OnTimer(Time now);

  std::vector<CellEffect> TakeEffects() { return std::move(effects_); }
  std::optional<Time> NextWakeup() const { return timers_.Next(); }
  const Counters& counters() const { return counters_; }
  std::uint64_t CustomerTaskCount(const CustomerId& customer) const;
  bool HasLeftoverTasks(const JobId& job) const { return foreign_.contains(job); }
  bool is_recovering() const { return is_recovering_; }
  std::vector<WorkerId> UnvisitedWorkers() const;
  std::uint64_t WaitingJobs() const { return queue_.size(); }
  Resources Committed(const WorkerId& worker) const;

 private:
  struct ReportDue {
    WorkerSlot slot;
  };
  // Contacts a worker out of turn.
  struct PollDue {
    WorkerSlot slot;
  };
  struct ResendDue {
    CommandId id;
  };
  struct CheckpointDue {
    WorkerSlot slot;
    TaskAttempt task;
  };
  struct ClassProbeDue {
    ClassIndex job_class;
  };
  struct WorkerProbeDue {
    WorkerSlot slot;
  };
  struct RecoveryDue {};
  struct PlacementDue {};
  using Event = std::variant<ReportDue, PollDue, ResendDue, CheckpointDue, ClassProbeDue,
                             WorkerProbeDue, RecoveryDue, PlacementDue>;

  // Ownership.
  bool CanCommand(Time now) const;
  bool CanPlace(Time now) const { return CanCommand(now) && !is_recovering_; }
  void DropRuntime();
  void ContactAll(Time now);
  void CheckRecovery(Time now);
  void EndRecovery(Time now);
  Duration LeaseWithMargin() const;

  // Workers.
  void ApplyWorker(Time now, WorkerSpec spec);
  void RemoveWorker(Time now, WorkerSlot slot);
  bool CanUse(Time now, WorkerSlot slot) const;
  void UpdateOpen(Time now, WorkerSlot slot);
  void RefuseUnfitJobs();

  // Jobs.
  std::optional<JobRefusal> CheckJob(const JobSpec& spec) const;
  void CloseJob(const JobId& id);
  void AdoptForeign(Job& job);
  Job* FindJob(const TaskId& task, std::uint32_t& index);
  void FinishTask(Time now, Job& job, std::uint32_t index);

  // Timers.
  void Handle(Time now, const ReportDue& event);
  void Handle(Time now, const PollDue& event);
  void Handle(Time now, const ResendDue& event);
  void Handle(Time now, const CheckpointDue& event);
  void Handle(Time now, const ClassProbeDue& event);
  void Handle(Time now, const WorkerProbeDue& event);
  void Handle(Time now, const RecoveryDue& event);
  void Handle(Time now, const PlacementDue& event);

  // Commands.
  CommandHeader MakeHeader(WorkerSlot slot);
  template <typename Command>
  CommandId Send(Time now, WorkerSlot slot, Command command);
  void Contact(Time now, WorkerSlot slot);
  void SendInstall(Time now, WorkerSlot slot);
  void SendRead(Time now, WorkerSlot slot, Duration least_gap);
  void SendStop(Time now, Placement& placement);
  void SendRenewal(Time now, WorkerSlot slot, std::vector<TaskAttempt> forget);
  bool IsResendWorthwhile(const PendingCommand& pending) const;
  void MarkUnreachable(Time now, WorkerSlot slot);
  bool NoteContact(Time now, WorkerSlot slot, std::uint64_t incarnation, WorkerTime worker_time);
  void NoteRestart(Time now, WorkerSlot slot, std::uint64_t incarnation);
  void NoteEpoch(Time now, WorkerSlot slot, Epoch held);
  void OnResult(Time now, WorkerSlot slot, const InstallEpoch& command,
                const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const StartTask& command, const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const StopTask& command, const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const CheckpointTask& command,
                const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const ThrottleTask& command,
                const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const RenewLeases& command, const CommandResult& result);
  void OnResult(Time now, WorkerSlot slot, const ReadState& command, const CommandResult& result);

  // Placements.
  Placement* FindPlacement(WorkerSlot slot, const TaskAttempt& task);
  Placement& AddPlacement(Placement placement);
  void Confirm(Placement& placement, WorkerTime at);
  void SetShare(Placement& placement, WorkerTime at, std::uint32_t permille);
  void EndPlacement(Time now, Placement& placement, TaskEnd end, const std::string& checkpoint);
  void StopPlacement(Time now, Placement& placement);
  void RecordOutcome(Time now, ClassIndex job_class, WorkerSlot slot, TaskEnd end);
  void ExpireLeases(Time now, WorkerSlot slot);

  // Reports.
  bool IsStale(const WorkerRecord& worker, const WorkerState& state) const;
  void ApplyRunning(Time now, WorkerSlot slot, const WorkerState& state, const RunningTask& task);
  Placement& Adopt(Time now, WorkerSlot slot, const WorkerState& state, const RunningTask& task);
  void LinkToJob(Time now, Placement& placement, Job& job);
  void ApplyEnded(Time now, WorkerSlot slot, const EndedTask& task);
  std::vector<TaskAttempt> ApplyAllEnded(Time now, WorkerSlot slot, const WorkerState& state);
  bool CanForget(const EndedTask& task);
  void ApplyMissing(Time now, WorkerSlot slot, const WorkerState& state);
  void LearnUsage(Time now, Placement& placement, const RunningTask& task);
  void LearnServices(Time now, WorkerSlot slot, const WorkerState& state);
  void SumUsage(WorkerSlot slot);

  // Starts.
  void Schedule(Time now);
  bool ScheduleSet(Time now, const JobSet& jobs);
  bool TryJob(Time now, Job& job, std::size_t position);
  void AskForRoom(Time now, Job& job);
  std::optional<WorkerSlot> ChooseWorker(Time now, const Job& job);
  bool IsSuitable(Time now, const Job& job, WorkerSlot slot) const;
  void StartOn(Time now, Job& job, WorkerSlot slot);
  void ArmPlacement(Time at);
  void RoomGrew(Time now, WorkerSlot slot);

  // Relief and preemption.
  void Relieve(Time now, WorkerSlot slot);
  void Throttle(Time now, Placement& placement, std::uint32_t permille);
  void Evict(Time now, Placement& placement, Duration timeout);
  void MakeRoom(Time now, Job& job);
  std::vector<Placement*> PlanRoom(const Job& job, WorkerSlot slot);
  void Reserve(Time now, const Job& job, WorkerSlot slot);
  void ReleaseReservation(Time now, WorkerSlot slot);
  void ReleaseReservations(Time now, const JobId& job);
  void CheckReservations(Time now);
  void RelieveStarvation(Time now);

  CellOptions options_;
  Random random_;
  Counters counters_;
  std::vector<CellEffect> effects_;
  TimerQueue<Event> timers_;

  std::optional<Epoch> epoch_;
  Time authority_until_;
  bool is_recovering_ = false;
  Time old_leases_end_;
  std::size_t unvisited_ = 0;

  std::vector<std::unique_ptr<WorkerRecord>> workers_;
  std::unordered_map<WorkerId, WorkerSlot> slots_;
  Interner<RackId> racks_;
  Interner<DomainId> domains_;
  Interner<JobClass> classes_;
  Interner<ServiceId> services_;

  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
  std::unordered_map<CustomerId, std::set<JobId>> jobs_by_customer_;
  std::unordered_set<JobId> closed_jobs_;
  std::deque<JobId> closed_order_;
  std::set<CustomerId> retired_;
  std::unordered_map<CustomerId, std::uint64_t> customer_tasks_;
  std::multimap<JobId, Placement*> foreign_;  // Placements of jobs that are not admitted.

  WorkerLedger ledger_;
  JobQueue queue_;
  UsageModel usage_;
  InterferenceModel interference_;
  FailureMatrix failures_;
  PlacementRanker ranker_;
  ReliefPolicy relief_;
  EvictionBudget budget_;
  CommandTable commands_;

  std::unordered_map<JobId, std::set<WorkerSlot>> reservations_;
  JobId starving_job_;
  std::optional<Time> placement_due_;
};

// Returns an empty id, and sends nothing, without authority.
template <typename Command>
CommandId CellScheduler::Impl::Send(Time now, WorkerSlot slot, Command command) {
  if (!CanCommand(now)) {
    return {};
  }
  command.header = MakeHeader(slot);
  commands_.Add({command, slot, 1});
  CommandId id = command.header.id;
  effects_.emplace_back(std::move(command));
  return id;
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_CELL_SCHEDULER_IMPL_H_
