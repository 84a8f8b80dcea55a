#include "cell_scheduler_impl.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <numeric>
#include <utility>

namespace cactusshelf {
namespace {

// Bounds the memory for ids of closed jobs. Covers four days at the target of 26,000 jobs a day.
constexpr std::size_t kMaxClosedJobs = 100000;
constexpr double kWorkersPerEvictionBudget = 100;

Resources BatchCapacity(const WorkerSpec& spec) {
  Resources available = spec.capacity;
  for (const ServiceOnWorker& service : spec.services) {
    available -= service.endpoint_size * service.endpoints;
  }
  return available;
}

}  // namespace

CellScheduler::Impl::Impl(CellOptions options, Random random)
    : options_(options),
      random_(random),
      queue_(options.ageing_step),
      ranker_(options_, usage_, interference_),
      mitigation_policy_(options_, ranker_, interference_) {}

// Ownership.

void CellScheduler::Impl::TakeOwnership(Time now, Epoch epoch, Time old_authority_end) {
  ResetOwnershipState();
  epoch_ = epoch;
  commands_.Reset(epoch);
  old_leases_end_ = std::max(now, old_authority_end + LeaseWithMargin());
  is_recovering_ = options_.protections.wait_for_old_leases;
  unvisited_count_ = slots_.size();
  counters_.Add("cactusshelf_placement_ownership_total", "taken");
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_decommissioned) {
      timers_.Add(now + random_.Between(Duration(1), options_.report_period), ReportDue{slot});
    }
  }
  timers_.Add(old_leases_end_, RecoveryDue{});
  PollAllWorkers(now);
  EndRecoveryIfComplete(now);
}

void CellScheduler::Impl::LoseOwnership() {
  if (epoch_.has_value()) {
    counters_.Add("cactusshelf_placement_ownership_total", "lost");
  }
  ResetOwnershipState();
}

void CellScheduler::Impl::SetAuthority(Time now, Time valid_until) {
  const bool had_authority = CanCommand(now);
  authority_until_ = valid_until;
  if (!had_authority && CanCommand(now)) {
    PollAllWorkers(now);
    Schedule(now);
  }
}

bool CellScheduler::Impl::CanCommand(Time now) const {
  return epoch_.has_value() && (!options_.protections.require_authority || now < authority_until_);
}

void CellScheduler::Impl::ResetOwnershipState() {
  epoch_.reset();
  is_recovering_ = false;
  unvisited_count_ = 0;
  timers_.Clear();
  placement_due_.reset();
  commands_.Reset(0);
  reservations_.clear();
  starving_job_ = {};
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    WorkerRecord& worker = *workers_[slot];
    for (auto& [id, placement] : worker.placements) {
      ledger_.Release(slot, placement.size);
      if (!placement.team.empty()) {
        queue_.RefundQuota(placement.team, placement.size);
      }
    }
    WorkerSpec spec = std::move(worker.spec);
    WorkerRecord fresh;
    fresh.spec = std::move(spec);
    fresh.rack = worker.rack;
    fresh.domain = worker.domain;
    fresh.is_removed = worker.is_removed;
    fresh.is_decommissioned = worker.is_decommissioned;
    fresh.services = std::move(worker.services);
    worker = std::move(fresh);
    ledger_.SetSchedulable(slot, false);
  }
  task_counts_by_customer_.clear();
  unadmitted_placements_.clear();
  for (auto& [id, job] : jobs_) {
    job->tasks_by_rack.clear();
    job->tasks_by_domain.clear();
    job->waiting_tasks.clear();
    job->is_finish_reported = false;
    for (std::uint32_t i = static_cast<std::uint32_t>(job->tasks.size()); i-- > 0;) {
      job->tasks[i].placement = nullptr;
      if (!job->tasks[i].is_finished) {
        job->waiting_tasks.push_back(i);
      }
    }
    if (!job->waiting_tasks.empty()) {
      queue_.Add(*job);
    }
  }
}

void CellScheduler::Impl::PollAllWorkers(Time now) {
  if (!CanCommand(now)) {
    return;
  }
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_decommissioned) {
      PollWorker(now, slot);
    }
  }
}

void CellScheduler::Impl::EndRecoveryIfComplete(Time now) {
  if (epoch_.has_value() && is_recovering_ && (unvisited_count_ == 0 || now >= old_leases_end_)) {
    EndRecovery(now);
  }
}

