#include "placement_ranker.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf {
namespace {

// Share of the standard deviation that is added to an effect. Makes pairs with few samples less
// likely, but does not exclude them.
constexpr double kDeviationWeight = 0.5;
// Shares of processors and memory above which tasks slow each other or risk to be killed.
constexpr double kBusyProcessorShare = 0.85;
constexpr double kBusyMemoryShare = 0.85;
// Cost of each task of the same job on the same rack or in the same failure domain. Lower than the
// cost of a noticeable slowdown, so that it only decides between similar workers.
constexpr double kSameRackCost = 0.05;
constexpr double kSameDomainCost = 0.01;
// A class that was recently evicted from a worker returns there only if no other worker fits.
constexpr double kAvoidedClassCost = 10;
// Share of the mitigation threshold above which tasks are likely to be throttled or evicted soon.
constexpr double kNearMitigationShare = 0.85;

double Ratio(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Share of the worker that is unused after the start. Filling up workers leaves capacity for large
// tasks on others.
double UnusedShare(const Resources& available, const Resources& committed, const Resources& size) {
  const Resources left = available - committed - size;
  return (Ratio(left.milliprocessors, available.milliprocessors) +
          Ratio(left.memory_bytes, available.memory_bytes)) /
         2;
}

std::uint32_t CountAt(const std::map<std::uint32_t, std::uint32_t>& counts, std::uint32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

PlacementRanker::PlacementRanker(const CellOptions& options, const UsageModel& usage,
                                 const InterferenceModel& interference)
    : mitigation_start_slowdown_(options.mitigation_start_slowdown),
      usage_(usage),
      interference_(interference) {
  const PlacementWeights& weights = options.weights;
  const double mean = (weights.tail_latency + weights.evictions + weights.throughput) / 3;
  tail_weight_ = weights.tail_latency / mean;
  eviction_weight_ = weights.evictions / mean;
  throughput_weight_ = weights.throughput / mean;
}

double PlacementRanker::Cost(Time now, const Job& job, const WorkerRecord& worker,
                             const Resources& available, const Resources& committed) const {
  const Resources need = usage_.ExpectedUsage(job.job_class, job.spec.size);
  const Resources usage = worker.usage + need;
  const double processors = Ratio(usage.milliprocessors, available.milliprocessors);
  const double memory = Ratio(usage.memory_bytes, available.memory_bytes);
  const double processor_excess = std::max(0.0, processors - kBusyProcessorShare);
  const double memory_excess = std::max(0.0, memory - kBusyMemoryShare);
  const ServiceCost services = CostToServices(job, worker);
  const double near_mitigation =
      std::max(0.0, services.worst_slowdown - kNearMitigationShare * mitigation_start_slowdown_);

  double cost = tail_weight_ * (services.slowdown_increase + processor_excess);
  cost += eviction_weight_ * (near_mitigation + 4 * memory_excess);
  cost += throughput_weight_ *
          (2 * processor_excess + 4 * memory_excess +
           0.1 * UnusedShare(available, committed, job.spec.size) + 0.1 * processors);
  cost += kSameRackCost * CountAt(job.tasks_by_rack, worker.rack);
  cost += kSameDomainCost * CountAt(job.tasks_by_domain, worker.domain);
  const auto avoided = worker.avoid_until.find(job.job_class);
  if (avoided != worker.avoid_until.end() && now < avoided->second) {
    cost += kAvoidedClassCost;
  }
  return cost;
}

PlacementRanker::ServiceCost PlacementRanker::CostToServices(const Job& job,
                                                             const WorkerRecord& worker) const {
  ServiceCost cost;
  for (const ServiceStatus& status : worker.services) {
    const double now =
        interference_.PredictEffect(status.service, worker.history.current(), status.load);
    const PairEffect effect = interference_.Effect(status.service, job.job_class, status.load);
    const double after = now + effect.mean + kDeviationWeight * effect.deviation;
    // The slowest endpoints determine the tail latency of a service. The same increase therefore
    // costs more on a worker on which the service is slow already.
    cost.slowdown_increase += (std::exp(3 * after) - std::exp(3 * now)) / 3 * status.endpoints;
    cost.worst_slowdown = std::max(cost.worst_slowdown, std::exp(after));
  }
  return cost;
}

}  // namespace cactusshelf
