#include <algorithm>
#include <chrono>
#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {
namespace {

// Bound the work per input. A timer continues with the remaining jobs, so that other inputs are
// handled in between.
constexpr std::size_t kMaxJobsPerRound = 256;
constexpr std::size_t kMaxStartsPerJob = 256;
// Maximum number of urgent jobs that preempt tasks at a time. Further urgent jobs are blocked like
// normal ones, so that rounds do not try them without success.
constexpr std::size_t kMaxPreemptingJobs = 64;
constexpr Duration kNextRoundDelay = std::chrono::milliseconds(1);
// Waiting jobs are tried again after this time even if no capacity was freed, since the models and
// the waiting times change.
constexpr Duration kPlacementRetryDelay = std::chrono::seconds(1);
// Time for the reports that precede a preemption. Leaves enough of the 2 s within which urgent work
// must start to take checkpoints.
constexpr Duration kReportWait = std::chrono::milliseconds(300);
constexpr std::size_t kMaxRequestedReports = 48;

}  // namespace

void CellScheduler::Impl::Schedule(Time now) {
  if (!CanPlace(now)) {
    return;
  }
  const bool is_complete = ScheduleJobs(now, queue_.urgent()) && ScheduleJobs(now, queue_.normal());
  if (!is_complete) {
    ArmPlacementTimer(now + kNextRoundDelay);
  } else if (queue_.size() > 0) {
    ArmPlacementTimer(now + kPlacementRetryDelay);
  }
}

// Returns false if the limit was reached before all jobs were tried.
bool CellScheduler::Impl::ScheduleJobs(Time now, const JobSet& jobs) {
  std::size_t tried = 0;
  auto it = jobs.begin();
  while (it != jobs.end()) {
    if (++tried > kMaxJobsPerRound) {
      return false;
    }
    Job& job = **it;
    ++it;
    if (!StartTasks(now, job, tried - 1)) {
      return false;
    }
  }
  return true;
}

// Starts tasks of the job until none is left or the job is blocked. `position` is the position of
// the job among the ready jobs. Returns false if the limit of starts was reached.
bool CellScheduler::Impl::StartTasks(Time now, Job& job, std::size_t position) {
  std::size_t starts = 0;
  while (!job.waiting_tasks.empty()) {
    const bool is_probe = failures_.IsClassQuarantined(job.job_class);
    if (is_probe && now < failures_.ClassProbeAt(job.job_class)) {
      queue_.BlockByClass(job);
      return true;
    }
    if (!queue_.HasQuota(job)) {
      queue_.BlockByQuota(job);
      return true;
    }
    if (starts == kMaxStartsPerJob) {
      return false;
    }
    const std::optional<WorkerSlot> slot = ChooseWorker(now, job);
    if (!slot.has_value()) {
      if (job.spec.urgent && position < kMaxPreemptingJobs) {
        RefreshReportsOrPreempt(now, job);
      } else {
        queue_.BlockByShape(job);
      }
      return true;
    }
    StartTaskOn(now, job, *slot);
    ++starts;
    if (is_probe) {
      failures_.BeginClassProbe(now, job.job_class);
      timers_.Add(failures_.ClassProbeAt(job.job_class), ClassProbeDue{job.job_class});
    }
  }
  queue_.Remove(job);
  ReleaseReservations(now, job.spec.id);
  queue_.ReleaseNextOfShape(job);
  queue_.ReleaseNextOfTeam(job.spec.team);
  return true;
}

// Requests reports first, since tasks may have ended since the last ones. Preempts tasks for the
// urgent job if it still does not fit after the reports.
void CellScheduler::Impl::RefreshReportsOrPreempt(Time now, Job& job) {
  if (job.reports_requested_at.has_value() && now >= *job.reports_requested_at + kReportWait) {
    PreemptForJob(now, job);
    return;
  }
  if (job.reports_requested_at.has_value() || ledger_.size() == 0) {
    return;
  }
  job.reports_requested_at = now;
  const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
  for (const WorkerSlot slot :
       ledger_.FindWithTotalCapacity(job.spec.size, start, kMaxRequestedReports)) {
    SendReadState(now, slot, options_.report_period);
  }
  ArmPlacementTimer(now + kReportWait);
}

