#include <algorithm>
#include <chrono>
#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRatePermille = 1000;
// A measurement of a service covers about this time before it was taken. Ends of tasks are recorded
// with a delay, so changes shortly after the measurement are counted as well.
constexpr std::int64_t kMeasurementWindowMs = 5000;
constexpr std::int64_t kLateChangeWindowMs = 2500;

std::vector<const TaskAttempt*> ReportedAttempts(const WorkerState& state) {
  std::vector<const TaskAttempt*> attempts;
  attempts.reserve(state.running.size() + state.ended.size());
  for (const RunningTask& task : state.running) {
    attempts.push_back(&task.task);
  }
  for (const EndedTask& task : state.ended) {
    attempts.push_back(&task.task);
  }
  std::sort(attempts.begin(), attempts.end(),
            [](const TaskAttempt* left, const TaskAttempt* right) { return *left < *right; });
  return attempts;
}

bool Contains(const std::vector<const TaskAttempt*>& attempts, const TaskAttempt& task) {
  const auto it = std::lower_bound(
      attempts.begin(), attempts.end(), task,
      [](const TaskAttempt* left, const TaskAttempt& right) { return *left < right; });
  return it != attempts.end() && **it == task;
}

}  // namespace

void CellScheduler::Impl::OnWorkerState(Time now, const WorkerId& id, const WorkerState& state) {
  const auto it = slots_.find(id);
  if (!epoch_.has_value() || it == slots_.end()) {
    return;
  }
  const WorkerSlot slot = it->second;
  WorkerRecord& worker = *workers_[slot];
  commands_.Extract(worker.read_id);
  if (!RecordContact(now, slot, state.incarnation, state.worker_time)) {
    return;
  }
  if (IsStale(worker, state)) {
    counters_.Add("cactusshelf_placement_reports_total", "stale");
    SendReadState(now, slot, Duration::zero());
    return;
  }
  if (state.epoch_held != *epoch_) {
    HandleWrongEpoch(now, slot, state.epoch_held);
    return;
  }
  counters_.Add("cactusshelf_placement_reports_total", "applied");
  worker.is_epoch_installed = true;
  worker.is_reachable = true;
  worker.last_report = state.worker_time;
  for (const RunningTask& task : state.running) {
    ApplyRunningTask(now, slot, state, task);
  }
  std::vector<TaskAttempt> forget = ApplyEndedTasks(now, slot, state);
  EndMissingPlacements(now, slot, state);
  UpdateWorkerUsage(slot);
  LearnServiceLatencies(now, slot, state);
  if (!worker.is_visited) {
    worker.is_visited = true;
    unvisited_count_ -= is_recovering_ ? 1 : 0;
  }
  SendLeaseRenewal(now, slot, std::move(forget));
  ApplyMitigation(now, slot);
  UpdateSchedulable(now, slot);
  OnCapacityFreed(now, slot);
  EndRecoveryIfComplete(now);
  Schedule(now);
}

bool CellScheduler::Impl::IsStale(const WorkerRecord& worker, const WorkerState& state) const {
  return options_.protections.drop_stale_states &&
         (state.worker_time < worker.last_result || state.worker_time < worker.last_report);
}

void CellScheduler::Impl::ApplyRunningTask(Time now, WorkerSlot slot, const WorkerState& state,
                                           const RunningTask& task) {
  Placement* placement = FindPlacement(slot, task.task);
  if (placement == nullptr) {
    placement = &AdoptTask(now, slot, state, task);
  }
  if (!task.checkpoint.empty()) {
    placement->checkpoint = task.checkpoint;
  }
  placement->incarnation = state.incarnation;
  ConfirmPlacement(*placement, state.worker_time);
  if (task.phase == TaskPhase::kThrottled && placement->rate_permille == kFullRatePermille) {
    SetRatePermille(*placement, state.worker_time, options_.throttle_permille);
    placement->throttled_at = now;
  }
  LearnUsage(now, *placement, task);
  if (placement->phase == PlacementPhase::kCheckpointing &&
      placement->checkpoint != placement->previous_checkpoint) {
    StopPlacement(now, *placement);
    return;
  }
  const bool is_unwanted = placement->job == nullptr &&
                           (!is_recovering_ || retired_customers_.contains(placement->customer));
  if (is_unwanted || placement->phase == PlacementPhase::kStopping) {
    StopPlacement(now, *placement);
  }
}

