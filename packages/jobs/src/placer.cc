#include "placer.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "best_effort_throttle.h"

namespace cactusshelf::jobs {
namespace {

constexpr double kMilliPerProcessor = 1000.0;
// Terms of the score, in units of the free processors of one whole worker.

// Bonus for the rack that holds the task's data.
constexpr double kRackBonus = 4.0;
// Penalty for each other serving image on the worker.
constexpr double kMixedImagesCost = 1.5;
// A best-effort task starts only if the worker is expected to leave idle at least this fraction of
// the requested processors.
constexpr double kMinIdleShare = 0.8;
// Maximum pressure of a serving neighbour that placing a best-effort task may cause.
constexpr double kPressureLimit = 0.71;
// Workers below this speed get a penalty that grows as the speed falls and outweighs the rack
// bonus.
constexpr double kSlowWorkerSpeed = 0.45;
constexpr double kSlowWorkerCost = 20.0;
// Penalty for a worker in quarantine, which outweighs all other terms.
constexpr double kQuarantineCost = 1000.0;
// Penalty for a best-effort task that uses up the whole headroom of a serving neighbour.
constexpr double kHeadroomUseCost = 1.0;

// Up to this part of the workers, and at least two, are reserved at a time for waiting long-running
// tasks. The part has to be large enough to start all tasks of a failed rack within seconds.
constexpr std::size_t kReservableDivisor = 16;
constexpr std::size_t kMinReservableWorkers = 2;
// Maximum number of times in one pass that all workers are searched for one to reserve. On a full
// pool hundreds of tasks wait.
constexpr int kMaxReservationScans = 4;
// A small pool keeps workers for short tasks: at most one of this many is reserved.
constexpr std::size_t kMinWorkersPerReserved = 4;
// Maximum number of times in one pass that all workers are searched for room to claim.
constexpr int kMaxClaimSearches = 4;
// A long-running task that has stopped is owed to its caller again after this time, if workers have
// room.
constexpr Duration kRestartDelay = std::chrono::seconds(6);
// A restart that has waited for this time may take room that another one has left, which is owed a
// start only kRestartDelay after its own stop.
constexpr Duration kMinWaitForFreedRoom = kRestartDelay / 2;
// While at least this part of a pool's processors is free, no room is kept from first starts for
// restarts that fit nowhere: what they lack is whole workers, not processors.
constexpr double kMinFreeOfUnheldPool = 0.5;
// A long-running task that has waited for this time may use the reserve for short tasks.
constexpr Duration kMaxReserveWait = std::chrono::seconds(1);

double Fraction(std::int64_t part, std::int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(whole, 1));
}

bool Contains(const std::vector<const WorkerState*>& workers, const WorkerState& worker) {
  return std::find(workers.begin(), workers.end(), &worker) != workers.end();
}

}  // namespace

std::string_view ToString(PlacementObstacle obstacle) {
  switch (obstacle) {
    case PlacementObstacle::kCapacity:
      return "no_capacity";
    case PlacementObstacle::kConstraint:
      return "constraint";
    case PlacementObstacle::kStartsPaused:
      return "starts_paused";
    case PlacementObstacle::kQuarantine:
      return "quarantined";
    case PlacementObstacle::kReserved:
      return "reserved";
    case PlacementObstacle::kNeighbourLoad:
      return "neighbour_load";
  }
  return "unknown";
}

Resources CapacityNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.best_effort) need.milliprocessors = 0;
  return need;
}

void Placer::BeginPass(const std::vector<WorkerState*>& workers,
                       const std::set<TaskRef>& restarts) {
  workers_ = workers;
  claims_.KeepWorkers(workers);
  claims_.KeepTasks(restarts);
  awaited_room_.KeepWorkers(workers);
  awaited_room_.KeepTasks(restarts);
  unclaimed_needs_.clear();
  // Without a limit reached in the pass before, each task without a claim has had its turn.
  if (claim_searches_left_ > 0) searched_in_vain_.clear();
  claim_searches_left_ = kMaxClaimSearches;
  unplaceable_.clear();
  const std::vector<const WorkerState*> previous = std::exchange(reserved_workers_, {});
  reserved_before_.clear();
  reservation_scans_left_ = kMaxReservationScans;
  pool_free_.clear();
  pool_capacity_.clear();
  freed_workers_.clear();
  for (WorkerState* worker : workers_) {
    if (std::exchange(worker->has_freed_room, false)) freed_workers_.push_back(worker);
    const WorkerEntry& entry = worker->entry();
    pool_free_[entry.pool] += worker->Free();
    pool_capacity_[entry.pool] += entry.capacity;
    if (Contains(previous, *worker)) reserved_before_.push_back(worker);
  }
}