std::optional<WorkerSlot> CellScheduler::Impl::ChooseWorker(Time now, const Job& job) {
  if (const auto it = reservations_.find(job.spec.id); it != reservations_.end()) {
    for (const WorkerSlot slot : it->second) {
      if (IsWorkerUsable(now, slot) && Fits(job.spec.size, ledger_.Free(slot)) &&
          IsSuitable(now, job, slot)) {
        ReleaseReservation(now, slot);
        return slot;
      }
    }
  }
  if (ledger_.size() == 0) {
    return std::nullopt;
  }
  const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
  std::optional<WorkerSlot> best;
  double best_cost = 0;
  for (const WorkerSlot slot :
       ledger_.FindWithFreeCapacity(job.spec.size, start, options_.candidates_per_start)) {
    if (!IsSuitable(now, job, slot)) {
      continue;
    }
    const double cost =
        ranker_.Cost(now, job, *workers_[slot], ledger_.available(slot), ledger_.committed(slot));
    if (!best.has_value() || cost < best_cost) {
      best = slot;
      best_cost = cost;
    }
  }
  return best;
}

bool CellScheduler::Impl::IsSuitable(Time now, const Job& job, WorkerSlot slot) const {
  // The lease of a start is counted from the latest reading of the worker's clock. With an old
  // reading the lease would expire soon after the start.
  const bool is_fresh = now < workers_[slot]->clock_received_at + options_.task_lease / 2;
  return is_fresh && !failures_.IsPairFailing(now, job.job_class, slot);
}

// Precondition: the job has a waiting task that fits on the worker.
void CellScheduler::Impl::StartTaskOn(Time now, Job& job, WorkerSlot slot) {
  const WorkerRecord& worker = *workers_[slot];
  const std::uint32_t index = job.waiting_tasks.back();
  job.waiting_tasks.pop_back();
  Task& task = job.tasks[index];
  task.last_attempt = {*epoch_,
                       task.last_attempt.epoch == *epoch_ ? task.last_attempt.number + 1 : 1};

  Placement placement;
  placement.id = {TaskId(job.spec.id.str() + "/" + std::to_string(index)), task.last_attempt};
  placement.job = &job;
  placement.task_index = index;
  placement.slot = slot;
  placement.rack = worker.rack;
  placement.domain = worker.domain;
  placement.job_class = job.job_class;
  placement.customer = job.spec.customer;
  placement.team = job.spec.team;
  placement.size = job.spec.size;
  placement.incarnation = worker.incarnation;
  placement.lease_bound = worker.clock_received_at + LeaseWithMargin();
  placement.lease_until = {worker.clock_reading.ms + ToMilliseconds(options_.task_lease)};
  placement.started_at = now;
  placement.checkpoint = task.checkpoint;

  StartTask command;
  command.task = placement.id;
  command.job_class = job.spec.job_class;
  command.customer = job.spec.customer;
  command.size = job.spec.size;
  command.checkpoint = task.checkpoint;
  command.lease_until = placement.lease_until;

  queue_.ChargeQuota(job.spec.team, job.spec.size);
  ++job.tasks_by_rack[worker.rack];
  ++job.tasks_by_domain[worker.domain];
  task.placement = &AddPlacement(std::move(placement));
  counters_.Add("cactusshelf_placement_starts_total", "sent");
  Send(now, slot, std::move(command));
  if (failures_.IsWorkerQuarantined(slot)) {
    failures_.BeginWorkerProbe(now, slot);
    timers_.Add(failures_.WorkerProbeAt(slot), WorkerProbeDue{slot});
    UpdateSchedulable(now, slot);
  }
}

// Makes waiting jobs be tried again at `at`, unless an earlier time is set.
void CellScheduler::Impl::ArmPlacementTimer(Time at) {
  if (!placement_due_.has_value() || at < *placement_due_) {
    placement_due_ = at;
    timers_.Add(at, PlacementDue{});
  }
}

void CellScheduler::Impl::OnCapacityFreed(Time, WorkerSlot slot) {
  if (ledger_.is_schedulable(slot)) {
    queue_.ReleaseFitting(ledger_.Free(slot));
  }
}

}  // namespace cactusshelf
