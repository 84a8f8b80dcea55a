#include "placer.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

// Preference for the rack of the task's data, in units of a whole worker's free processors.
constexpr double kRackBonus = 4.0;
// A best-effort task starts only where it can expect this share of the processors that it wants.
constexpr double kMinIdleShare = 0.7;
// Cost of a serving task beside a best-effort one, as a share of a worker's processors.
constexpr double kServingNeighbourCost = 0.04;

}  // namespace

Resources CountedNeed(const StepSpec& step) {
  Resources need = step.need;
  if (step.best_effort) need.milliprocessors = 0;
  return need;
}

bool Placer::MayRun(const WorkerState& worker, const SubmittedJob& job, const TaskId& task,
                    const std::string& service, Time now) const {
  const WorkerEntry& entry = worker.entry();
  const StepSpec& step = job.spec.steps[static_cast<std::size_t>(task.step)];
  if (entry.pool != service || entry.draining || !worker.listed) return false;
  if (!worker.visited || !worker.reachable || !worker.rostered) return false;
  if (now < worker.no_starts_before) return false;
  if (!Fits(CountedNeed(step), worker.Free())) return false;
  if (!step.required_label.empty()) {
    const auto& labels = entry.labels;
    if (std::find(labels.begin(), labels.end(), step.required_label) == labels.end()) return false;
  }
  if (step.max_per_worker > 0 &&
      worker.RunsOfStep(job.key, task.occurrence, task.step) >= step.max_per_worker) {
    return false;
  }
  if (!step.best_effort) return true;
  const double wanted = static_cast<double>(step.need.milliprocessors) * kMinIdleShare;
  return static_cast<double>(worker.IdleMilliprocessors()) >= wanted;
}

double Placer::Score(const WorkerState& worker, const StepSpec& step) const {
  const WorkerEntry& entry = worker.entry();
  const auto capacity =
      static_cast<double>(std::max<std::int64_t>(entry.capacity.milliprocessors, 1));
  double score = 0;
  if (!step.preferred_rack.empty() && entry.rack == step.preferred_rack) score += kRackBonus;
  if (!step.best_effort) {
    return score - static_cast<double>(worker.Free().milliprocessors) / capacity;
  }
  score += static_cast<double>(worker.IdleMilliprocessors()) / capacity;
  score -= worker.serving_runs() * kServingNeighbourCost;
  return score;
}

WorkerState* Placer::Choose(const std::vector<WorkerState*>& workers, const SubmittedJob& job,
                            const TaskId& task, const std::string& service, const std::string& rack,
                            Time now) {
  const StepSpec& step = job.spec.steps[static_cast<std::size_t>(task.step)];
  if (IsMisfit(step, service, rack)) return nullptr;
  WorkerState* best = nullptr;
  double best_score = 0;
  for (WorkerState* worker : workers) {
    if (!rack.empty() && worker->entry().rack != rack) continue;
    if (!MayRun(*worker, job, task, service, now)) continue;
    const double score = Score(*worker, step);
    if (best != nullptr && score <= best_score) continue;
    best = worker;
    best_score = score;
  }
  // A limit on tasks of one step says nothing of other steps.
  if (best == nullptr && step.max_per_worker == 0) {
    misfits_.push_back({service, rack, step.required_label, step.best_effort, step.need});
  }
  return best;
}

bool Placer::IsMisfit(const StepSpec& step, const std::string& service,
                      const std::string& rack) const {
  return std::any_of(misfits_.begin(), misfits_.end(), [&](const Misfit& it) {
    return it.service == service && it.rack == rack && it.label == step.required_label &&
           it.best_effort == step.best_effort && Fits(it.need, step.need);
  });
}

}  // namespace cactusshelf::jobs