void Placer::OnPlaced(const WorkerState& worker, const TaskRef& task, const StepSpec& step) {
  const WorkerState* claimed = claims_.WorkerOf(task);
  claims_.Remove(task);
  awaited_room_.Remove(task);
  if (claimed != nullptr && claimed != &worker) OnCapacityFreed();
  pool_free_[worker.entry().pool] -= CapacityNeed(step);
}

bool Placer::IsKnownUnplaceable(const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  return std::any_of(unplaceable_.begin(), unplaceable_.end(), [&](const UnplaceableRequest& it) {
    const bool same_kind = it.best_effort == step.best_effort &&
                           it.long_running == step.long_running && it.restart == request.restart &&
                           (it.may_probe || !request.may_probe) &&
                           (!step.best_effort || it.image_index == request.image_index);
    return same_kind && it.service == request.service && it.rack == request.rack &&
           it.label == step.required_label && Fits(it.need, step.need);
  });
}

bool Placer::LeavesShortTaskReserve(const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  if (!step.long_running || step.best_effort || request.restart) return true;
  if (request.waited >= kMaxReserveWait) return true;
  const auto free = pool_free_.find(request.service);
  if (free == pool_free_.end()) return false;
  const std::int64_t left = free->second.milliprocessors - step.need.milliprocessors;
  return Fraction(left, pool_capacity_.at(request.service).milliprocessors) >=
         options_.short_task_reserve;
}

bool Placer::MatchesConstraints(const WorkerState& worker, const PlacementRequest& request) const {
  const WorkerEntry& entry = worker.entry();
  const StepSpec& step = request.step();
  if (entry.pool != request.service) return false;
  if (!request.rack.empty() && entry.rack != request.rack) return false;
  if (!step.required_label.empty()) {
    const auto& labels = entry.labels;
    if (std::find(labels.begin(), labels.end(), step.required_label) == labels.end()) return false;
  }
  const TaskId& task = request.task;
  return step.max_per_worker == 0 ||
         worker.CountRunsOfStep(request.job->key, task.occurrence, task.step) < step.max_per_worker;
}

std::optional<PlacementObstacle> Placer::FindObstacle(WorkerState& worker,
                                                      const PlacementRequest& request,
                                                      Time now) const {
  const StepSpec& step = request.step();
  if (!Fits(CapacityNeed(step), worker.Free())) return PlacementObstacle::kCapacity;
  if (!MatchesConstraints(worker, request)) return PlacementObstacle::kConstraint;
  if (now < worker.starts_paused_until) return PlacementObstacle::kStartsPaused;
  const bool may_probe = request.may_probe && worker.quarantine.CanProbe(now);
  if (worker.quarantine.active(now) && !may_probe) return PlacementObstacle::kQuarantine;
  if (step.best_effort && !KeepsNeighbourHeadroom(worker, request))
    return PlacementObstacle::kNeighbourLoad;
  if (IsKeptForOthers(worker, request)) return PlacementObstacle::kReserved;
  return std::nullopt;
}

ObstacleCounts Placer::CountObstacles(const PlacementRequest& request,
                                      const std::vector<WorkerState*>& workers, Time now) const {
  ObstacleCounts counts{};
  for (WorkerState* worker : workers) {
    const auto obstacle = FindObstacle(*worker, request, now);
    if (obstacle) ++counts[static_cast<std::size_t>(*obstacle)];
  }
  return counts;
}

CapacitySummary Placer::SummarizeCapacity(const PlacementRequest& request,
                                          const std::vector<WorkerState*>& workers) const {
  const Resources need = CapacityNeed(request.step());
  CapacitySummary summary;
  Resources& most = summary.max_free;
  for (const WorkerState* worker : workers) {
    if (!MatchesConstraints(*worker, request)) continue;
    const Resources free = worker->Free();
    most.milliprocessors = std::max(most.milliprocessors, free.milliprocessors);
    most.memory_bytes = std::max(most.memory_bytes, free.memory_bytes);
    most.accelerators = std::max(most.accelerators, free.accelerators);
    if (need.milliprocessors > free.milliprocessors) ++summary.short_of_processors;
    if (need.memory_bytes > free.memory_bytes) ++summary.short_of_memory;
    if (need.accelerators > free.accelerators) ++summary.short_of_accelerators;
  }
  return summary;
}

