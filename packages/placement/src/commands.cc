#include <algorithm>
#include <chrono>
#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {
namespace {

constexpr Duration kMaxResendDelay = std::chrono::seconds(4);
constexpr Duration kContactRetryDelay = std::chrono::seconds(1);
// After this number of sends the throttle is left to the next mitigation decision.
constexpr std::uint32_t kMaxThrottleSends = 3;
constexpr std::uint32_t kFullRatePermille = 1000;

WorkerTime AddDuration(WorkerTime time, Duration duration) {
  return {time.ms + ToMilliseconds(duration)};
}

// Returns the attempt that the command names, or null.
const TaskAttempt* TaskOf(const WorkerCommand& command) {
  return std::visit(
      [](const auto& any) -> const TaskAttempt* {
        if constexpr (requires { any.task.attempt; }) {
          return &any.task;
        } else {
          return nullptr;
        }
      },
      command);
}

CommandHeader& MutableHeader(WorkerCommand& command) {
  return std::visit([](auto& any) -> CommandHeader& { return any.header; }, command);
}

}  // namespace

CommandHeader CellScheduler::Impl::MakeHeader(WorkerSlot slot) {
  const WorkerRecord& worker = *workers_[slot];
  const Time valid_until = options_.protections.require_authority ? authority_until_ : Time::max();
  return {commands_.NextId(), *epoch_, worker.incarnation, worker.spec.id, valid_until};
}

void CellScheduler::Impl::PollWorker(Time now, WorkerSlot slot) {
  if (workers_[slot]->is_epoch_installed) {
    SendReadState(now, slot, options_.report_period);
  } else {
    SendInstallEpoch(now, slot);
  }
}

void CellScheduler::Impl::SendInstallEpoch(Time now, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  if (commands_.Find(worker.install_id) == nullptr ||
      now >= worker.last_poll_at + kContactRetryDelay) {
    commands_.Extract(worker.install_id);
    worker.install_id = Send(now, slot, InstallEpoch{});
    worker.last_poll_at = now;
  }
}

void CellScheduler::Impl::SendReadState(Time now, WorkerSlot slot, Duration min_interval) {
  WorkerRecord& worker = *workers_[slot];
  if (!worker.is_epoch_installed) {
    return;
  }
  const bool is_outstanding = commands_.Find(worker.read_id) != nullptr;
  if (is_outstanding && now < worker.last_poll_at + min_interval) {
    return;
  }
  if (is_outstanding) {
    commands_.Extract(worker.read_id);
    if (now >= worker.last_poll_at + options_.report_period) {
      MarkUnreachable(now, slot);
    }
  }
  worker.read_id = Send(now, slot, ReadState{});
  worker.last_poll_at = now;
}

void CellScheduler::Impl::SendStop(Time now, Placement& placement) {
  const WorkerRecord& worker = *workers_[placement.slot];
  // A restarted worker has no record of the attempt, which ends with its lease at the latest.
  if (!worker.is_epoch_installed || worker.incarnation != placement.incarnation ||
      commands_.Find(placement.stop_id) != nullptr) {
    return;
  }
  placement.stop_id = Send(now, placement.slot, StopTask{{}, placement.id});
}

void CellScheduler::Impl::SendLeaseRenewal(Time now, WorkerSlot slot,
                                           std::vector<TaskAttempt> forget) {
  WorkerRecord& worker = *workers_[slot];
  cactusshelf::RenewLeases command;
  command.lease_until = AddDuration(worker.clock_reading, options_.task_lease);
  command.forget = std::move(forget);
  const Time bound = worker.clock_received_at + LeaseWithMargin();
  if (!CanCommand(now)) {
    return;
  }
  for (auto& [id, placement] : worker.placements) {
    const bool is_known = placement.phase == PlacementPhase::kRunning ||
                          placement.phase == PlacementPhase::kCheckpointing;
    if (is_known && placement.incarnation == worker.incarnation) {
      command.tasks.push_back(id);
      placement.lease_bound = std::max(placement.lease_bound, bound);
    }
  }
  if (!command.tasks.empty() || !command.forget.empty()) {
    Send(now, slot, std::move(command));
  }
}

