#include "service_state.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactusshelf {

namespace {

constexpr double kSmoothing = 0.5;
// Arrivals at random vary by the square root of their mean; three of them cover all but 0.1%.
constexpr double kSpread = 3;
constexpr double kNoDemand = 0.05;

std::size_t QueueCapacity(const RouterOptions& options) {
  return options.protections.admission ? options.queue_capacity
                                       : std::numeric_limits<std::size_t>::max();
}

double RetryRatio(const RouterOptions& options) {
  return options.protections.retry_budget ? options.retry_ratio : 1.0;
}

}  // namespace

ServiceState::ServiceState(RouterEnv& env, std::uint64_t number)
    : env_(&env),
      number_(number),
      pool_(env),
      queues_{RequestQueue(QueueCapacity(env.options)), RequestQueue(QueueCapacity(env.options))},
      budget_(RetryRatio(env.options)) {}

ServiceState::Lane ServiceState::LaneOf(Duration timeout) const {
  // Between two extensions, a lease is shorter by up to two demand periods.
  const Duration usable = env_->options.token_lease - 2 * env_->options.demand_period;
  return timeout <= usable ? Lane::kLendable : Lane::kOwnOnly;
}

void ServiceState::LearnDemand() {
  for (std::size_t i = 0; i < active_.size(); ++i) {
    const auto current = static_cast<double>(active_[i]);
    const double average = smoothed_[i] + kSmoothing * (current - smoothed_[i]);
    smoothed_[i] = std::max(current, average);
  }
}

double ServiceState::DemandOf(Lane lane) const {
  const auto i = static_cast<std::size_t>(lane);
  const double load = std::max(smoothed_[i], static_cast<double>(active_[i]));
  return load < kNoDemand ? 0 : load + kSpread * std::sqrt(load) + 1;
}

bool ServiceState::CanFinish(Now now, Lane lane, int priority, Time deadline) {
  if (!env_->options.protections.admission) {
    return true;
  }
  if (deadline <= now.monotonic) {
    return false;
  }
  RequestQueue& waiting = queue(lane);
  const std::size_t ahead = waiting.Overloaded(now.monotonic) ? 0 : waiting.CountAtLeast(priority);
  const Duration wait = pool_.ExpectedWait(ahead);
  return now.monotonic + wait + pool_.TypicalTime() <= deadline;
}

}  // namespace cactusshelf
