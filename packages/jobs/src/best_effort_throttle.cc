#include "best_effort_throttle.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMilli = 1000.0;
constexpr double kFullPace = 100.0;  // Percent.
constexpr int kPaceStep = 10;        // Percent; smaller changes are not worth an order.
constexpr int kLowestPace = 10;      // Percent; below this the run is paused.
// Pressure that best-effort neighbours may bring a serving task to.
constexpr double kPressureGoal = 0.73;
// A pressure that was seen is expected to return within this time, as loads go up and down.
constexpr Duration kPeakMemory = seconds(10);
// The model may be wrong: after so long above the target every neighbour is suspect and pauses.
constexpr Duration kOverPatience = seconds(1);
// Tails far above the target come from a backlog, whose length says nothing of the present load.
constexpr double kBacklogFactor = 3.0;

int RoundPace(double percent) {
  const int pace = static_cast<int>(percent) / kPaceStep * kPaceStep;
  return pace < kLowestPace ? 0 : pace;
}

FillUse ReportedUse(const WorkerState& worker) {
  FillUse use;
  for (const auto& [ref, run] : worker.runs()) {
    if (run.best_effort) use[run.image_index] += static_cast<double>(run.load) / kMilli;
  }
  return use;
}

double WantedProcessors(const Run& run) {
  return static_cast<double>(run.milliprocessors) / kMilli;
}

}  // namespace

FillUse ExpectedUse(const WorkerState& worker) {
  FillUse use;
  for (const auto& [ref, run] : worker.runs()) {
    if (!run.best_effort) continue;
    use[run.image_index] += WantedProcessors(run) * run.pace / kFullPace;
  }
  return use;
}

void PaceControl::Observe(WorkerState& worker, NeighbourModel& model, const FillUse& use,
                          Time now) const {
  std::map<int, ServingState> seen;
  for (const auto& [ref, run] : worker.runs()) {
    const bool serves = run.latency_target > Duration::zero();
    if (!serves || run.phase != RunPhase::kRunning || run.load <= 0) continue;
    const Duration tail = milliseconds(run.load);
    ServingState& state = seen[run.image_index];
    state.pressure = std::max(state.pressure, PressureOf(tail, run.latency_target));
    state.backlog = state.backlog || tail > run.latency_target * kBacklogFactor;
  }
  for (auto& [image, state] : seen) {
    const auto before = worker.serving.find(image);
    const bool known = before != worker.serving.end();
    if (known && !state.backlog && !before->second.backlog) {
      model.Learn(image, worker.fill_use, use, state.pressure - before->second.pressure);
    }
    state.own_pressure = state.pressure - model.Predict(image, use);
    state.over_since = now;
    state.peak = state.own_pressure;
    if (!known) continue;
    const ServingState& last = before->second;
    const double fade = std::chrono::duration<double>(now - worker.reported_at) /
                        std::chrono::duration<double>(kPeakMemory);
    if (state.backlog) state.own_pressure = last.own_pressure;
    state.peak = std::max(state.own_pressure, last.peak + fade * (state.own_pressure - last.peak));
    if (state.pressure >= kPressureAtTarget && last.pressure >= kPressureAtTarget) {
      state.over_since = last.over_since;
    }
  }
  worker.serving = std::move(seen);
  worker.fill_use = use;
  worker.reported_at = now;
}

// Percent at which `run` may go so that each serving neighbour stays below the goal.
double PaceControl::AllowedPace(const WorkerState& worker, const NeighbourModel& model,
                                const Run& run) const {
  double pace = kFullPace;
  for (const auto& [image, state] : worker.serving) {
    const double effect = model.Effect(image, run.image_index);
    const bool over = state.pressure >= kPressureAtTarget;
    if (effect < kLeastEffect) {
      const bool persistent = over && worker.reported_at - state.over_since > kOverPatience;
      if (persistent) pace = 0;
      continue;
    }
    double wanted = 0;
    for (const auto& [ref, other] : worker.runs()) {
      if (!other.best_effort) continue;
      const double other_effect = model.Effect(image, other.image_index);
      if (other_effect >= kLeastEffect) wanted += other_effect * WantedProcessors(other);
    }
    const double room = std::max(0.0, kPressureGoal - state.own_pressure);
    if (wanted > room) pace = std::min(pace, kFullPace * room / wanted);
    if (over) pace = std::min(pace, state.backlog ? 0.0 : run.pace / 2.0);
  }
  return pace;
}

void PaceControl::Update(WorkerState& worker, NeighbourModel& model, Time now) const {
  Observe(worker, model, ReportedUse(worker), now);
  worker.pressure_rooms.reset();
  for (auto& [ref, run] : worker.runs()) {
    if (!run.best_effort || run.phase != RunPhase::kRunning) continue;
    run.pace = RoundPace(AllowedPace(worker, model, run));
  }
}

}  // namespace cactusshelf::jobs