bool Placer::IsReserved(const WorkerState& worker) const {
  return Contains(reserved_workers_, worker) || Contains(reserved_before_, worker);
}

std::size_t Placer::MaxReservedWorkers() const {
  const std::size_t most = std::max<std::size_t>(workers_.size() / kMinWorkersPerReserved, 1);
  return std::min(std::max(kMinReservableWorkers, workers_.size() / kReservableDivisor), most);
}

bool Placer::LeavesClaimedRoom(const WorkerState& worker, const PlacementRequest& request) const {
  if (claims_.empty()) return true;
  // The worker is expected to have room for all that is claimed there, in whatever order it starts.
  if (claims_.WorkerOf(request.ref()) == &worker) return true;
  const Resources claimed = claims_.ClaimedByOthers(worker, request.ref());
  return Fits(CapacityNeed(request.step()) + claimed, worker.Free());
}

bool Placer::IsKeptForOthers(const WorkerState& worker, const PlacementRequest& request) const {
  if (!LeavesClaimedRoom(worker, request)) return true;
  const StepSpec& step = request.step();
  if (step.best_effort || request.restart) return false;
  return step.long_running ? IsOwedToRestarts(worker, request) : IsReserved(worker);
}

bool Placer::IsOwedToRestarts(const WorkerState& worker, const PlacementRequest& request) const {
  // A pool that is new since the pass began has no claims.
  const auto free = pool_free_.find(worker.entry().pool);
  if (free == pool_free_.end()) return false;
  const std::int64_t capacity = pool_capacity_.at(free->first).milliprocessors;
  if (Fraction(free->second.milliprocessors, capacity) >= kMinFreeOfUnheldPool) return false;
  const TaskRef task = request.ref();
  const Resources owed = CapacityNeed(request.step()) + claims_.ClaimedByOthers(worker, task) +
                         awaited_room_.ClaimedByOthers(worker, task);
  if (!Fits(owed, worker.Free())) return true;
  const WorkerEntry& entry = worker.entry();
  return std::any_of(
      unclaimed_needs_.begin(), unclaimed_needs_.end(), [&](const UnclaimedNeed& it) {
        const bool usable = it.service == entry.pool && Fits(it.need, entry.capacity);
        return usable && (it.label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                                        it.label) != entry.labels.end());
      });
}

std::optional<Time> Placer::ClaimableAt(const WorkerState& worker, const PlacementRequest& request,
                                        Time now) const {
  if (now < worker.starts_paused_until || worker.quarantine.active(now)) return std::nullopt;
  if (!MatchesConstraints(worker, request)) return std::nullopt;
  const Resources claimed = claims_.ClaimedByOthers(worker, request.ref());
  const auto at = ExpectedRoomAt(worker, CapacityNeed(request.step()) + claimed, now);
  // Room that comes later would only stand idle for a task that is late in any case.
  return at && *at <= now + kRestartDelay ? at : std::nullopt;
}

std::int64_t Placer::Shortfall(const WorkerState& worker, const PlacementRequest& request) const {
  const TaskRef task = request.ref();
  const Resources owed = CapacityNeed(request.step()) + claims_.ClaimedByOthers(worker, task) +
                         awaited_room_.ClaimedByOthers(worker, task);
  return (owed - worker.Free() - worker.short_task_use()).milliprocessors;
}

Placer::RoomSearch Placer::SearchRoom(const PlacementRequest& request, Time now) {
  RoomSearch found;
  Time best_at;
  std::pair<bool, std::int64_t> best_shortfall;
  for (WorkerState* worker : workers_) {
    ++comparison_count_;
    const bool ever_fits = Fits(CapacityNeed(request.step()), worker->entry().capacity);
    if (!ever_fits || !MatchesConstraints(*worker, request)) continue;
    const std::int64_t shortfall = Shortfall(*worker, request);
    const std::pair key(shortfall > 0, std::abs(shortfall));
    if (found.awaited == nullptr || key < best_shortfall) {
      found.awaited = worker;
      best_shortfall = key;
    }
    const auto at = ClaimableAt(*worker, request, now);
    if (!at) continue;
    const std::int64_t free = worker->Free().milliprocessors;
    const bool is_better = found.claimable == nullptr || *at < best_at ||
                           (*at == best_at && free < found.claimable->Free().milliprocessors);
    if (!is_better) continue;
    found.claimable = worker;
    best_at = *at;
  }
  return found;
}

