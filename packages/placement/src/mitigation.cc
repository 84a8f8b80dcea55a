#include <algorithm>
#include <chrono>
#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRatePermille = 1000;
// After an eviction because of interference or memory pressure, the job class is not placed on the
// same worker for this time if another worker fits.
constexpr Duration kAvoidDuration = std::chrono::minutes(10);
constexpr std::size_t kMaxAvoidedClasses = 32;
// A reservation for an urgent job is released if no task has started there within this time.
constexpr Duration kUrgentReservationTimeout = std::chrono::seconds(20);
// The worker of an evicted task is polled for the checkpoint after this delay, then after every
// three times the delay.
constexpr Duration kCheckpointPollInterval = std::chrono::milliseconds(400);

}  // namespace

void CellScheduler::Impl::ApplyMitigation(Time now, WorkerSlot slot) {
  if (!CanPlace(now)) {
    return;
  }
  WorkerRecord& worker = *workers_[slot];
  const MitigationStep step = mitigation_policy_.Decide(now, worker, ledger_.available(slot),
                                                        eviction_budget_.CanEvict(now));
  Placement* const placement = FindPlacement(slot, step.task);
  if (step.action == MitigationAction::kNone || placement == nullptr) {
    return;
  }
  worker.last_mitigation_at = now;
  switch (step.action) {
    case MitigationAction::kThrottle:
      counters_.Add("cactusshelf_placement_relief_total", "throttled");
      Throttle(now, *placement, options_.throttle_permille);
      return;
    case MitigationAction::kLiftThrottle:
      counters_.Add("cactusshelf_placement_relief_total", "throttle_lifted");
      Throttle(now, *placement, kFullRatePermille);
      return;
    case MitigationAction::kEvict:
      eviction_budget_.Consume(now);
      counters_.Add("cactusshelf_placement_relief_total", "evicted");
      if (worker.avoid_until.size() >= kMaxAvoidedClasses) {
        std::erase_if(worker.avoid_until, [&](const auto& item) { return item.second <= now; });
      }
      worker.avoid_until[placement->job_class] = now + kAvoidDuration;
      Evict(now, *placement, options_.checkpoint_timeout);
      return;
    case MitigationAction::kNone:
      return;
  }
}

void CellScheduler::Impl::Throttle(Time now, Placement& placement, std::uint32_t permille) {
  placement.throttled_at = now;
  placement.throttle_count += permille < kFullRatePermille ? 1 : 0;
  Send(now, placement.slot, ThrottleTask{{}, placement.id, permille});
}

// Stops the task once it has taken a checkpoint, at the latest after `timeout`.
void CellScheduler::Impl::Evict(Time now, Placement& placement, Duration timeout) {
  placement.phase = PlacementPhase::kCheckpointing;
  placement.previous_checkpoint = placement.checkpoint;
  Send(now, placement.slot, CheckpointTask{{}, placement.id});
  timers_.Add(now + timeout, CheckpointTimeout{placement.slot, placement.id});
  for (Duration after = kCheckpointPollInterval; after < timeout;
       after += 3 * kCheckpointPollInterval) {
    timers_.Add(now + after, PollDue{placement.slot});
  }
}

// Reserves a worker for each waiting task of an urgent job and preempts tasks there.
void CellScheduler::Impl::PreemptForJob(Time now, Job& job) {
  std::size_t reserved = reservations_[job.spec.id].size();
  while (reserved < job.waiting_tasks.size()) {
    const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
    std::optional<WorkerSlot> best;
    std::vector<Placement*> best_victims;
    for (const WorkerSlot slot : ledger_.FindWithTotalCapacity(
             job.spec.size, start, std::size_t{2} * options_.candidates_per_start)) {
      if (!ledger_.is_schedulable(slot) || !IsSuitable(now, job, slot)) {
        continue;
      }
      std::vector<Placement*> victims = SelectVictims(job, slot);
      if (!victims.empty() && (!best.has_value() || victims.size() < best_victims.size())) {
        best = slot;
        best_victims = std::move(victims);
      }
    }
    if (!best.has_value()) {
      break;
    }
    ReserveWorker(now, job, *best);
    for (Placement* placement : best_victims) {
      counters_.Add("cactusshelf_placement_relief_total", "preempted");
      Evict(now, *placement, options_.urgent_checkpoint_timeout);
    }
    ++reserved;
  }
  if (reserved == 0) {
    reservations_.erase(job.spec.id);
  }
}

