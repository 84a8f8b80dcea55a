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
#include "mitigation_policy.h"
#include "placement_ranker.h"
#include "timer_queue.h"
#include "usage_model.h"
#include "worker_ledger.h"
#include "worker_record.h"

namespace cactusshelf {

// Implementation of CellScheduler. Defined in five files: inputs and ownership
// (cell_scheduler_impl.cc), commands to workers and their results (commands.cc), worker reports
// (reports.cc), starts of tasks (starts.cc), and mitigation of interference and preemption
// (mitigation.cc).
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
  std::optional<Time> NextWakeup() const { return timers_.NextDue(); }
  const Counters& counters() const { return counters_; }
  std::uint64_t CustomerTaskCount(const CustomerId& customer) const;
  bool HasLeftoverTasks(const JobId& job) const { return unadmitted_placements_.contains(job); }
  bool is_recovering() const { return is_recovering_; }
  std::vector<WorkerId> UnvisitedWorkers() const;
  std::uint64_t WaitingJobs() const { return queue_.size(); }
  Resources Committed(const WorkerId& worker) const;

 private:
  struct ReportDue {
    WorkerSlot slot;
  };
  // Polls a worker in addition to its periodic report.
  struct PollDue {
    WorkerSlot slot;
  };
  struct ResendDue {
    CommandId id;
  };
  struct CheckpointTimeout {
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
  using Event = std::variant<ReportDue, PollDue, ResendDue, CheckpointTimeout, ClassProbeDue,
                             WorkerProbeDue, RecoveryDue, PlacementDue>;

  // Ownership.
  bool CanCommand(Time now) const;
  bool CanPlace(Time now) const { return CanCommand(now) && !is_recovering_; }
  void ResetOwnershipState();
  void PollAllWorkers(Time now);
  void EndRecoveryIfComplete(Time now);
  void EndRecovery(Time now);
  Duration LeaseWithMargin() const;

  // Workers.
  void ApplyWorker(Time now, WorkerSpec spec);
  void RemoveWorker(Time now, WorkerSlot slot);
  bool IsWorkerUsable(Time now, WorkerSlot slot) const;
  void UpdateSchedulable(Time now, WorkerSlot slot);
  void RefuseOversizedJobs();

  // Jobs.
  std::optional<JobRefusal> ValidateJob(const JobSpec& spec) const;
  void CloseJob(const JobId& id);
  void LinkUnadmittedPlacements(Job& job);
  Job* FindJob(const TaskId& task, std::uint32_t& index);
  void FinishTask(Time now, Job& job, std::uint32_t index);

  // Timers.
  void Handle(Time now, const ReportDue& event);
  void Handle(Time now, const PollDue& event);
  void Handle(Time now, const ResendDue& event);
  void Handle(Time now, const CheckpointTimeout& event);
  void Handle(Time now, const ClassProbeDue& event);
  void Handle(Time now, const WorkerProbeDue& event);
  void Handle(Time now, const RecoveryDue& event);
  void Handle(Time now, const PlacementDue& event);

  // Commands.
  CommandHeader MakeHeader(WorkerSlot slot);
  template <typename Command>
  CommandId Send(Time now, WorkerSlot slot, Command command);
  void PollWorker(Time now, WorkerSlot slot);
  void SendInstallEpoch(Time now, WorkerSlot slot);
  void SendReadState(Time now, WorkerSlot slot, Duration min_interval);
  void SendStop(Time now, Placement& placement);
  void SendLeaseRenewal(Time now, WorkerSlot slot, std::vector<TaskAttempt> forget);
  bool ShouldResend(const PendingCommand& pending) const;
  void MarkUnreachable(Time now, WorkerSlot slot);
  bool RecordContact(Time now, WorkerSlot slot, std::uint64_t incarnation, WorkerTime worker_time);
  void HandleWorkerRestart(Time now, WorkerSlot slot, std::uint64_t incarnation);
  void HandleWrongEpoch(Time now, WorkerSlot slot, Epoch held);
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
  void ConfirmPlacement(Placement& placement, WorkerTime at);
  void SetRatePermille(Placement& placement, WorkerTime at, std::uint32_t permille);
  void EndPlacement(Time now, Placement& placement, TaskEnd end, const std::string& checkpoint);
  void StopPlacement(Time now, Placement& placement);
  void RecordOutcome(Time now, ClassIndex job_class, WorkerSlot slot, TaskEnd end);
  void ExpireLeases(Time now, WorkerSlot slot);