void Placer::AddUnclaimedNeed(const PlacementRequest& request) {
  const StepSpec& step = request.step();
  const Resources need = CapacityNeed(step);
  const bool known =
      std::any_of(unclaimed_needs_.begin(), unclaimed_needs_.end(), [&](const UnclaimedNeed& it) {
        return it.service == request.service && it.label == step.required_label &&
               Fits(it.need, need);
      });
  if (!known) unclaimed_needs_.push_back({request.service, step.required_label, need});
}

void Placer::AddClaim(const PlacementRequest& request, WorkerState& worker) {
  awaited_room_.Remove(request.ref());
  claims_.Add(request.ref(), worker, CapacityNeed(request.step()));
}

bool Placer::ClaimOnKnownWorker(const PlacementRequest& request, Time now) {
  const TaskRef task = request.ref();
  const WorkerState* claimed = claims_.WorkerOf(task);
  if (claimed != nullptr && ClaimableAt(*claimed, request, now)) return true;
  claims_.Remove(task);
  for (WorkerState* worker : {request.last_worker, awaited_room_.WorkerOf(task)}) {
    if (worker == nullptr) continue;
    const auto at = ClaimableAt(*worker, request, now);
    if (!at || *at > now - request.waited + kRestartDelay) continue;
    AddClaim(request, *worker);
    return true;
  }
  return false;
}

bool Placer::ClaimFreedRoom(const PlacementRequest& request, Time now) {
  if (request.waited < kMinWaitForFreedRoom) return false;
  WorkerState* best = nullptr;
  for (WorkerState* worker : freed_workers_) {
    ++comparison_count_;
    if (!LeavesClaimedRoom(*worker, request) || ClaimableAt(*worker, request, now) != now) continue;
    const bool is_better =
        best == nullptr || worker->Free().milliprocessors < best->Free().milliprocessors;
    if (is_better) best = worker;
  }
  if (best == nullptr) return false;
  AddClaim(request, *best);
  return true;
}

void Placer::ClaimRoom(const PlacementRequest& request, Time now) {
  const TaskRef task = request.ref();
  if (request.restart && (ClaimOnKnownWorker(request, now) || ClaimFreedRoom(request, now))) return;
  if (!request.restart && awaited_room_.WorkerOf(task) != nullptr) return;
  const bool searched_before = searched_in_vain_.contains(task);
  if (claim_searches_left_ > 0 && !searched_before) {
    searched_in_vain_.insert(task);
    --claim_searches_left_;
    const RoomSearch found = SearchRoom(request, now);
    if (request.restart && found.claimable != nullptr) {
      searched_in_vain_.erase(task);
      AddClaim(request, *found.claimable);
      return;
    }
    // Without a worker to await, no room that first starts may take would help.
    if (found.awaited != nullptr)
      awaited_room_.Add(task, *found.awaited, CapacityNeed(request.step()));
  } else if (!searched_before && awaited_room_.WorkerOf(task) == nullptr) {
    AddUnclaimedNeed(request);
  }
}

bool Placer::CanReserve(const WorkerState& worker, const PlacementRequest& request,
                        Time now) const {
  if (Contains(reserved_workers_, worker) || !MatchesConstraints(worker, request)) return false;
  if (now < worker.starts_paused_until || worker.quarantine.active(now)) return false;
  const Resources claimed = claims_.ClaimedByOthers(worker, request.ref());
  return Fits(CapacityNeed(request.step()) + claimed, worker.Free() + worker.short_task_use());
}

template <typename Workers>
const WorkerState* Placer::FindReservable(const Workers& workers, const PlacementRequest& request,
                                          Time now) const {
  const WorkerState* best = nullptr;
  for (const WorkerState* worker : workers) {
    if (!CanReserve(*worker, request, now)) continue;
    const bool is_better =
        best == nullptr || worker->Free().milliprocessors > best->Free().milliprocessors;
    if (is_better) best = worker;
  }
  return best;
}

