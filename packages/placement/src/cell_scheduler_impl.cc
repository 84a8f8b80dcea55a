#include "cell_scheduler_impl.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <numeric>
#include <utility>

namespace cactusshelf {
namespace {

// Bounds the memory for ids of closed jobs; four days of the target's 26,000 jobs a day.
constexpr std::size_t kMostClosedJobs = 100000;
constexpr double kBudgetWorkers = 100;

Resources AvailableTo(const WorkerSpec& spec) {
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
      relief_(options_, ranker_, interference_) {}

// Ownership.

void CellScheduler::Impl::TakeOwnership(Time now, Epoch epoch, Time old_authority_end) {
  DropRuntime();
  epoch_ = epoch;
  commands_.Reset(epoch);
  old_leases_end_ = std::max(now, old_authority_end + LeaseWithMargin());
  is_recovering_ = options_.protections.wait_for_old_leases;
  unvisited_ = slots_.size();
  counters_.Add("cactusshelf_placement_ownership_total", "taken");
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_gone) {
      timers_.Add(now + random_.Between(Duration(1), options_.report_period), ReportDue{slot});
    }
  }
  timers_.Add(old_leases_end_, RecoveryDue{});
  ContactAll(now);
  CheckRecovery(now);
}

void CellScheduler::Impl::LoseOwnership() {
  if (epoch_.has_value()) {
    counters_.Add("cactusshelf_placement_ownership_total", "lost");
  }
  DropRuntime();
}

void CellScheduler::Impl::SetAuthority(Time now, Time valid_until) {
  const bool had_authority = CanCommand(now);
  authority_until_ = valid_until;
  if (!had_authority && CanCommand(now)) {
    ContactAll(now);
    Schedule(now);
  }
}

bool CellScheduler::Impl::CanCommand(Time now) const {
  return epoch_.has_value() && (!options_.protections.require_authority || now < authority_until_);
}

void CellScheduler::Impl::DropRuntime() {
  epoch_.reset();
  is_recovering_ = false;
  unvisited_ = 0;
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
        queue_.Refund(placement.team, placement.size);
      }
    }
    WorkerSpec spec = std::move(worker.spec);
    WorkerRecord fresh;
    fresh.spec = std::move(spec);
    fresh.rack = worker.rack;
    fresh.domain = worker.domain;
    fresh.is_removed = worker.is_removed;
    fresh.is_gone = worker.is_gone;
    fresh.services = std::move(worker.services);
    worker = std::move(fresh);
    ledger_.SetOpen(slot, false);
  }
  customer_tasks_.clear();
  foreign_.clear();
  for (auto& [id, job] : jobs_) {
    job->tasks_by_rack.clear();
    job->tasks_by_domain.clear();
    job->waiting.clear();
    job->is_finish_reported = false;
    for (std::uint32_t i = static_cast<std::uint32_t>(job->tasks.size()); i-- > 0;) {
      job->tasks[i].placement = nullptr;
      if (!job->tasks[i].is_finished) {
        job->waiting.push_back(i);
      }
    }
    if (!job->waiting.empty()) {
      queue_.Add(*job);
    }
  }
}

void CellScheduler::Impl::ContactAll(Time now) {
  if (!CanCommand(now)) {
    return;
  }
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_gone) {
      Contact(now, slot);
    }
  }
}

void CellScheduler::Impl::CheckRecovery(Time now) {
  if (epoch_.has_value() && is_recovering_ && (unvisited_ == 0 || now >= old_leases_end_)) {
    EndRecovery(now);
  }
}

