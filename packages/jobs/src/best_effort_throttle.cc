#include "best_effort_throttle.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMilliPerProcessor = 1000.0;
constexpr double kFullCpuSharePercent = 100.0;
constexpr int kCpuShareStepPercent = 10;  // Smaller changes are not worth an order.
constexpr int kMinCpuSharePercent = 10;   // Below this share the run is paused.
// Maximum pressure of a serving task that best-effort neighbours may cause.
constexpr double kTargetPressure = 0.73;
// Time over which an observed peak of the pressure decays. Loads fluctuate, so a peak is expected
// to recur within this time.
constexpr Duration kPeakDecayTime = seconds(10);
// The model may be wrong: after this time above the latency target, all best-effort neighbours are
// paused, including those without a known effect.
constexpr Duration kMaxTimeAboveTarget = seconds(1);
// A tail latency above this multiple of the target comes from a backlog of requests, whose length
// does not show the present load.
constexpr double kBacklogLatencyFactor = 3.0;

int RoundCpuShare(double percent) {
  const int share = static_cast<int>(percent) / kCpuShareStepPercent * kCpuShareStepPercent;
  return share < kMinCpuSharePercent ? 0 : share;
}

BestEffortUsage ReportedBestEffortUsage(const WorkerState& worker) {
  BestEffortUsage use;
  for (const auto& [ref, run] : worker.runs()) {
    if (run.best_effort) use[run.image_index] += static_cast<double>(run.load) / kMilliPerProcessor;
  }
  return use;
}

double RequestedProcessors(const Run& run) {
  return static_cast<double>(run.milliprocessors) / kMilliPerProcessor;
}

}  // namespace

BestEffortUsage ExpectedBestEffortUsage(const WorkerState& worker) {
  BestEffortUsage use;
  for (const auto& [ref, run] : worker.runs()) {
    if (!run.best_effort) continue;
    use[run.image_index] += RequestedProcessors(run) * run.cpu_share_percent / kFullCpuSharePercent;
  }
  return use;
}

void BestEffortThrottle::Observe(WorkerState& worker, InterferenceModel& model,
                                 const BestEffortUsage& use, Time now) const {
  std::map<int, ServingState> observed;
  for (const auto& [ref, run] : worker.runs()) {
    const bool serves = run.latency_target > Duration::zero();
    if (!serves || run.phase != RunPhase::kRunning || run.load <= 0) continue;
    const Duration tail = milliseconds(run.load);
    ServingState& state = observed[run.image_index];
    state.pressure = std::max(state.pressure, TailLatencyPressure(tail, run.latency_target));
    state.has_backlog = state.has_backlog || tail > run.latency_target * kBacklogLatencyFactor;
  }
  for (auto& [image, state] : observed) {
    const auto before = worker.serving_by_image.find(image);
    const bool known = before != worker.serving_by_image.end();
    if (known && !state.has_backlog && !before->second.has_backlog) {
      model.Learn(image, worker.best_effort_usage, use, state.pressure - before->second.pressure);
    }
    state.base_pressure = state.pressure - model.PredictPressure(image, use);
    state.above_target_since = now;
    state.peak_base_pressure = state.base_pressure;
    if (!known) continue;
    const ServingState& last = before->second;
    const double fade = std::chrono::duration<double>(now - worker.reported_at) /
                        std::chrono::duration<double>(kPeakDecayTime);
    if (state.has_backlog) state.base_pressure = last.base_pressure;
    state.peak_base_pressure =
        std::max(state.base_pressure,
                 last.peak_base_pressure + fade * (state.base_pressure - last.peak_base_pressure));
    if (state.pressure >= kPressureAtTarget && last.pressure >= kPressureAtTarget) {
      state.above_target_since = last.above_target_since;
    }
  }
  worker.serving_by_image = std::move(observed);
  worker.best_effort_usage = use;
  worker.reported_at = now;
}

double BestEffortThrottle::AllowedCpuSharePercent(const WorkerState& worker,
                                                  const InterferenceModel& model,
                                                  const Run& run) const {
  double share = kFullCpuSharePercent;
  for (const auto& [image, state] : worker.serving_by_image) {
    const double effect = model.EffectPerProcessor(image, run.image_index);
    const bool above_target = state.pressure >= kPressureAtTarget;
    if (effect < kMinSignificantEffect) {
      const bool persistent =
          above_target && worker.reported_at - state.above_target_since > kMaxTimeAboveTarget;
      if (persistent) share = 0;
      continue;
    }
    double requested = 0;
    for (const auto& [ref, other] : worker.runs()) {
      if (!other.best_effort) continue;
      const double other_effect = model.EffectPerProcessor(image, other.image_index);
      if (other_effect >= kMinSignificantEffect)
        requested += other_effect * RequestedProcessors(other);
    }
    const double headroom = std::max(0.0, kTargetPressure - state.base_pressure);
    if (requested > headroom) share = std::min(share, kFullCpuSharePercent * headroom / requested);
    if (above_target)
      share = std::min(share, state.has_backlog ? 0.0 : run.cpu_share_percent / 2.0);
  }
  return share;
}

void BestEffortThrottle::Update(WorkerState& worker, InterferenceModel& model, Time now) const {
  Observe(worker, model, ReportedBestEffortUsage(worker), now);
  worker.pressure_headrooms.reset();
  for (auto& [ref, run] : worker.runs()) {
    if (!run.best_effort || run.phase != RunPhase::kRunning) continue;
    run.cpu_share_percent = RoundCpuShare(AllowedCpuSharePercent(worker, model, run));
  }
}

}  // namespace cactusshelf::jobs
