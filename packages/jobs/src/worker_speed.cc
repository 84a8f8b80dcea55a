#include "worker_speed.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf::jobs {
namespace {

// Weight of an observation, for each second of its duration.
constexpr double kWeightPerSecond = 0.5;
// Time in which the measured slowness decays by half.
constexpr std::chrono::duration<double> kHalfLife = std::chrono::seconds(3);

}  // namespace

void WorkerSpeed::Observe(double progress, Duration estimate, Duration elapsed, Time now) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const double rate = progress * std::chrono::duration<double>(estimate).count() / seconds;
  const double observed = 1.0 - std::clamp(rate, 0.0, 1.0);
  const double weight = std::min(1.0, seconds * kWeightPerSecond);
  const double before = 1.0 - SpeedAt(now);
  slowness_ = before + weight * (observed - before);
  observed_at_ = now;
}

double WorkerSpeed::SpeedAt(Time now) const {
  const double half_lives = std::chrono::duration<double>(now - observed_at_) / kHalfLife;
  return 1.0 - slowness_ * std::exp2(-half_lives);
}

}  // namespace cactusshelf::jobs