void Placer::ReserveWorker(const PlacementRequest& request, Time now) {
  if (reserved_workers_.size() >= MaxReservedWorkers()) return;
  const WorkerState* worker = FindReservable(reserved_before_, request, now);
  if (worker == nullptr && reservation_scans_left_ > 0) {
    --reservation_scans_left_;
    comparison_count_ += workers_.size();
    worker = FindReservable(workers_, request, now);
  }
  if (worker != nullptr) reserved_workers_.push_back(worker);
}

bool Placer::KeepsNeighbourHeadroom(WorkerState& worker, const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  const double min_idle = static_cast<double>(step.need.milliprocessors) * kMinIdleShare;
  if (static_cast<double>(worker.IdleMilliprocessors()) < min_idle) return false;
  return HeadroomUse(worker, request) < 1.0;
}

const std::vector<PressureHeadroom>& Placer::PressureHeadrooms(WorkerState& worker) const {
  if (worker.pressure_headrooms) return *worker.pressure_headrooms;
  std::vector<PressureHeadroom>& headrooms = worker.pressure_headrooms.emplace();
  if (worker.serving_by_image.empty()) return headrooms;
  const BestEffortUsage use = ExpectedBestEffortUsage(worker);
  for (const auto& [image, state] : worker.serving_by_image) {
    headrooms.push_back({image, kPressureLimit - state.peak_base_pressure -
                                    interference_.PredictPressure(image, use)});
  }
  return headrooms;
}

double Placer::HeadroomUse(WorkerState& worker, const PlacementRequest& request) const {
  const double processors =
      static_cast<double>(request.step().need.milliprocessors) / kMilliPerProcessor;
  double worst = 0;
  for (const auto& [image, headroom] : PressureHeadrooms(worker)) {
    const double effect = interference_.EffectPerProcessor(image, request.image_index);
    if (effect < kMinSignificantEffect) continue;
    const double taken = effect * processors;
    worst = std::max(worst, headroom > 0 ? taken / headroom : 1.0);
  }
  return worst;
}

double Placer::Score(WorkerState& worker, const PlacementRequest& request, Time now) const {
  const WorkerEntry& entry = worker.entry();
  const StepSpec& step = request.step();
  const std::int64_t capacity = entry.capacity.milliprocessors;
  double score = -kSlowWorkerCost * std::max(0.0, kSlowWorkerSpeed - worker.speed.SpeedAt(now));
  if (worker.quarantine.active(now)) score -= kQuarantineCost;
  if (!step.preferred_rack.empty() && entry.rack == step.preferred_rack) score += kRackBonus;
  if (step.best_effort) {
    return score + Fraction(worker.IdleMilliprocessors(), capacity) -
           kHeadroomUseCost * HeadroomUse(worker, request);
  }
  score -= Fraction(worker.Free().milliprocessors, capacity);
  if (step.long_running && !step.image.empty()) {
    score -= kMixedImagesCost * worker.CountOtherServingImages(request.image_index);
  }
  return score;
}

WorkerState* Placer::FindBest(const PlacementRequest& request, Time now) {
  WorkerState* best = nullptr;
  double best_score = 0;
  for (WorkerState* worker : workers_) {
    ++comparison_count_;
    if (FindObstacle(*worker, request, now)) continue;
    const double score = Score(*worker, request, now);
    if (best != nullptr && score <= best_score) continue;
    best = worker;
    best_score = score;
  }
  return best;
}

WorkerState* Placer::ChooseClaimed(const PlacementRequest& request, Time now) const {
  WorkerState* worker = claims_.WorkerOf(request.ref());
  const bool fits = worker != nullptr && !FindObstacle(*worker, request, now);
  return fits ? worker : nullptr;
}

WorkerState* Placer::Choose(const PlacementRequest& request, Time now) {
  if (IsKnownUnplaceable(request) || !LeavesShortTaskReserve(request)) return nullptr;
  WorkerState* best = FindBest(request, now);
  const StepSpec& step = request.step();
  // A request that failed because of its own step's limit per worker does not rule out others.
  if (best == nullptr && step.max_per_worker == 0) {
    unplaceable_.push_back({request.service, request.rack, step.required_label, request.image_index,
                            step.best_effort, step.long_running, request.may_probe, request.restart,
                            step.need});
  }
  return best;
}

}  // namespace cactusshelf::jobs
