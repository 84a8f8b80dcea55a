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
// Reduction of the slowdown of one endpoint that is worth an eviction, and one that is worth
// holding up one processor, when the weights are equal.
constexpr double kEvictionCost = 2;
constexpr double kThrottleCost = 3;
// A throttle stays for at least this time, in units of the patience. The time doubles with each
// throttle of the task, so that a task that disturbs whenever it is let go does not alternate.
constexpr int kLeastThrottleTime = 2;
constexpr std::uint32_t kMostDoublings = 6;

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
      throttle_share_(static_cast<double>(options.throttle_permille) / kFullRate),
      tail_(ranker.tail_weight()),
      evictions_(ranker.eviction_weight()),
      throughput_(ranker.throughput_weight()),
      interference_(interference) {
  const double tail = std::max(tail_, 0.01);
  begin_ = 1 + (options.relief_begin_slowdown - 1) * std::sqrt(std::max(1.0, throughput_ / tail));
}

Relief ReliefPolicy::Decide(Time now, const WorkerRecord& worker, const Resources& available,
                            bool may_evict) const {
  if (now < worker.relief_checked + kSettle) {
    return {};
  }
  Relief relief = may_evict ? RelieveMemory(worker, available) : Relief{};
  if (relief.action != ReliefAction::kNone) {
    return relief;
  }
  const auto worst = std::max_element(worker.services.begin(), worker.services.end(),
                                      [](const ServiceStatus& left, const ServiceStatus& right) {
                                        return left.slowdown < right.slowdown;
                                      });
  if (worst != worker.services.end() && worst->reports_above >= kReportsForRelief) {
    return RelieveService(now, worker, *worst, may_evict);
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

// Takes the step that is worth most: what the service gains less what the batch work loses, each by
// its weight. Throttling everything would keep room occupied for longer than it helps.
Relief ReliefPolicy::RelieveService(Time now, const WorkerRecord& worker,
                                    const ServiceStatus& service, bool may_evict) const {
  Relief best;
  double best_worth = 0;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.phase != PlacementPhase::kRunning || IsUrgent(placement)) {
      continue;
    }
    const double effect =
        interference_.Effect(service.service, placement.job_class, service.load).mean;
    const bool is_throttled = placement.permille != kFullRate;
    if (is_throttled && (!may_evict || now < placement.throttled_at + patience_)) {
      continue;
    }
    const double removed = effect * (is_throttled ? throttle_share_ : 1 - throttle_share_);
    const double gain = tail_ * service.endpoints * service.slowdown * (1 - std::exp(-removed));
    const double processors = static_cast<double>(placement.size.milliprocessors) / 1000;
    const double loss = is_throttled
                            ? kEvictionCost * evictions_
                            : kThrottleCost * throughput_ * processors * (1 - throttle_share_);
    if (gain - loss > best_worth) {
      best_worth = gain - loss;
      best = {is_throttled ? ReliefAction::kEvict : ReliefAction::kThrottle, id};
    }
  }
  return best;
}

Duration ReliefPolicy::LeastThrottleTime(const Placement& placement) const {
  const std::uint32_t doublings = std::min(std::max(placement.throttles, 1U) - 1, kMostDoublings);
  return patience_ * kLeastThrottleTime * (1 << doublings);
}

Relief ReliefPolicy::Lift(Time now, const WorkerRecord& worker) const {
  const Placement* least = nullptr;
  double least_rise = 0;
  for (const auto& [id, placement] : worker.placements) {
    if (placement.permille == kFullRate || placement.phase != PlacementPhase::kRunning ||
        now < placement.throttled_at + LeastThrottleTime(placement)) {
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