void CellScheduler::Impl::EndRecovery(Time now) {
  is_recovering_ = false;
  unvisited_ = 0;
  std::vector<Placement*> unknown;
  for (const auto& [job, placement] : foreign_) {
    unknown.push_back(placement);
  }
  for (Placement* placement : unknown) {
    counters_.Add("cactusshelf_placement_stops_total", "unknown_job");
    StopPlacement(now, *placement);
  }
  for (auto& [id, job] : jobs_) {
    if (job->unfinished == 0 && !job->is_finish_reported) {
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
  std::set<WorkerId> named;
  for (WorkerSpec& spec : workers) {
    named.insert(spec.id);
    ApplyWorker(now, std::move(spec));
  }
  for (WorkerSlot slot = 0; slot < workers_.size(); ++slot) {
    if (!workers_[slot]->is_removed && !named.contains(workers_[slot]->spec.id)) {
      RemoveWorker(now, slot);
    }
  }
  budget_.SetRate(now,
                  options_.eviction_budget * static_cast<double>(named.size()) / kBudgetWorkers);
  RefuseUnfitJobs();
  queue_.ReleaseSomeSizes();
  CheckRecovery(now);
  Schedule(now);
}

void CellScheduler::Impl::ApplyWorker(Time now, WorkerSpec spec) {
  const auto [it, is_new] = slots_.try_emplace(spec.id, static_cast<WorkerSlot>(workers_.size()));
  const WorkerSlot slot = it->second;
  if (is_new) {
    workers_.push_back(std::make_unique<WorkerRecord>());
    if (epoch_.has_value()) {
      timers_.Add(now + random_.Between(Duration(1), options_.report_period), ReportDue{slot});
      // A worker that joins during recovery must be visited like the others.
      unvisited_ += is_recovering_ ? 1 : 0;
    }
  }
  WorkerRecord& worker = *workers_[slot];
  if (!is_new && !worker.is_removed && worker.spec == spec) {
    return;
  }
  worker.is_removed = false;
  worker.rack = racks_.Get(spec.rack);
  worker.domain = domains_.Get(spec.domain);
  worker.services.clear();
  for (const ServiceOnWorker& service : spec.services) {
    ServiceStatus status;
    status.service = services_.Get(service.service);
    status.endpoints = service.endpoints;
    worker.services.push_back(status);
  }
  ledger_.SetAvailable(slot, AvailableTo(spec));
  worker.spec = std::move(spec);
  UpdateOpen(now, slot);
  if (is_new && CanCommand(now)) {
    Contact(now, slot);
  }
}

void CellScheduler::Impl::RemoveWorker(Time now, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  worker.is_removed = true;
  ledger_.SetAvailable(slot, {});
  UpdateOpen(now, slot);
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

void CellScheduler::Impl::UpdateOpen(Time now, WorkerSlot slot) {
  const WorkerRecord& worker = *workers_[slot];
  const bool is_barred = failures_.IsWorkerQuarantined(slot) && now < failures_.WorkerProbeAt(slot);
  ledger_.SetOpen(slot, CanUse(now, slot) && worker.reserved_for.empty() && !is_barred);
}

bool CellScheduler::Impl::CanUse(Time, WorkerSlot slot) const {
  const WorkerRecord& worker = *workers_[slot];
  return !worker.is_removed && worker.is_visited && worker.is_epoch_installed &&
         worker.is_reachable;
}

void CellScheduler::Impl::RefuseUnfitJobs() {
  if (slots_.empty()) {
    return;
  }
  std::vector<JobRefused> refused;
  for (const auto& [id, job] : jobs_) {
    const bool is_placed = std::any_of(job->tasks.begin(), job->tasks.end(),
                                       [](const Task& task) { return task.placement != nullptr; });
    if (!job->waiting.empty() && !is_placed && !ledger_.CanEverHold(job->spec.size)) {
      refused.push_back({id, ledger_.Limiting(job->spec.size)});
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
  if (const auto refusal = CheckJob(spec)) {
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
  job.job_class = classes_.Get(spec.job_class);
  job.admitted_at = now;
  job.tasks.resize(spec.tasks);
  job.unfinished = spec.tasks;
  job.waiting.resize(spec.tasks);
  // The last goes first, so that tasks start in the order of their indexes.
  std::iota(job.waiting.rbegin(), job.waiting.rend(), 0U);
  jobs_.emplace(spec.id, std::move(owned));
  jobs_by_customer_[spec.customer].insert(spec.id);
  queue_.Rank(job);
  AdoptForeign(job);
  if (!job.waiting.empty()) {
    queue_.Add(job);
  }
  Schedule(now);
  return std::nullopt;
}

std::optional<JobRefusal> CellScheduler::Impl::CheckJob(const JobSpec& spec) const {
  if (options_.protections.remember_cancellations) {
    if (retired_.contains(spec.customer)) {
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
  if (!slots_.empty() && !ledger_.CanEverHold(spec.size)) {
    return JobRefusal{RefusalReason::kTooLargeForWorkers, ledger_.Limiting(spec.size)};
  }
  return std::nullopt;
}

void CellScheduler::Impl::AdoptForeign(Job& job) {
  const auto [first, last] = foreign_.equal_range(job.spec.id);
  const std::vector<std::pair<JobId, Placement*>> known(first, last);
  for (const auto& [id, placement] : known) {
    if (placement->task_index < job.tasks.size() &&
        job.tasks[placement->task_index].placement == nullptr) {
      LinkToJob(job.admitted_at, *placement, job);
    }
  }
}

void CellScheduler::Impl::CancelJob(Time now, const JobId& id) {
  if (closed_jobs_.insert(id).second) {
    closed_order_.push_back(id);
    if (closed_order_.size() > kMostClosedJobs) {
      closed_jobs_.erase(closed_order_.front());
      closed_order_.pop_front();
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
  counters_.Add("cactusshelf_placement_jobs_total", job.unfinished == 0 ? "closed" : "cancelled");
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
      foreign_.emplace(id, task.placement);
    }
  }
  jobs_by_customer_[job.spec.customer].erase(id);
  jobs_.erase(it);
}

void CellScheduler::Impl::RetireCustomer(Time now, const CustomerId& customer) {
  retired_.insert(customer);
  const std::set<JobId> jobs = jobs_by_customer_[customer];
  for (const JobId& job : jobs) {
    CancelJob(now, job);
  }
  std::vector<Placement*> unknown;
  for (const auto& [job, placement] : foreign_) {
    if (placement->customer == customer) {
      unknown.push_back(placement);
    }
  }
  for (Placement* placement : unknown) {
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
  --job.unfinished;
  std::erase(job.waiting, index);
  if (job.waiting.empty()) {
    queue_.Remove(job);
  }
  if (task.placement != nullptr) {
    StopPlacement(now, *task.placement);
  }
  if (job.unfinished == 0 && !is_recovering_ && !job.is_finish_reported) {
    job.is_finish_reported = true;
    effects_.emplace_back(JobFinished{job.spec.id});
  }
}

// Timers.

void CellScheduler::Impl::OnTimer(Time now) {
  while (const std::optional<Event> event = timers_.TakeDue(now)) {
    std::visit([&](const auto& due) { Handle(now, due); }, *event);
  }
}

void CellScheduler::Impl::Handle(Time now, const ReportDue& event) {
  WorkerRecord& worker = *workers_[event.slot];
  ExpireLeases(now, event.slot);
  if (worker.is_gone) {
    return;
  }
  if (worker.is_removed && worker.placements.empty() && !is_recovering_) {
    worker.is_gone = true;
    slots_.erase(worker.spec.id);
    return;
  }
  timers_.Add(now + options_.report_period, event);
  Contact(now, event.slot);
}

void CellScheduler::Impl::Handle(Time now, const PollDue& event) {
  ExpireLeases(now, event.slot);
  if (!workers_[event.slot]->is_gone) {
    Contact(now, event.slot);
  }
}

void CellScheduler::Impl::Handle(Time now, const CheckpointDue& event) {
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
  UpdateOpen(now, event.slot);
  RoomGrew(now, event.slot);
  Schedule(now);
}

void CellScheduler::Impl::Handle(Time now, const RecoveryDue&) { CheckRecovery(now); }

void CellScheduler::Impl::Handle(Time now, const PlacementDue&) {
  placement_due_.reset();
  CheckReservations(now);
  RelieveStarvation(now);
  queue_.ReleaseSomeSizes();
  Schedule(now);
}

// Queries.

std::uint64_t CellScheduler::Impl::CustomerTaskCount(const CustomerId& customer) const {
  const auto it = customer_tasks_.find(customer);
  return it == customer_tasks_.end() ? 0 : it->second;
}

std::vector<WorkerId> CellScheduler::Impl::UnvisitedWorkers() const {
  std::vector<WorkerId> unvisited;
  if (is_recovering_) {
    for (const auto& worker : workers_) {
      if (!worker->is_visited && !worker->is_gone) {
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
