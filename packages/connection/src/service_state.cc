#include "service_state.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactusshelf {

namespace {

constexpr double kDemandSmoothing = 0.5;
// The standard deviation of Poisson arrivals is the square root of their mean. Three standard
// deviations cover all but 0.1%.
constexpr double kDemandStdDevs = 3;
constexpr double kMinDemand = 0.05;

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
      retry_budget_(RetryRatio(env.options)) {}

ServiceState::RequestClass ServiceState::ClassOf(Duration timeout) const {
  // Between two renewals, up to two demand periods of a lease have passed.
  const Duration usable_lease = env_->options.token_lease - 2 * env_->options.demand_period;
  return timeout <= usable_lease ? RequestClass::kAnySlot : RequestClass::kOwnSlotOnly;
}

void ServiceState::UpdateSmoothedDemand() {
  for (std::size_t i = 0; i < active_.size(); ++i) {
    const auto current = static_cast<double>(active_[i]);
    const double average = smoothed_active_[i] + kDemandSmoothing * (current - smoothed_active_[i]);
    smoothed_active_[i] = std::max(current, average);
  }
}

double ServiceState::DemandOf(RequestClass request_class) const {
  const auto i = static_cast<std::size_t>(request_class);
  const double load = std::max(smoothed_active_[i], static_cast<double>(active_[i]));
  return load < kMinDemand ? 0 : load + kDemandStdDevs * std::sqrt(load) + 1;
}

bool ServiceState::CanMeetDeadline(Now now, RequestClass request_class, int priority,
                                   Time deadline) {
  if (!env_->options.protections.admission) {
    return true;
  }
  if (deadline <= now.monotonic) {
    return false;
  }
  RequestQueue& waiting = queue(request_class);
  const std::size_t ahead =
      waiting.IsOverloaded(now.monotonic) ? 0 : waiting.CountWithPriorityAtLeast(priority);
  const Duration wait = pool_.ExpectedWait(ahead);
  return now.monotonic + wait + pool_.MedianLatency() <= deadline;
}

}  // namespace cactusshelf