void CellScheduler::Impl::Handle(Time now, const ResendDue& event) {
  PendingCommand* const pending = commands_.Find(event.id);
  if (pending == nullptr) {
    return;
  }
  if (!ShouldResend(*pending)) {
    commands_.Extract(event.id);
    return;
  }
  if (!CanCommand(now)) {
    timers_.Add(now + options_.resend_delay, event);
    return;
  }
  ++pending->sends;
  MutableHeader(pending->command).valid_until = MakeHeader(pending->slot).valid_until;
  std::visit([&](const auto& command) { effects_.emplace_back(command); }, pending->command);
  counters_.Add("cactusshelf_placement_commands_total", "resent");
}

bool CellScheduler::Impl::ShouldResend(const PendingCommand& pending) const {
  const WorkerRecord& worker = *workers_[pending.slot];
  if (HeaderOf(pending.command).incarnation != worker.incarnation || !worker.is_epoch_installed) {
    return false;
  }
  const TaskAttempt* const task = TaskOf(pending.command);
  const auto it = task == nullptr ? worker.placements.end() : worker.placements.find(*task);
  if (it == worker.placements.end()) {
    return false;
  }
  if (std::holds_alternative<StartTask>(pending.command)) {
    return it->second.phase == PlacementPhase::kStarting;
  }
  if (std::holds_alternative<ThrottleTask>(pending.command)) {
    return pending.sends < kMaxThrottleSends;
  }
  return std::holds_alternative<StopTask>(pending.command);
}

void CellScheduler::Impl::OnCommandLost(Time now, const CommandId& id) {
  PendingCommand* const pending = commands_.Find(id);
  if (pending == nullptr) {
    return;
  }
  counters_.Add("cactusshelf_placement_commands_total", "lost");
  const WorkerSlot slot = pending->slot;
  MarkUnreachable(now, slot);
  if (const auto* start = std::get_if<StartTask>(&pending->command);
      start != nullptr && !options_.protections.count_unconfirmed_starts) {
    if (Placement* const placement = FindPlacement(slot, start->task)) {
      EndPlacement(now, *placement, TaskEnd::kLeaseExpired, placement->checkpoint);
    }
    Schedule(now);
    return;
  }
  if (ShouldResend(*pending)) {
    const Duration delay =
        options_.resend_delay * (1U << std::min<std::uint32_t>(pending->sends - 1, 8));
    timers_.Add(now + std::min(delay, kMaxResendDelay), ResendDue{id});
  } else {
    commands_.Extract(id);
  }
}

void CellScheduler::Impl::MarkUnreachable(Time now, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  if (worker.is_reachable) {
    worker.is_reachable = false;
    UpdateSchedulable(now, slot);
  }
  timers_.Add(now + kContactRetryDelay, PollDue{slot});
}

void CellScheduler::Impl::OnCommandResult(Time now, const CommandId& id,
                                          const CommandResult& result) {
  const std::optional<PendingCommand> pending = commands_.Extract(id);
  if (!pending.has_value()) {
    counters_.Add("cactusshelf_placement_commands_total", "late_result");
    return;
  }
  const WorkerSlot slot = pending->slot;
  if (!RecordContact(now, slot, result.incarnation, result.worker_time)) {
    return;
  }
  WorkerRecord& worker = *workers_[slot];
  worker.last_result = std::max(worker.last_result, result.worker_time);
  if (result.status == CommandStatus::kWrongEpoch) {
    HandleWrongEpoch(now, slot, result.epoch_held);
  }
  std::visit([&](const auto& command) { OnResult(now, slot, command, result); }, pending->command);
  Schedule(now);
}

