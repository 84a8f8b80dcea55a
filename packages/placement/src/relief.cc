#include <algorithm>
#include <chrono>
#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRate = 1000;
// An evicted class stays off the worker for so long, unless there is no other place.
constexpr Duration kAvoidTime = std::chrono::minutes(10);
constexpr std::size_t kMostAvoided = 32;
// A reservation that did not lead to a start by then is given up.
constexpr Duration kUrgentReservation = std::chrono::seconds(20);
// Times at which a worker is asked whether a checkpoint is done.
constexpr Duration kCheckpointPoll = std::chrono::milliseconds(400);

}  // namespace

void CellScheduler::Impl::Relieve(Time now, WorkerSlot slot) {
  if (!CanPlace(now)) {
    return;
  }
  WorkerRecord& worker = *workers_[slot];
  const Relief relief = relief_.Decide(now, worker, ledger_.available(slot), budget_.HasLeft(now));
  Placement* const placement = FindPlacement(slot, relief.task);
  if (relief.action == ReliefAction::kNone || placement == nullptr) {
    return;
  }
  worker.relief_checked = now;
  switch (relief.action) {
    case ReliefAction::kThrottle:
      counters_.Add("cactusshelf_placement_relief_total", "throttled");
      Throttle(now, *placement, options_.throttle_permille);
      return;
    case ReliefAction::kLiftThrottle:
      counters_.Add("cactusshelf_placement_relief_total", "throttle_lifted");
      Throttle(now, *placement, kFullRate);
      return;
    case ReliefAction::kEvict:
      budget_.Take(now);
      counters_.Add("cactusshelf_placement_relief_total", "evicted");
      if (worker.avoid_until.size() >= kMostAvoided) {
        std::erase_if(worker.avoid_until, [&](const auto& item) { return item.second <= now; });
      }
      worker.avoid_until[placement->job_class] = now + kAvoidTime;
      Evict(now, *placement, options_.checkpoint_timeout);
      return;
    case ReliefAction::kNone:
      return;
  }
}

void CellScheduler::Impl::Throttle(Time now, Placement& placement, std::uint32_t permille) {
  placement.throttled_at = now;
  placement.throttles += permille < kFullRate ? 1 : 0;
  Send(now, placement.slot, ThrottleTask{{}, placement.id, permille});
}

// Stops the task after a checkpoint, or after `timeout` without one.
void CellScheduler::Impl::Evict(Time now, Placement& placement, Duration timeout) {
  placement.phase = PlacementPhase::kCheckpointing;
  placement.checkpoint_before = placement.checkpoint;
  Send(now, placement.slot, CheckpointTask{{}, placement.id});
  timers_.Add(now + timeout, CheckpointDue{placement.slot, placement.id});
  for (Duration after = kCheckpointPoll; after < timeout; after += 3 * kCheckpointPoll) {
    timers_.Add(now + after, PollDue{placement.slot});
  }
}

// Begins to free workers for the waiting tasks of an urgent job, one worker for each task.
void CellScheduler::Impl::MakeRoom(Time now, Job& job) {
  std::size_t reserved = reservations_[job.spec.id].size();
  while (reserved < job.waiting.size()) {
    const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
    std::optional<WorkerSlot> best;
    std::vector<Placement*> best_plan;
    for (const WorkerSlot slot :
         ledger_.FindLargeEnough(job.spec.size, start, std::size_t{2} * options_.candidates)) {
      if (!ledger_.is_open(slot) || !IsSuitable(now, job, slot)) {
        continue;
      }
      std::vector<Placement*> plan = PlanRoom(job, slot);
      if (!plan.empty() && (!best.has_value() || plan.size() < best_plan.size())) {
        best = slot;
        best_plan = std::move(plan);
      }
    }
    if (!best.has_value()) {
      break;
    }
    Reserve(now, job, *best);
    for (Placement* placement : best_plan) {
      counters_.Add("cactusshelf_placement_relief_total", "preempted");
      Evict(now, *placement, options_.urgent_checkpoint_timeout);
    }
    ++reserved;
  }
  if (reserved == 0) {
    reservations_.erase(job.spec.id);
  }
}