// Adds a placement for a task that an earlier owner started.
Placement& CellScheduler::Impl::AdoptTask(Time now, WorkerSlot slot, const WorkerState& state,
                                          const RunningTask& task) {
  const WorkerRecord& worker = *workers_[slot];
  Placement adopted;
  adopted.id = task.task;
  adopted.slot = slot;
  adopted.rack = worker.rack;
  adopted.domain = worker.domain;
  adopted.job_class = classes_.IndexOf(task.job_class);
  adopted.customer = task.customer;
  adopted.size = task.size;
  adopted.phase = PlacementPhase::kRunning;
  adopted.incarnation = state.incarnation;
  // All leases of the task were counted from earlier readings of the worker's clock than this one.
  adopted.lease_bound = now + LeaseWithMargin();
  adopted.started_at = now;
  counters_.Add("cactusshelf_placement_starts_total", "adopted");
  std::uint32_t index = 0;
  Job* const job = FindJob(task.task.task, index);
  adopted.task_index = index;
  Placement& placement = AddPlacement(std::move(adopted));
  const std::string& text = task.task.task.str();
  unadmitted_placements_.emplace(JobId(text.substr(0, text.rfind('/'))), &placement);
  if (job != nullptr && !job->tasks[index].is_finished && job->tasks[index].placement == nullptr &&
      job->tasks[index].last_attempt <= task.task.attempt) {
    LinkToJob(now, placement, *job);
  }
  return placement;
}

// Precondition: the placement is in unadmitted_placements_ and its task has no placement.
void CellScheduler::Impl::LinkToJob(Time, Placement& placement, Job& job) {
  const auto [first, last] = unadmitted_placements_.equal_range(job.spec.id);
  unadmitted_placements_.erase(
      std::find_if(first, last, [&](const auto& item) { return item.second == &placement; }));
  placement.job = &job;
  if (placement.team.empty()) {
    placement.team = job.spec.team;
    queue_.ChargeQuota(placement.team, placement.size);
  }
  Task& task = job.tasks[placement.task_index];
  task.placement = &placement;
  task.last_attempt = std::max(task.last_attempt, placement.id.attempt);
  ++job.tasks_by_rack[placement.rack];
  ++job.tasks_by_domain[placement.domain];
  std::erase(job.waiting_tasks, placement.task_index);
  if (job.waiting_tasks.empty()) {
    queue_.Remove(job);
  }
}

std::vector<TaskAttempt> CellScheduler::Impl::ApplyEndedTasks(Time now, WorkerSlot slot,
                                                              const WorkerState& state) {
  std::vector<TaskAttempt> forget;
  for (const EndedTask& task : state.ended) {
    ApplyEndedTask(now, slot, task);
    if (CanDropEndRecord(task)) {
      forget.push_back(task.task);
    }
  }
  return forget;
}

void CellScheduler::Impl::ApplyEndedTask(Time now, WorkerSlot slot, const EndedTask& ended) {
  if (Placement* const placement = FindPlacement(slot, ended.task)) {
    const std::string checkpoint = ended.checkpoint;
    EndPlacement(now, *placement, ended.end, checkpoint);
    return;
  }
  std::uint32_t index = 0;
  Job* const job = FindJob(ended.task.task, index);
  if (job == nullptr || job->tasks[index].is_finished) {
    return;
  }
  Task& task = job->tasks[index];
  if (ended.end == TaskEnd::kFinished) {
    FinishTask(now, *job, index);
  } else if (task.placement == nullptr && ended.task.attempt >= task.last_attempt) {
    task.last_attempt = ended.task.attempt;
    if (options_.protections.keep_checkpoints && !ended.checkpoint.empty()) {
      task.checkpoint = ended.checkpoint;
    }
  }
}