void CellScheduler::Impl::EndRecovery(Time now) {
  is_recovering_ = false;
  unvisited_count_ = 0;
  std::vector<Placement*> unadmitted;
  for (const auto& [job, placement] : unadmitted_placements_) {
    unadmitted.push_back(placement);
  }
  for (Placement* placement : unadmitted) {
    counters_.Add("cactusshelf_placement_stops_total", "unknown_job");
    StopPlacement(now, *placement);
  }
  for (auto& [id, job] : jobs_) {
    if (job->unfinished_tasks == 0 && !job->is_finish_reported) {
      job->is_finish_reported = true;
      effects_.emplace_back(JobFinished{id});
    }
  }
  Schedule(now);
}

Duration CellScheduler::Impl::LeaseWithMargin() const {
  const auto lease = static_cast<double>(options_.task_lease.count());
  return Duration(static_cast<Duration::rep>(lease * (1 + options_.clock_rate_margin)));
}

// Configuration.

void CellScheduler::Impl::ApplyWorkers(Time now, std::vector<WorkerSpec> workers) {
  std::set<WorkerId> listed_workers;
  for (WorkerSpec& spec : workers) {
    listed_workers.insert(spec.id);
    ApplyWorker(now, std::move(spec));
  }
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_removed && !listed_workers.contains(workers_[slot]->spec.id)) {
      RemoveWorker(now, slot);
    }
  }
  eviction_budget_.SetRate(now, options_.eviction_budget *
                                    static_cast<double>(listed_workers.size()) /
                                    kWorkersPerEvictionBudget);
  RefuseOversizedJobs();
  queue_.ReleaseSomeShapes();
  EndRecoveryIfComplete(now);
  Schedule(now);
}

void CellScheduler::Impl::ApplyWorker(Time now, WorkerSpec spec) {
  const auto [it, is_new] = slots_.try_emplace(spec.id, static_cast<WorkerSlot>(workers_.size()));
  const WorkerSlot slot = it->second;
  if (is_new) {
    workers_.push_back(std::make_unique<WorkerRecord>());
    if (epoch_.has_value()) {
      timers_.Add(now + random_.Between(Duration(1), options_.report_period), ReportDue{slot});
      // Recovery also waits for workers that join while it is in progress.
      unvisited_count_ += is_recovering_ ? 1 : 0;
    }
  }
  WorkerRecord& worker = *workers_[slot];
  if (!is_new && !worker.is_removed && worker.spec == spec) {
    return;
  }
  worker.is_removed = false;
  worker.rack = racks_.IndexOf(spec.rack);
  worker.domain = domains_.IndexOf(spec.domain);
  worker.services.clear();
  for (const ServiceOnWorker& service : spec.services) {
    ServiceStatus status;
    status.service = services_.IndexOf(service.service);
    status.endpoints = service.endpoints;
    worker.services.push_back(status);
  }
  ledger_.SetAvailable(slot, BatchCapacity(spec));
  worker.spec = std::move(spec);
  UpdateSchedulable(now, slot);
  if (is_new && CanCommand(now)) {
    PollWorker(now, slot);
  }
}

void CellScheduler::Impl::RemoveWorker(Time now, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  worker.is_removed = true;
  ledger_.SetAvailable(slot, {});
  UpdateSchedulable(now, slot);
  std::vector<Placement*> all;
  for (auto& [id, placement] : worker.placements) {
    all.push_back(&placement);
  }
  for (Placement* placement : all) {
    if (placement->phase == PlacementPhase::kRunning && placement->job != nullptr) {
      Evict(now, *placement, options_.checkpoint_timeout);
    } else if (placement->phase != PlacementPhase::kCheckpointing) {
      StopPlacement(now, *placement);
    }
  }
}

void CellScheduler::Impl::UpdateSchedulable(Time now, WorkerSlot slot) {
  const WorkerRecord& worker = *workers_[slot];
  const bool is_quarantined =
      failures_.IsWorkerQuarantined(slot) && now < failures_.WorkerProbeAt(slot);
  ledger_.SetSchedulable(
      slot, IsWorkerUsable(now, slot) && worker.reserved_for.empty() && !is_quarantined);
}

bool CellScheduler::Impl::IsWorkerUsable(Time, WorkerSlot slot) const {
  const WorkerRecord& worker = *workers_[slot];
  return !worker.is_removed && worker.is_visited && worker.is_epoch_installed &&
         worker.is_reachable;
}

void CellScheduler::Impl::RefuseOversizedJobs() {
  if (slots_.empty()) {
    return;
  }
  std::vector<JobRefused> refused;
  for (const auto& [id, job] : jobs_) {
    const bool is_placed = std::any_of(job->tasks.begin(), job->tasks.end(),
                                       [](const Task& task) { return task.placement != nullptr; });
    if (!job->waiting_tasks.empty() && !is_placed && !ledger_.FitsEmptyWorker(job->spec.size)) {
      refused.push_back({id, ledger_.MostLimitingResource(job->spec.size)});
    }
  }
  std::sort(refused.begin(), refused.end(),
            [](const JobRefused& left, const JobRefused& right) { return left.job < right.job; });
  for (JobRefused& refusal : refused) {
    counters_.Add("cactusshelf_placement_refusals_total", "workers_removed");
    CloseJob(refusal.job);
    effects_.emplace_back(std::move(refusal));
  }
}