// Updates the clock reading of the worker and detects restarts. Returns false if the message is
// from an earlier incarnation.
bool CellScheduler::Impl::RecordContact(Time now, WorkerSlot slot, std::uint64_t incarnation,
                                        WorkerTime worker_time) {
  WorkerRecord& worker = *workers_[slot];
  if (incarnation < worker.incarnation) {
    counters_.Add("cactusshelf_placement_reports_total", "earlier_incarnation");
    return false;
  }
  if (incarnation > worker.incarnation) {
    HandleWorkerRestart(now, slot, incarnation);
  }
  if (worker_time >= worker.clock_reading) {
    worker.clock_reading = worker_time;
    worker.clock_received_at = now;
  }
  return true;
}

void CellScheduler::Impl::HandleWorkerRestart(Time now, WorkerSlot slot,
                                              std::uint64_t incarnation) {
  WorkerRecord& worker = *workers_[slot];
  if (worker.incarnation != 0) {
    counters_.Add("cactusshelf_placement_reports_total", "worker_restarted");
  }
  worker.incarnation = incarnation;
  worker.is_epoch_installed = false;
  worker.clock_reading = {};
  worker.last_result = {};
  worker.last_report = {};
  worker.history.Clear();
  for (auto& [id, placement] : worker.placements) {
    placement.is_in_history = false;
  }
  for (ServiceStatus& service : worker.services) {
    service.measured_at = {};
    service.consecutive_slow_reports = 0;
  }
  UpdateSchedulable(now, slot);
  if (commands_.Find(worker.install_id) == nullptr) {
    SendInstallEpoch(now, slot);
  }
}

void CellScheduler::Impl::HandleWrongEpoch(Time now, WorkerSlot slot, Epoch held) {
  WorkerRecord& worker = *workers_[slot];
  worker.is_epoch_installed = false;
  UpdateSchedulable(now, slot);
  if (held > *epoch_) {
    counters_.Add("cactusshelf_placement_reports_total", "superseded");
    return;
  }
  SendInstallEpoch(now, slot);
}

void CellScheduler::Impl::OnResult(Time now, WorkerSlot slot, const InstallEpoch&,
                                   const CommandResult& result) {
  WorkerRecord& worker = *workers_[slot];
  if (result.status == CommandStatus::kDone && result.epoch_held == *epoch_) {
    worker.is_epoch_installed = true;
    SendReadState(now, slot, Duration::zero());
  }
}

void CellScheduler::Impl::OnResult(Time now, WorkerSlot slot, const StartTask& command,
                                   const CommandResult& result) {
  Placement* const placement = FindPlacement(slot, command.task);
  if (placement == nullptr) {
    return;
  }
  switch (result.status) {
    case CommandStatus::kDone:
      counters_.Add("cactusshelf_placement_starts_total", "confirmed");
      ConfirmPlacement(*placement, result.worker_time);
      return;
    case CommandStatus::kAttemptUsed:
    case CommandStatus::kUnknownTask:
      // The next report shows whether the attempt ran.
      placement->confirmed_at = std::max(placement->confirmed_at, result.worker_time);
      placement->phase = placement->phase == PlacementPhase::kStarting ? PlacementPhase::kRunning
                                                                       : placement->phase;
      SendReadState(now, slot, Duration::zero());
      return;
    case CommandStatus::kWrongIncarnation:
      // An earlier copy of the command may have reached the incarnation that it names. The attempt
      // then ends with its lease at the latest.
      counters_.Add("cactusshelf_placement_starts_total", "worker_restarted");
      return;
    case CommandStatus::kWrongEpoch:
    case CommandStatus::kExpired:
    case CommandStatus::kNoCapacity:
      // The worker stores the first result of an id, so no copy of this start was or will be
      // executed.
      counters_.Add("cactusshelf_placement_starts_total", "refused");
      EndPlacement(now, *placement, TaskEnd::kLeaseExpired, placement->checkpoint);
      SendReadState(now, slot, Duration::zero());
      return;
  }
}

