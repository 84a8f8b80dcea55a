#include "placer.h"

#include <algorithm>

#include "best_effort_throttle.h"

namespace cactusshelf::jobs {
namespace {

constexpr double kMilli = 1000.0;
// Preference for the rack of the task's data, in units of a whole worker's free processors.
constexpr double kRackBonus = 4.0;
// Aversion to mixing serving images on a worker, in the same units.
constexpr double kMixedImagesCost = 1.5;
// A best-effort task starts only where it can expect this share of the processors that it wants.
constexpr double kMinIdleShare = 0.8;
// Pressure that a best-effort task may bring a serving neighbour to.
constexpr double kPressureLimit = 0.71;
// Workers below this speed are avoided, the more the slower, also against data on the rack.
constexpr double kSlowBelow = 0.45;
constexpr double kSlowCost = 20.0;
constexpr double kHarmCost = 1.0;
// Workers at a time that short tasks leave for waiting long-running ones.
constexpr std::size_t kMaxReserved = 2;
// A long-running task that has waited so long takes the reserve of short tasks rather than none.
constexpr Duration kReservePatience = std::chrono::seconds(1);

double Share(std::int64_t part, std::int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(whole, 1));
}

}  // namespace

Resources CountedNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.best_effort) need.milliprocessors = 0;
  return need;
}

void Placer::BeginPass(const std::vector<WorkerState*>& workers) {
  workers_ = workers;
  misfits_.clear();
  reserved_.clear();
  free_.clear();
  capacity_.clear();
  for (const WorkerState* worker : workers_) {
    const WorkerEntry& entry = worker->entry();
    free_[entry.pool] += worker->Free();
    capacity_[entry.pool] += entry.capacity;
  }
}

void Placer::OnPlaced(const WorkerState& worker, const StepSpec& step) {
  free_[worker.entry().pool] -= CountedNeed(step);
}

bool Placer::IsMisfit(const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  return std::any_of(misfits_.begin(), misfits_.end(), [&](const Misfit& it) {
    const bool same_kind = it.best_effort == step.best_effort &&
                           it.long_running == step.long_running &&
                           (!step.best_effort || it.image_index == request.image_index);
    return same_kind && it.service == request.service && it.rack == request.rack &&
           it.label == step.required_label && Fits(it.need, step.need);
  });
}

bool Placer::KeepsReserve(const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  if (!step.long_running || step.best_effort) return true;
  if (request.waited >= kReservePatience) return true;
  const auto free = free_.find(request.service);
  if (free == free_.end()) return false;
  const std::int64_t left = free->second.milliprocessors - step.need.milliprocessors;
  return Share(left, capacity_.at(request.service).milliprocessors) >= options_.short_task_reserve;
}

// All but the room and the neighbours.
bool Placer::Suits(const WorkerState& worker, const PlacementRequest& request) const {
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
         worker.RunsOfStep(request.job->key, task.occurrence, task.step) < step.max_per_worker;
}

bool Placer::MayRun(WorkerState& worker, const PlacementRequest& request, Time now) const {
  const StepSpec& step = request.step();
  if (now < worker.no_starts_before || !Fits(CountedNeed(step), worker.Free())) return false;
  if (!Suits(worker, request)) return false;
  if (step.best_effort) return SparesNeighbours(worker, request);
  return step.long_running || !IsReserved(worker);
}

bool Placer::IsReserved(const WorkerState& worker) const {
  return std::find(reserved_.begin(), reserved_.end(), &worker) != reserved_.end();
}

void Placer::Reserve(const PlacementRequest& request) {
  if (reserved_.size() >= kMaxReserved) return;
  const WorkerState* best = nullptr;
  for (const WorkerState* worker : workers_) {
    if (!Suits(*worker, request) || IsReserved(*worker)) continue;
    Resources later = worker->Free();
    later.milliprocessors += worker->passing_milliprocessors();
    if (!Fits(CountedNeed(request.step()), later)) continue;
    const bool sooner =
        best == nullptr || worker->Free().milliprocessors > best->Free().milliprocessors;
    if (sooner) best = worker;
  }
  if (best != nullptr) reserved_.push_back(best);
}

bool Placer::SparesNeighbours(WorkerState& worker, const PlacementRequest& request) const {
  const StepSpec& step = request.step();
  const double wanted = static_cast<double>(step.need.milliprocessors) * kMinIdleShare;
  if (static_cast<double>(worker.IdleMilliprocessors()) < wanted) return false;
  return Harm(worker, request) < 1.0;
}

const std::vector<PressureRoom>& Placer::PressureRooms(WorkerState& worker) const {
  if (worker.pressure_rooms) return *worker.pressure_rooms;
  std::vector<PressureRoom>& rooms = worker.pressure_rooms.emplace();
  if (worker.serving.empty()) return rooms;
  const FillUse use = ExpectedUse(worker);
  for (const auto& [image, state] : worker.serving) {
    rooms.push_back({image, kPressureLimit - state.peak - neighbours_.Predict(image, use)});
  }
  return rooms;
}

double Placer::Harm(WorkerState& worker, const PlacementRequest& request) const {
  const double processors = static_cast<double>(request.step().need.milliprocessors) / kMilli;
  double worst = 0;
  for (const auto& [image, room] : PressureRooms(worker)) {
    const double effect = neighbours_.Effect(image, request.image_index);
    if (effect < kLeastEffect) continue;
    const double taken = effect * processors;
    worst = std::max(worst, room > 0 ? taken / room : 1.0);
  }
  return worst;
}

double Placer::Score(WorkerState& worker, const PlacementRequest& request, Time now) const {
  const WorkerEntry& entry = worker.entry();
  const StepSpec& step = request.step();
  const std::int64_t capacity = entry.capacity.milliprocessors;
  double score = -kSlowCost * std::max(0.0, kSlowBelow - worker.speed.At(now));
  if (!step.preferred_rack.empty() && entry.rack == step.preferred_rack) score += kRackBonus;
  if (step.best_effort) {
    return score + Share(worker.IdleMilliprocessors(), capacity) -
           kHarmCost * Harm(worker, request);
  }
  score -= Share(worker.Free().milliprocessors, capacity);
  if (step.long_running && !step.image.empty()) {
    score -= kMixedImagesCost * worker.OtherServingImages(request.image_index);
  }
  return score;
}

WorkerState* Placer::Choose(const PlacementRequest& request, Time now) {
  if (IsMisfit(request) || !KeepsReserve(request)) return nullptr;
  WorkerState* best = nullptr;
  double best_score = 0;
  for (WorkerState* worker : workers_) {
    if (!MayRun(*worker, request, now)) continue;
    const double score = Score(*worker, request, now);
    if (best != nullptr && score <= best_score) continue;
    best = worker;
    best_score = score;
  }
  const StepSpec& step = request.step();
  // A limit on tasks of one step says nothing of other steps.
  if (best == nullptr && step.max_per_worker == 0) {
    misfits_.push_back({request.service, request.rack, step.required_label, request.image_index,
                        step.best_effort, step.long_running, step.need});
  }
  return best;
}

}  // namespace cactusshelf::jobs