void CellScheduler::Impl::ApplyTeams(Time now, const std::vector<TeamSpec>& teams) {
  queue_.ApplyTeams(teams);
  Schedule(now);
}

// Jobs.

std::optional<JobRefusal> CellScheduler::Impl::AdmitJob(Time now, const JobSpec& spec) {
  if (jobs_.contains(spec.id)) {
    return std::nullopt;
  }
  if (const auto refusal = ValidateJob(spec)) {
    counters_.Add("cactusshelf_placement_refusals_total",
                  refusal->reason == RefusalReason::kTooLargeForWorkers ||
                          refusal->reason == RefusalReason::kTooLargeForQuota
                      ? ToString(refusal->limiting_resource)
                      : "not_admissible");
    return refusal;
  }
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.spec = spec;
  job.job_class = classes_.IndexOf(spec.job_class);
  job.admitted_at = now;
  job.tasks.resize(spec.tasks);
  job.unfinished_tasks = spec.tasks;
  job.waiting_tasks.resize(spec.tasks);
  // Tasks are started from the back of the vector, in the order of their indexes.
  std::iota(job.waiting_tasks.rbegin(), job.waiting_tasks.rend(), 0U);
  jobs_.emplace(spec.id, std::move(owned));
  jobs_by_customer_[spec.customer].insert(spec.id);
  queue_.AssignKey(job);
  LinkUnadmittedPlacements(job);
  if (!job.waiting_tasks.empty()) {
    queue_.Add(job);
  }
  Schedule(now);
  return std::nullopt;
}

std::optional<JobRefusal> CellScheduler::Impl::ValidateJob(const JobSpec& spec) const {
  if (options_.protections.remember_cancellations) {
    if (retired_customers_.contains(spec.customer)) {
      return JobRefusal{RefusalReason::kRetiredCustomer, {}};
    }
    if (closed_jobs_.contains(spec.id)) {
      return JobRefusal{RefusalReason::kAlreadyCancelled, {}};
    }
  }
  if (!queue_.HasTeam(spec.team)) {
    return JobRefusal{RefusalReason::kUnknownTeam, {}};
  }
  if (const auto kind = FirstExceeded(spec.size, queue_.quota(spec.team))) {
    return JobRefusal{RefusalReason::kTooLargeForQuota, *kind};
  }
  if (!slots_.empty() && !ledger_.FitsEmptyWorker(spec.size)) {
    return JobRefusal{RefusalReason::kTooLargeForWorkers, ledger_.MostLimitingResource(spec.size)};
  }
  return std::nullopt;
}

void CellScheduler::Impl::LinkUnadmittedPlacements(Job& job) {
  const auto [first, last] = unadmitted_placements_.equal_range(job.spec.id);
  const std::vector<std::pair<JobId, Placement*>> placements(first, last);
  for (const auto& [id, placement] : placements) {
    if (placement->task_index < job.tasks.size() &&
        job.tasks[placement->task_index].placement == nullptr) {
      LinkToJob(job.admitted_at, *placement, job);
    }
  }
}

void CellScheduler::Impl::CancelJob(Time now, const JobId& id) {
  if (closed_jobs_.insert(id).second) {
    closed_jobs_in_order_.push_back(id);
    if (closed_jobs_in_order_.size() > kMaxClosedJobs) {
      closed_jobs_.erase(closed_jobs_in_order_.front());
      closed_jobs_in_order_.pop_front();
    }
  }
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = *it->second;
  std::vector<Placement*> placed;
  for (Task& task : job.tasks) {
    if (task.placement != nullptr) {
      placed.push_back(task.placement);
    }
  }
  counters_.Add("cactusshelf_placement_jobs_total",
                job.unfinished_tasks == 0 ? "closed" : "cancelled");
  ReleaseReservations(now, id);
  CloseJob(id);
  for (Placement* placement : placed) {
    counters_.Add("cactusshelf_placement_stops_total", "cancelled");
    StopPlacement(now, *placement);
  }
}

void CellScheduler::Impl::CloseJob(const JobId& id) {
  const auto it = jobs_.find(id);
  Job& job = *it->second;
  queue_.Remove(job);
  for (Task& task : job.tasks) {
    if (task.placement != nullptr) {
      task.placement->job = nullptr;
      unadmitted_placements_.emplace(id, task.placement);
    }
  }
  jobs_by_customer_[job.spec.customer].erase(id);
  jobs_.erase(it);
}