void CellScheduler::Impl::OnResult(Time now, WorkerSlot slot, const StopTask& command,
                                   const CommandResult& result) {
  Placement* const placement = FindPlacement(slot, command.task);
  if (placement == nullptr) {
    return;
  }
  if (result.status == CommandStatus::kDone) {
    EndPlacement(now, *placement, TaskEnd::kStopped, placement->checkpoint);
  } else if (result.status == CommandStatus::kUnknownTask) {
    // The task ended before the stop. The report states how it ended.
    placement->confirmed_at = std::max(placement->confirmed_at, result.worker_time);
    SendReadState(now, slot, Duration::zero());
  }
}

void CellScheduler::Impl::OnResult(Time now, WorkerSlot slot, const CheckpointTask&,
                                   const CommandResult& result) {
  if (result.status == CommandStatus::kDone || result.status == CommandStatus::kUnknownTask) {
    SendReadState(now, slot, Duration::zero());
  }
}

void CellScheduler::Impl::OnResult(Time, WorkerSlot slot, const ThrottleTask& command,
                                   const CommandResult& result) {
  Placement* const placement = FindPlacement(slot, command.task);
  if (placement != nullptr && result.status == CommandStatus::kDone) {
    SetRatePermille(*placement, result.worker_time, command.permille);
  }
}

void CellScheduler::Impl::OnResult(Time, WorkerSlot, const cactusshelf::RenewLeases&,
                                   const CommandResult&) {}

// ReadState is answered by a report. A result is a refusal, which OnCommandResult has handled.
void CellScheduler::Impl::OnResult(Time, WorkerSlot, const ReadState&, const CommandResult&) {}

// Placements.

Placement* CellScheduler::Impl::FindPlacement(WorkerSlot slot, const TaskAttempt& task) {
  auto& placements = workers_[slot]->placements;
  const auto it = placements.find(task);
  return it == placements.end() ? nullptr : &it->second;
}

Placement& CellScheduler::Impl::AddPlacement(Placement placement) {
  WorkerRecord& worker = *workers_[placement.slot];
  ledger_.Commit(placement.slot, placement.size);
  ++task_counts_by_customer_[placement.customer];
  worker.usage += usage_.ExpectedUsage(placement.job_class, placement.size);
  TaskAttempt id = placement.id;
  return worker.placements.insert_or_assign(std::move(id), std::move(placement)).first->second;
}

void CellScheduler::Impl::ConfirmPlacement(Placement& placement, WorkerTime at) {
  placement.confirmed_at = std::max(placement.confirmed_at, at);
  if (placement.phase == PlacementPhase::kStarting) {
    placement.phase = PlacementPhase::kRunning;
  }
  WorkerRecord& worker = *workers_[placement.slot];
  if (!placement.is_in_history && placement.incarnation == worker.incarnation) {
    placement.is_in_history = true;
    worker.history.Add(at, placement.job_class,
                       static_cast<double>(placement.rate_permille) / kFullRatePermille);
  }
}

void CellScheduler::Impl::SetRatePermille(Placement& placement, WorkerTime at,
                                          std::uint32_t permille) {
  const double delta =
      (static_cast<double>(permille) - static_cast<double>(placement.rate_permille)) /
      kFullRatePermille;
  placement.rate_permille = permille;
  if (placement.is_in_history && delta != 0) {
    workers_[placement.slot]->history.Add(at, placement.job_class, delta);
  }
}