  // Reports.
  bool IsStale(const WorkerRecord& worker, const WorkerState& state) const;
  void ApplyRunningTask(Time now, WorkerSlot slot, const WorkerState& state,
                        const RunningTask& task);
  Placement& AdoptTask(Time now, WorkerSlot slot, const WorkerState& state,
                       const RunningTask& task);
  void LinkToJob(Time now, Placement& placement, Job& job);
  void ApplyEndedTask(Time now, WorkerSlot slot, const EndedTask& task);
  std::vector<TaskAttempt> ApplyEndedTasks(Time now, WorkerSlot slot, const WorkerState& state);
  bool CanDropEndRecord(const EndedTask& task);
  void EndMissingPlacements(Time now, WorkerSlot slot, const WorkerState& state);
  void LearnUsage(Time now, Placement& placement, const RunningTask& task);
  void LearnServiceLatencies(Time now, WorkerSlot slot, const WorkerState& state);
  void UpdateWorkerUsage(WorkerSlot slot);

  // Starts.
  void Schedule(Time now);
  bool ScheduleJobs(Time now, const JobSet& jobs);
  bool StartTasks(Time now, Job& job, std::size_t position);
  void RefreshReportsOrPreempt(Time now, Job& job);
  std::optional<WorkerSlot> ChooseWorker(Time now, const Job& job);
  bool IsSuitable(Time now, const Job& job, WorkerSlot slot) const;
  void StartTaskOn(Time now, Job& job, WorkerSlot slot);
  void ArmPlacementTimer(Time at);
  void OnCapacityFreed(Time now, WorkerSlot slot);

  // Mitigation and preemption.
  void ApplyMitigation(Time now, WorkerSlot slot);
  void Throttle(Time now, Placement& placement, std::uint32_t permille);
  void Evict(Time now, Placement& placement, Duration timeout);
  void PreemptForJob(Time now, Job& job);
  std::vector<Placement*> SelectVictims(const Job& job, WorkerSlot slot);
  void ReserveWorker(Time now, const Job& job, WorkerSlot slot);
  void ReleaseReservation(Time now, WorkerSlot slot);
  void ReleaseReservations(Time now, const JobId& job);
  void ExpireReservations(Time now);
  void PreventStarvation(Time now);

  CellOptions options_;
  Random random_;
  Counters counters_;
  std::vector<CellEffect> effects_;
  TimerQueue<Event> timers_;

  std::optional<Epoch> epoch_;
  Time authority_until_;
  bool is_recovering_ = false;
  Time old_leases_end_;
  std::size_t unvisited_count_ = 0;

  std::vector<std::unique_ptr<WorkerRecord>> workers_;
  std::unordered_map<WorkerId, WorkerSlot> slots_;
  Interner<RackId> racks_;
  Interner<DomainId> domains_;
  Interner<JobClass> classes_;
  Interner<ServiceId> services_;

  std::unordered_map<JobId, std::unique_ptr<Job>> jobs_;
  std::unordered_map<CustomerId, std::set<JobId>> jobs_by_customer_;
  std::unordered_set<JobId> closed_jobs_;
  std::deque<JobId> closed_jobs_in_order_;
  std::set<CustomerId> retired_customers_;
  std::unordered_map<CustomerId, std::uint64_t> task_counts_by_customer_;
  // Placements of jobs that are cancelled or not admitted.
  std::multimap<JobId, Placement*> unadmitted_placements_;

  WorkerLedger ledger_;
  JobQueue queue_;
  UsageModel usage_;
  InterferenceModel interference_;
  FailureMatrix failures_;
  PlacementRanker ranker_;
  MitigationPolicy mitigation_policy_;
  EvictionBudget eviction_budget_;
  CommandTable commands_;

  std::unordered_map<JobId, std::set<WorkerSlot>> reservations_;
  JobId starving_job_;
  std::optional<Time> placement_due_;
};

// Sends nothing and returns an empty id without authority.
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