// Selects the tasks to evict so that one task of the job fits. Returns none if that is not
// possible, or if the free resources and those of tasks that are about to end suffice.
std::vector<Placement*> CellScheduler::Impl::SelectVictims(const Job& job, WorkerSlot slot) {
  std::vector<Placement*> preemptible;
  Resources free = ledger_.Free(slot);
  for (auto& [id, placement] : workers_[slot]->placements) {
    if (placement.phase == PlacementPhase::kCheckpointing ||
        placement.phase == PlacementPhase::kStopping) {
      free += placement.size;  // About to end.
    }
    const bool is_preemptible = placement.phase == PlacementPhase::kRunning &&
                                placement.job != nullptr && !placement.job->spec.urgent;
    if (is_preemptible) {
      preemptible.push_back(&placement);
    }
  }
  // The tasks that started last lose the least work.
  std::stable_sort(preemptible.begin(), preemptible.end(),
                   [](const Placement* left, const Placement* right) {
                     return left->started_at > right->started_at;
                   });
  std::vector<Placement*> victims;
  for (Placement* placement : preemptible) {
    if (Fits(job.spec.size, free)) {
      break;
    }
    free += placement->size;
    victims.push_back(placement);
  }
  if (!Fits(job.spec.size, free)) {
    return {};
  }
  // A large task that was selected last may make smaller ones before it unnecessary.
  std::erase_if(victims, [&](const Placement* placement) {
    if (!Fits(job.spec.size, free - placement->size)) {
      return false;
    }
    free -= placement->size;
    return true;
  });
  return victims;
}

// Starts no other task on the worker until a task of the job has started there.
void CellScheduler::Impl::ReserveWorker(Time now, const Job& job, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  worker.reserved_for = job.spec.id.str();
  worker.reserved_at = now;
  reservations_[job.spec.id].insert(slot);
  UpdateSchedulable(now, slot);
  ArmPlacementTimer(now + std::chrono::seconds(1));
}

void CellScheduler::Impl::ReleaseReservation(Time now, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  const auto it = reservations_.find(JobId(worker.reserved_for));
  worker.reserved_for.clear();
  if (it != reservations_.end()) {
    it->second.erase(slot);
    if (it->second.empty()) {
      if (it->first == starving_job_) {
        starving_job_ = {};
      }
      reservations_.erase(it);
    }
  }
  UpdateSchedulable(now, slot);
  OnCapacityFreed(now, slot);
}

void CellScheduler::Impl::ReleaseReservations(Time now, const JobId& job) {
  const auto it = reservations_.find(job);
  if (it == reservations_.end()) {
    return;
  }
  const std::set<WorkerSlot> slots = it->second;
  for (const WorkerSlot slot : slots) {
    ReleaseReservation(now, slot);
  }
}

// Releases reservations on workers that are not usable and those that an urgent job did not use in
// time.
void CellScheduler::Impl::ExpireReservations(Time now) {
  std::vector<WorkerSlot> expired;
  for (const auto& [id, slots] : reservations_) {
    for (const WorkerSlot slot : slots) {
      const bool is_late = now >= workers_[slot]->reserved_at + kUrgentReservationTimeout;
      if (!IsWorkerUsable(now, slot) || (is_late && id != starving_job_)) {
        expired.push_back(slot);
      }
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const WorkerSlot slot : expired) {
    ReleaseReservation(now, slot);
  }
}

// Reserves a worker for the job that has waited longest for capacity, once its waiting time exceeds
// the starvation bound. Tasks that still run there after another half of the bound are evicted.
void CellScheduler::Impl::PreventStarvation(Time now) {
  if (!CanPlace(now)) {
    return;
  }
  if (!starving_job_.empty()) {
    const auto it = reservations_.find(starving_job_);
    const auto job = jobs_.find(starving_job_);
    if (it != reservations_.end() && job != jobs_.end()) {
      const WorkerSlot slot = *it->second.begin();
      if (now >= workers_[slot]->reserved_at + options_.starvation_bound / 2) {
        for (Placement* placement : SelectVictims(*job->second, slot)) {
          counters_.Add("cactusshelf_placement_relief_total", "starvation");
          Evict(now, *placement, options_.checkpoint_timeout);
        }
      }
      queue_.ReleaseNextOfShape(*job->second);
      return;
    }
    starving_job_ = {};
  }
  Job* const job = queue_.OldestWaitingForCapacity();
  if (job == nullptr || now < job->admitted_at + options_.starvation_bound) {
    return;
  }
  const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
  std::optional<WorkerSlot> best;
  for (const WorkerSlot slot : ledger_.FindWithTotalCapacity(
           job->spec.size, start, std::size_t{2} * options_.candidates_per_start)) {
    const auto committed = [&](WorkerSlot at) { return ledger_.committed(at).milliprocessors; };
    if (ledger_.is_schedulable(slot) && (!best.has_value() || committed(slot) < committed(*best))) {
      best = slot;
    }
  }
  if (best.has_value()) {
    counters_.Add("cactusshelf_placement_relief_total", "starvation_reserved");
    starving_job_ = job->spec.id;
    ReserveWorker(now, *job, *best);
  }
}

}  // namespace cactusshelf