void CellScheduler::Impl::EndPlacement(Time now, Placement& placement, TaskEnd end,
                                       const std::string& checkpoint) {
  const WorkerSlot slot = placement.slot;
  WorkerRecord& worker = *workers_[slot];
  ledger_.Release(slot, placement.size);
  if (!placement.team.empty()) {
    queue_.RefundQuota(placement.team, placement.size);
  }
  if (const auto it = task_counts_by_customer_.find(placement.customer); --it->second == 0) {
    task_counts_by_customer_.erase(it);
  }
  if (placement.is_in_history) {
    worker.history.Add(worker.clock_reading, placement.job_class,
                       -static_cast<double>(placement.rate_permille) / kFullRatePermille);
  }
  commands_.Extract(placement.stop_id);
  if (Job* const job = placement.job) {
    Task& task = job->tasks[placement.task_index];
    task.placement = nullptr;
    if (options_.protections.keep_checkpoints && !checkpoint.empty()) {
      task.checkpoint = checkpoint;
    }
    if (--job->tasks_by_rack[placement.rack] == 0) {
      job->tasks_by_rack.erase(placement.rack);
    }
    if (--job->tasks_by_domain[placement.domain] == 0) {
      job->tasks_by_domain.erase(placement.domain);
    }
    if (end == TaskEnd::kFinished) {
      FinishTask(now, *job, placement.task_index);
    } else if (!task.is_finished) {
      job->waiting_tasks.push_back(placement.task_index);
      queue_.Add(*job);
    }
  } else {
    const std::string& text = placement.id.task.str();
    const auto [first, last] =
        unadmitted_placements_.equal_range(JobId(text.substr(0, text.rfind('/'))));
    const auto it =
        std::find_if(first, last, [&](const auto& item) { return item.second == &placement; });
    if (it != last) {
      unadmitted_placements_.erase(it);
    }
  }
  const ClassIndex job_class = placement.job_class;
  const bool had_run = placement.is_in_history;
  const TaskAttempt id = placement.id;
  worker.placements.erase(id);
  UpdateWorkerUsage(slot);
  if (had_run || end == TaskEnd::kFinished || end == TaskEnd::kFailed) {
    RecordOutcome(now, job_class, slot, end);
  }
  OnCapacityFreed(now, slot);
}

void CellScheduler::Impl::RecordOutcome(Time now, ClassIndex job_class, WorkerSlot slot,
                                        TaskEnd end) {
  if (end == TaskEnd::kFailed) {
    counters_.Add("cactusshelf_placement_ends_total", "failed");
    const bool was_class_quarantined = failures_.IsClassQuarantined(job_class);
    const bool was_worker_quarantined = failures_.IsWorkerQuarantined(slot);
    failures_.AddFailure(now, job_class, slot);
    if (failures_.IsClassQuarantined(job_class)) {
      counters_.Add("cactusshelf_placement_quarantines_total", "class",
                    was_class_quarantined ? 0 : 1);
      timers_.Add(failures_.ClassProbeAt(job_class), ClassProbeDue{job_class});
    }
    if (failures_.IsWorkerQuarantined(slot)) {
      counters_.Add("cactusshelf_placement_quarantines_total", "worker",
                    was_worker_quarantined ? 0 : 1);
      timers_.Add(failures_.WorkerProbeAt(slot), WorkerProbeDue{slot});
      UpdateSchedulable(now, slot);
    }
  } else if (end == TaskEnd::kFinished) {
    counters_.Add("cactusshelf_placement_ends_total", "finished");
    const bool was_class_quarantined = failures_.IsClassQuarantined(job_class);
    failures_.AddSuccess(job_class, slot);
    UpdateSchedulable(now, slot);
    if (was_class_quarantined) {
      queue_.ReleaseClass(job_class);
    }
  }
}

void CellScheduler::Impl::StopPlacement(Time now, Placement& placement) {
  if (placement.phase != PlacementPhase::kStopping) {
    placement.phase = PlacementPhase::kStopping;
  }
  SendStop(now, placement);
  if (!options_.protections.confirm_stop_before_move && placement.job != nullptr) {
    EndPlacement(now, placement, TaskEnd::kStopped, placement.checkpoint);
  }
}

void CellScheduler::Impl::ExpireLeases(Time now, WorkerSlot slot) {
  std::vector<Placement*> expired;
  for (auto& [id, placement] : workers_[slot]->placements) {
    if (now >= placement.lease_bound) {
      expired.push_back(&placement);
    }
  }
  for (Placement* placement : expired) {
    counters_.Add("cactusshelf_placement_ends_total", "lease_expired");
    EndPlacement(now, *placement, TaskEnd::kLeaseExpired, placement->checkpoint);
  }
  if (!expired.empty()) {
    Schedule(now);
  }
}

}  // namespace cactusshelf
