#include "relief_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cactusshelf {
namespace {

constexpr std::uint32_t kFullRate = 1000;
// A single report may be an outlier.
constexpr std::uint32_t kReportsForRelief = 2;
// Measurements lag by some seconds and reports by up to 5 s; a step shows only after that.
constexpr Duration kSettle = std::chrono::seconds(10);
// Memory beyond this share of the worker's ends in tasks being killed, which wastes their work.
constexpr double kMemoryLimit = 0.95;
// Effects below this are not worth acting on.
constexpr double kLeastEffect = 0.03;
// Excess slowdown that is worth one eviction when both weights are equal.
constexpr double kEvictionWorth = 0.5;
// A throttle is lifted at most this often after it was set, in units of the patience.
constexpr int kLeastThrottleTime = 2;

double ShareOf(const Placement& placement) {
  return static_cast<double>(placement.permille) / kFullRate;
}

bool IsUrgent(const Placement& placement) {
  return placement.job != nullptr && placement.job->spec.urgent;
}

}  // namespace

ReliefPolicy::ReliefPolicy(const CellOptions& options, const PlacementRanker& ranker,
                           const InterferenceModel& interference)
    : patience_(options.throttle_patience),
      end_(options.relief_end_slowdown),
      interference_(interference) {
  const double tail = std::max(ranker.tail_weight(), 0.01);
  // A throttle costs throughput and an eviction work; both must be worth it by the weights.
  begin_ = 1 + (options.relief_begin_slowdown - 1) *
                   std::sqrt(std::max(1.0, ranker.throughput_weight() / tail));
  evict_above_ = std::max(begin_, 1 + kEvictionWorth * ranker.eviction_weight() / tail);
}

Relief ReliefPolicy::Decide(Time now, const WorkerRecord& worker,
                            const Resources& available) const {
  if (now < worker.relief_checked + kSettle) {
    return {};
  }
  Relief relief = RelieveMemory(worker, available);
  if (relief.action != ReliefAction::kNone) {
    return relief;
  }
  const auto worst = std::max_element(worker.services.begin(), worker.services.end(),
                                      [](const ServiceStatus& left, const ServiceStatus& right) {
                                        return left.slowdown < right.slowdown;
                                      });
  if (worst != worker.services.end() && worst->reports_above >= kReportsForRelief) {
    return RelieveService(now, worker, *worst);
  }
  if (worst == worker.services.end() || worst->slowdown < end_) {
    return Lift(now, worker);
  }
  return {};
}

Relief ReliefPolicy::RelieveMemory(const WorkerRecord& worker, const Resources& available) const {
  std::int64_t used = 0;
  const Placement* worst = nullptr;
  std::int64_t worst_excess = 0;
  for (const auto& [id, placement] : worker.placements) {
    used += placement.usage.memory_bytes;
    const std::int64_t excess = placement.usage.memory_bytes - placement.size.memory_bytes;
    if (placement.phase == PlacementPhase::kRunning && !IsUrgent(placement) &&
        excess > worst_excess) {
      worst = &placement;
      worst_excess = excess;
    }
  }
  if (worst == nullptr ||
      static_cast<double>(used) < kMemoryLimit * static_cast<double>(available.memory_bytes)) {
    return {};
  }
  return {ReliefAction::kEvict, worst->id};
}

Relief ReliefPolicy::RelieveService(Time now, const WorkerRecord& worker,
                                    const ServiceStatus& service) const {
  const Placement* culprit = nullptr;
  double greatest = kLeastEffect;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.phase != PlacementPhase::kRunning || IsUrgent(placement)) {
      continue;
    }
    const PairEffect effect =
        interference_.Effect(service.service, placement.job_class, service.load);
    const double share = (effect.mean + effect.deviation / 2) * ShareOf(placement);
    if (share > greatest) {
      greatest = share;
      culprit = &placement;
    }
  }
  if (culprit == nullptr) {
    return {};
  }
  if (culprit->permille == kFullRate) {
    return {ReliefAction::kThrottle, culprit->id};
  }
  if (now >= culprit->throttled_at + patience_ && service.slowdown > evict_above_) {
    return {ReliefAction::kEvict, culprit->id};
  }
  return {};
}

Relief ReliefPolicy::Lift(Time now, const WorkerRecord& worker) const {
  const Placement* least = nullptr;
  double least_rise = 0;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.permille == kFullRate || placement.phase != PlacementPhase::kRunning ||
        now < placement.throttled_at + kLeastThrottleTime * patience_) {
      continue;
    }
    double after = 1;
    double rise = 0;
    for (const ServiceStatus& service : worker.services) {
      const double effect =
          interference_.Effect(service.service, placement.job_class, service.load).mean *
          (1 - ShareOf(placement));
      rise = std::max(rise, effect);
      after = std::max(after, service.slowdown * std::exp(effect));
    }
    if (after < begin_ && (least == nullptr || rise < least_rise)) {
      least = &placement;
      least_rise = rise;
    }
  }
  return least == nullptr ? Relief{} : Relief{ReliefAction::kLiftThrottle, least->id};
}

}  // namespace cactusshelf