// The next owner needs the record of an ended task: for a finished task until the job is closed,
// for any other end until a later attempt is confirmed.
bool CellScheduler::Impl::CanDropEndRecord(const EndedTask& ended) {
  std::uint32_t index = 0;
  const Job* const job = FindJob(ended.task.task, index);
  if (job == nullptr) {
    return !is_recovering_;
  }
  const Task& task = job->tasks[index];
  if (task.is_finished) {
    return ended.end != TaskEnd::kFinished;
  }
  return task.placement != nullptr && task.placement->phase == PlacementPhase::kRunning &&
         task.placement->id.attempt > ended.task.attempt;
}

// Ends the placements that are missing from the report and cannot run any more.
void CellScheduler::Impl::EndMissingPlacements(Time now, WorkerSlot slot,
                                               const WorkerState& state) {
  const std::vector<const TaskAttempt*> reported = ReportedAttempts(state);
  std::vector<Placement*> missing;
  for (auto& [id, placement] : workers_[slot]->placements) {
    if (placement.incarnation != state.incarnation || Contains(reported, id)) {
      continue;
    }
    const bool is_confirmed = placement.confirmed_at != WorkerTime{};
    const bool is_known_missing = is_confirmed
                                      ? state.worker_time > placement.confirmed_at
                                      // The start may still be in transit until its lease expires.
                                      : state.worker_time >= placement.lease_until;
    if (is_known_missing || !options_.protections.drop_stale_states) {
      missing.push_back(&placement);
    }
  }
  for (Placement* placement : missing) {
    counters_.Add("cactusshelf_placement_ends_total", "missing");
    EndPlacement(now, *placement, TaskEnd::kLeaseExpired, placement->checkpoint);
  }
}

void CellScheduler::Impl::LearnUsage(Time now, Placement& placement, const RunningTask& task) {
  if (task.measured_at <= placement.usage_measured_at) {
    return;
  }
  placement.usage_measured_at = task.measured_at;
  placement.usage = task.usage;
  // The usage of a throttled task reflects the limit rather than its demand.
  if (placement.rate_permille == kFullRatePermille) {
    usage_.Learn(now, placement.job_class, placement.size, task.usage);
  }
}

void CellScheduler::Impl::LearnServiceLatencies(Time now, WorkerSlot slot,
                                                const WorkerState& state) {
  WorkerRecord& worker = *workers_[slot];
  for (const ServiceMeasurement& measured : state.services) {
    const ServiceIndex service = services_.IndexOf(measured.service);
    const auto status =
        std::find_if(worker.services.begin(), worker.services.end(),
                     [&](const ServiceStatus& known) { return known.service == service; });
    if (status == worker.services.end() || measured.measured_at <= status->measured_at) {
      continue;
    }
    const WorkerTime at = measured.measured_at;
    status->measured_at = at;
    status->load = static_cast<double>(measured.requests_per_second) / status->endpoints;
    const std::size_t changes = worker.history.ChangesBetween({at.ms - kMeasurementWindowMs},
                                                              {at.ms + kLateChangeWindowMs});
    interference_.Learn(now, service, status->load, measured.p99, worker.history.SharesAt(at),
                        changes);
    status->slowdown = interference_.Slowdown(service, status->load, measured.p99);
    status->consecutive_slow_reports = status->slowdown > mitigation_policy_.start_slowdown()
                                           ? status->consecutive_slow_reports + 1
                                           : 0;
  }
}

void CellScheduler::Impl::UpdateWorkerUsage(WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  worker.usage = {};
  for (const auto& [id, placement] : worker.placements) {
    worker.usage += placement.usage_measured_at == WorkerTime{}
                        ? usage_.ExpectedUsage(placement.job_class, placement.size)
                        : placement.usage;
  }
}

}  // namespace cactusshelf