void CellScheduler::Impl::RetireCustomer(Time now, const CustomerId& customer) {
  retired_customers_.insert(customer);
  const std::set<JobId> jobs = jobs_by_customer_[customer];
  for (const JobId& job : jobs) {
    CancelJob(now, job);
  }
  std::vector<Placement*> unadmitted;
  for (const auto& [job, placement] : unadmitted_placements_) {
    if (placement->customer == customer) {
      unadmitted.push_back(placement);
    }
  }
  for (Placement* placement : unadmitted) {
    StopPlacement(now, *placement);
  }
}

Job* CellScheduler::Impl::FindJob(const TaskId& task, std::uint32_t& index) {
  const std::string& text = task.str();
  const std::size_t slash = text.rfind('/');
  if (slash == std::string::npos) {
    return nullptr;
  }
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + slash + 1, end, index);
  if (error != std::errc() || stop != end) {
    return nullptr;
  }
  const auto it = jobs_.find(JobId(text.substr(0, slash)));
  if (it == jobs_.end() || index >= it->second->tasks.size()) {
    return nullptr;
  }
  return it->second.get();
}

void CellScheduler::Impl::FinishTask(Time now, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  if (task.is_finished) {
    return;
  }
  task.is_finished = true;
  --job.unfinished_tasks;
  std::erase(job.waiting_tasks, index);
  if (job.waiting_tasks.empty()) {
    queue_.Remove(job);
  }
  if (task.placement != nullptr) {
    StopPlacement(now, *task.placement);
  }
  if (job.unfinished_tasks == 0 && !is_recovering_ && !job.is_finish_reported) {
    job.is_finish_reported = true;
    effects_.emplace_back(JobFinished{job.spec.id});
  }
}

// Timers.

void CellScheduler::Impl::OnTimer(Time now) {
  while (const std::optional<Event> event = timers_.PopDue(now)) {
    std::visit([&](const auto& due) { Handle(now, due); }, *event);
  }
}

void CellScheduler::Impl::Handle(Time now, const ReportDue& event) {
  WorkerRecord& worker = *workers_[event.slot];
  ExpireLeases(now, event.slot);
  if (worker.is_decommissioned) {
    return;
  }
  if (worker.is_removed && worker.placements.empty() && !is_recovering_) {
    worker.is_decommissioned = true;
    slots_.erase(worker.spec.id);
    return;
  }
  timers_.Add(now + options_.report_period, event);
  PollWorker(now, event.slot);
}

void CellScheduler::Impl::Handle(Time now, const PollDue& event) {
  ExpireLeases(now, event.slot);
  if (!workers_[event.slot]->is_decommissioned) {
    PollWorker(now, event.slot);
  }
}

void CellScheduler::Impl::Handle(Time now, const CheckpointTimeout& event) {
  Placement* const placement = FindPlacement(event.slot, event.task);
  if (placement != nullptr && placement->phase == PlacementPhase::kCheckpointing) {
    counters_.Add("cactusshelf_placement_stops_total", "checkpoint_timeout");
    StopPlacement(now, *placement);
  }
}

void CellScheduler::Impl::Handle(Time now, const ClassProbeDue& event) {
  queue_.ReleaseFirstOfClass(event.job_class);
  Schedule(now);
}

void CellScheduler::Impl::Handle(Time now, const WorkerProbeDue& event) {
  UpdateSchedulable(now, event.slot);
  OnCapacityFreed(now, event.slot);
  Schedule(now);
}

void CellScheduler::Impl::Handle(Time now, const RecoveryDue&) { EndRecoveryIfComplete(now); }

void CellScheduler::Impl::Handle(Time now, const PlacementDue&) {
  placement_due_.reset();
  ExpireReservations(now);
  PreventStarvation(now);
  queue_.ReleaseSomeShapes();
  Schedule(now);
}

// Queries.

std::uint64_t CellScheduler::Impl::CustomerTaskCount(const CustomerId& customer) const {
  const auto it = task_counts_by_customer_.find(customer);
  return it == task_counts_by_customer_.end() ? 0 : it->second;
}

std::vector<WorkerId> CellScheduler::Impl::UnvisitedWorkers() const {
  std::vector<WorkerId> unvisited;
  if (is_recovering_) {
    for (const auto& worker : workers_) {
      if (!worker->is_visited && !worker->is_decommissioned) {
        unvisited.push_back(worker->spec.id);
      }
    }
  }
  return unvisited;
}

Resources CellScheduler::Impl::Committed(const WorkerId& worker) const {
  const auto it = slots_.find(worker);
  return it == slots_.end() ? Resources{} : ledger_.committed(it->second);
}

}  // namespace cactusshelf
