#include "pace_control.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;

constexpr int kFullPace = 100;           // Percent.
constexpr int kRaise = 15;               // Percent of full pace, a report.
constexpr int kLowestPace = 10;          // Below this the run is paused.
constexpr double kNearTarget = 0.85;     // Of the target: the pace is lowered.
constexpr double kFarFromTarget = 0.65;  // Of the target: the pace may rise.

// Highest tail latency of the serving runs, relative to its target.
double WorstLatency(const WorkerState& worker) {
  double worst = 0;
  for (const auto& [ref, run] : worker.runs()) {
    if (run.latency_target <= Duration::zero() || run.phase != RunPhase::kRunning) continue;
    const double target = std::chrono::duration<double, std::milli>(run.latency_target).count();
    worst = std::max(worst, static_cast<double>(run.load) / target);
  }
  return worst;
}

int NextPace(int pace, double worst) {
  if (worst >= 1.0) return pace / 3 < kLowestPace ? 0 : pace / 3;
  if (worst >= kNearTarget) return std::max(pace * 2 / 3, kLowestPace);
  if (worst <= kFarFromTarget) return std::min(pace + kRaise, kFullPace);
  return pace;
}

}  // namespace

void PaceControl::Update(WorkerState& worker, Time /*now*/) const {
  const double worst = WorstLatency(worker);
  for (auto& [ref, run] : worker.runs()) {
    if (!run.best_effort || run.phase != RunPhase::kRunning) continue;
    run.pace = NextPace(run.pace, worst);
  }
}

}  // namespace cactusshelf::jobs
