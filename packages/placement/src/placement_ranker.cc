#include "placement_ranker.h"

#include <algorithm>
#include <cmath>

namespace cactusshelf {
namespace {

// Share of its deviation that is added to an effect, so that little known pairs are tried with
// care but are tried.
constexpr double kCaution = 0.5;
// Shares of processors and memory above which tasks begin to slow or endanger each other.
constexpr double kBusyProcessors = 0.85;
constexpr double kBusyMemory = 0.85;
// Weight of each task of the same job on the same rack or failure domain. Below the weight of a
// noticeable slowdown, so that it decides between otherwise similar workers.
constexpr double kSameRack = 0.05;
constexpr double kSameDomain = 0.01;
// A class that was just evicted from a worker goes back only if there is nowhere else.
constexpr double kAvoidedCost = 10;
// Relief follows soon above this share of the limit.
constexpr double kNearRelief = 0.85;

double Ratio(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Prefers workers that a task fills up, which leaves room for large tasks elsewhere.
double Leftover(const Resources& available, const Resources& committed, const Resources& size) {
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
    : relief_begin_(options.relief_begin_slowdown), usage_(usage), interference_(interference) {
  const PlacementWeights& weights = options.weights;
  const double mean = (weights.tail_latency + weights.evictions + weights.throughput) / 3;
  tail_ = weights.tail_latency / mean;
  evictions_ = weights.evictions / mean;
  throughput_ = weights.throughput / mean;
}

double PlacementRanker::Cost(Time now, const Job& job, const WorkerRecord& worker,
                             const Resources& available, const Resources& committed) const {
  const Resources need = usage_.Expect(job.job_class, job.spec.size);
  const Resources usage = worker.usage + need;
  const double processors = Ratio(usage.milliprocessors, available.milliprocessors);
  const double memory = Ratio(usage.memory_bytes, available.memory_bytes);
  const double busy = std::max(0.0, processors - kBusyProcessors);
  const double memory_excess = std::max(0.0, memory - kBusyMemory);
  const ServiceCost services = CostToServices(job, worker);
  const double near_relief = std::max(0.0, services.worst - kNearRelief * relief_begin_);

  double cost = tail_ * (services.tail + busy);
  cost += evictions_ * (near_relief + 4 * memory_excess);
  cost += throughput_ * (2 * busy + 4 * memory_excess +
                         0.1 * Leftover(available, committed, job.spec.size) + 0.1 * processors);
  cost += kSameRack * CountAt(job.tasks_by_rack, worker.rack);
  cost += kSameDomain * CountAt(job.tasks_by_domain, worker.domain);
  const auto avoided = worker.avoid_until.find(job.job_class);
  if (avoided != worker.avoid_until.end() && now < avoided->second) {
    cost += kAvoidedCost;
  }
  return cost;
}

PlacementRanker::ServiceCost PlacementRanker::CostToServices(const Job& job,
                                                             const WorkerRecord& worker) const {
  ServiceCost cost;
  for (const ServiceStatus& status : worker.services) {
    const double now = interference_.Predict(status.service, worker.history.current(), status.load);
    const PairEffect effect = interference_.Effect(status.service, job.job_class, status.load);
    const double after = now + effect.mean + kCaution * effect.deviation;
    // The tail of a service is that of its slowest endpoints, so the same rise costs more on a
    // worker that is slow already.
    cost.tail += (std::exp(3 * after) - std::exp(3 * now)) / 3 * status.endpoints;
    cost.worst = std::max(cost.worst, std::exp(after));
  }
  return cost;
}

}  // namespace cactusshelf
