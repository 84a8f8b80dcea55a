#include "mitigation_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRatePermille = 1000;
// Consecutive reports of a slow service that are required, since one report may be an outlier.
constexpr std::uint32_t kMinSlowReports = 2;
// Measurements lag by some seconds and reports by up to 5 s. The effect of a step is visible only
// after both.
constexpr Duration kSettleTime = std::chrono::seconds(10);
// Share of the available memory above which tasks risk to be killed, which loses their progress.
constexpr double kMemoryLimitShare = 0.95;
// Costs of evicting one task and of fully throttling one processor, as the equivalent reduction of
// the slowdown of one endpoint. For equal weights.
constexpr double kEvictionCostFactor = 2;
constexpr double kThrottleCostPerProcessor = 3;
// Minimum duration of a throttle, in units of the evaluation period. The duration doubles with each
// throttle of the task, so that a task that interferes again after each lift is not throttled and
// lifted in quick alternation.
constexpr int kMinThrottlePeriods = 2;
constexpr std::uint32_t kMaxDoublings = 6;

double RateShare(const Placement& placement) {
  return static_cast<double>(placement.rate_permille) / kFullRatePermille;
}

bool IsUrgent(const Placement& placement) {
  return placement.job != nullptr && placement.job->spec.urgent;
}

}  // namespace

MitigationPolicy::MitigationPolicy(const CellOptions& options, const PlacementRanker& ranker,
                                   const InterferenceModel& interference)
    : throttle_evaluation_period_(options.throttle_evaluation_period),
      end_slowdown_(options.mitigation_end_slowdown),
      throttle_share_(static_cast<double>(options.throttle_permille) / kFullRatePermille),
      tail_weight_(ranker.tail_weight()),
      eviction_weight_(ranker.eviction_weight()),
      throughput_weight_(ranker.throughput_weight()),
      interference_(interference) {
  const double tail = std::max(tail_weight_, 0.01);
  start_slowdown_ = 1 + (options.mitigation_start_slowdown - 1) *
                            std::sqrt(std::max(1.0, throughput_weight_ / tail));
}

MitigationStep MitigationPolicy::Decide(Time now, const WorkerRecord& worker,
                                        const Resources& available, bool may_evict) const {
  if (now < worker.last_mitigation_at + kSettleTime) {
    return {};
  }
  MitigationStep step = may_evict ? DecideForMemory(worker, available) : MitigationStep{};
  if (step.action != MitigationAction::kNone) {
    return step;
  }
  const auto worst = std::max_element(worker.services.begin(), worker.services.end(),
                                      [](const ServiceStatus& left, const ServiceStatus& right) {
                                        return left.slowdown < right.slowdown;
                                      });
  if (worst != worker.services.end() && worst->consecutive_slow_reports >= kMinSlowReports) {
    return DecideForService(now, worker, *worst, may_evict);
  }
  if (worst == worker.services.end() || worst->slowdown < end_slowdown_) {
    return DecideToLiftThrottle(now, worker);
  }
  return {};
}

MitigationStep MitigationPolicy::DecideForMemory(const WorkerRecord& worker,
                                                 const Resources& available) const {
  std::int64_t used = 0;
  const Placement* worst = nullptr;
  std::int64_t largest_excess = 0;
  for (const auto& [id, placement] : worker.placements) {
    used += placement.usage.memory_bytes;
    const std::int64_t excess = placement.usage.memory_bytes - placement.size.memory_bytes;
    if (placement.phase == PlacementPhase::kRunning && !IsUrgent(placement) &&
        excess > largest_excess) {
      worst = &placement;
      largest_excess = excess;
    }
  }
  if (worst == nullptr ||
      static_cast<double>(used) < kMemoryLimitShare * static_cast<double>(available.memory_bytes)) {
    return {};
  }
  return {MitigationAction::kEvict, worst->id};
}

// Chooses the step with the greatest net gain: the weighted gain of the service minus the weighted
// loss of the batch work. Throttling all tasks would occupy capacity longer than it helps.
MitigationStep MitigationPolicy::DecideForService(Time now, const WorkerRecord& worker,
                                                  const ServiceStatus& service,
                                                  bool may_evict) const {
  MitigationStep best;
  double best_net_gain = 0;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.phase != PlacementPhase::kRunning || IsUrgent(placement)) {
      continue;
    }
    const double effect =
        interference_.Effect(service.service, placement.job_class, service.load).mean;
    const bool is_throttled = placement.rate_permille != kFullRatePermille;
    if (is_throttled &&
        (!may_evict || now < placement.throttled_at + throttle_evaluation_period_)) {
      continue;
    }
    const double removed = effect * (is_throttled ? throttle_share_ : 1 - throttle_share_);
    const double gain =
        tail_weight_ * service.endpoints * service.slowdown * (1 - std::exp(-removed));
    const double processors = static_cast<double>(placement.size.milliprocessors) / 1000;
    const double loss = is_throttled ? kEvictionCostFactor * eviction_weight_
                                     : kThrottleCostPerProcessor * throughput_weight_ * processors *
                                           (1 - throttle_share_);
    if (gain - loss > best_net_gain) {
      best_net_gain = gain - loss;
      best = {is_throttled ? MitigationAction::kEvict : MitigationAction::kThrottle, id};
    }
  }
  return best;
}

Duration MitigationPolicy::MinThrottleDuration(const Placement& placement) const {
  const std::uint32_t doublings =
      std::min(std::max(placement.throttle_count, 1U) - 1, kMaxDoublings);
  return throttle_evaluation_period_ * kMinThrottlePeriods * (1 << doublings);
}

MitigationStep MitigationPolicy::DecideToLiftThrottle(Time now, const WorkerRecord& worker) const {
  const Placement* best = nullptr;
  double smallest_rise = 0;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.rate_permille == kFullRatePermille ||
        placement.phase != PlacementPhase::kRunning ||
        now < placement.throttled_at + MinThrottleDuration(placement)) {
      continue;
    }
    double after = 1;
    double rise = 0;
    for (const ServiceStatus& service : worker.services) {
      const double effect =
          interference_.Effect(service.service, placement.job_class, service.load).mean *
          (1 - RateShare(placement));
      rise = std::max(rise, effect);
      after = std::max(after, service.slowdown * std::exp(effect));
    }
    if (after < start_slowdown_ && (best == nullptr || rise < smallest_rise)) {
      best = &placement;
      smallest_rise = rise;
    }
  }
  return best == nullptr ? MitigationStep{}
                         : MitigationStep{MitigationAction::kLiftThrottle, best->id};
}

}  // namespace cactusshelf