// The tasks to evict so that one task of the job fits. None if that is not possible, or if enough
// is about to end.
std::vector<Placement*> CellScheduler::Impl::PlanRoom(const Job& job, WorkerSlot slot) {
  std::vector<Placement*> movable;
  Resources free = ledger_.Free(slot);
  for (auto& [id, placement] : workers_[slot]->placements) {
    if (placement.phase == PlacementPhase::kCheckpointing ||
        placement.phase == PlacementPhase::kStopping) {
      free += placement.size;  // Is about to end.
    }
    const bool is_movable = placement.phase == PlacementPhase::kRunning &&
                            placement.job != nullptr && !placement.job->spec.urgent;
    if (is_movable) {
      movable.push_back(&placement);
    }
  }
  // The latest started have the least work to lose.
  std::stable_sort(movable.begin(), movable.end(),
                   [](const Placement* left, const Placement* right) {
                     return left->started_at > right->started_at;
                   });
  std::vector<Placement*> plan;
  for (Placement* placement : movable) {
    if (Fits(job.spec.size, free)) {
      break;
    }
    free += placement->size;
    plan.push_back(placement);
  }
  if (!Fits(job.spec.size, free)) {
    return {};
  }
  // A large task that was taken late may make earlier ones unnecessary.
  std::erase_if(plan, [&](const Placement* placement) {
    if (!Fits(job.spec.size, free - placement->size)) {
      return false;
    }
    free -= placement->size;
    return true;
  });
  return plan;
}

// Keeps other work off the worker until a task of the job starts there.
void CellScheduler::Impl::Reserve(Time now, const Job& job, WorkerSlot slot) {
  WorkerRecord& worker = *workers_[slot];
  worker.reserved_for = job.spec.id.str();
  worker.reserved_at = now;
  reservations_[job.spec.id].insert(slot);
  UpdateOpen(now, slot);
  ArmPlacement(now + std::chrono::seconds(1));
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
  UpdateOpen(now, slot);
  RoomGrew(now, slot);
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

// Gives up reservations on workers that were lost, or that an urgent job did not use in time.
void CellScheduler::Impl::CheckReservations(Time now) {
  std::vector<WorkerSlot> lapsed;
  for (const auto& [id, slots] : reservations_) {
    for (const WorkerSlot slot : slots) {
      const bool is_late = now >= workers_[slot]->reserved_at + kUrgentReservation;
      if (!CanUse(now, slot) || (is_late && id != starving_job_)) {
        lapsed.push_back(slot);
      }
    }
  }
  std::sort(lapsed.begin(), lapsed.end());
  for (const WorkerSlot slot : lapsed) {
    ReleaseReservation(now, slot);
  }
}

// Keeps a worker free for the job that waited longest, once it waited too long. If the work there
// does not end by itself within half the bound, it is evicted.
void CellScheduler::Impl::RelieveStarvation(Time now) {
  if (!CanPlace(now)) {
    return;
  }
  if (!starving_job_.empty()) {
    const auto it = reservations_.find(starving_job_);
    const auto job = jobs_.find(starving_job_);
    if (it != reservations_.end() && job != jobs_.end()) {
      const WorkerSlot slot = *it->second.begin();
      if (now >= workers_[slot]->reserved_at + options_.starvation_bound / 2) {
        for (Placement* placement : PlanRoom(*job->second, slot)) {
          counters_.Add("cactusshelf_placement_relief_total", "starvation");
          Evict(now, *placement, options_.checkpoint_timeout);
        }
      }
      queue_.ReleaseNextOfSize(*job->second);
      return;
    }
    starving_job_ = {};
  }
  Job* const job = queue_.OldestWithoutRoom();
  if (job == nullptr || now < job->admitted_at + options_.starvation_bound) {
    return;
  }
  const auto start = static_cast<WorkerSlot>(random_.Below(ledger_.size()));
  std::optional<WorkerSlot> best;
  for (const WorkerSlot slot :
       ledger_.FindLargeEnough(job->spec.size, start, std::size_t{2} * options_.candidates)) {
    const auto committed = [&](WorkerSlot at) { return ledger_.committed(at).milliprocessors; };
    if (ledger_.is_open(slot) && (!best.has_value() || committed(slot) < committed(*best))) {
      best = slot;
    }
  }
  if (best.has_value()) {
    counters_.Add("cactusshelf_placement_relief_total", "starvation_reserved");
    starving_job_ = job->spec.id;
    Reserve(now, *job, *best);
  }
}

}  // namespace cactusshelf
