#ifndef CACTUSSHELF_CONNECTION_SRC_SERVICE_STATE_H_
#define CACTUSSHELF_CONNECTION_SRC_SERVICE_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "cactusshelf/connection/request_queue.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/request/retry_budget.h"
#include "endpoint_pool.h"
#include "router_env.h"

namespace cactusshelf {

// What a router holds for one service. Not thread-safe.
class ServiceState {
 public:
  // Requests that may use lent slots, and requests whose timeout is too long for a lease. They
  // wait in queues of their own, so that neither blocks the other.
  enum class Lane : std::uint8_t { kLendable, kOwnOnly };
  static constexpr std::array<Lane, 2> kLanes = {Lane::kOwnOnly, Lane::kLendable};

  ServiceState(RouterEnv& env, std::uint64_t number);

  std::uint64_t number() const { return number_; }
  EndpointPool& pool() { return pool_; }
  const EndpointPool& pool() const { return pool_; }
  RetryBudget& budget() { return budget_; }
  RequestQueue& queue(Lane lane) { return queues_[static_cast<std::size_t>(lane)]; }

  Lane LaneOf(Duration timeout) const;

  // A request entered or left the service, queued or in flight.
  void OnEntered(Lane lane) { ++active_[static_cast<std::size_t>(lane)]; }
  void OnLeft(Lane lane) { --active_[static_cast<std::size_t>(lane)]; }
  std::size_t active() const { return active_[0] + active_[1]; }

  // Updates the learned demand. Called once each demand period.
  void LearnDemand();

  // Slots that the requests of a lane can use, with room for their fluctuation.
  double DemandOf(Lane lane) const;

  // Whether a request can probably end before its deadline.
  bool CanFinish(Now now, Lane lane, int priority, Time deadline);

  bool AnyQueued() const { return !queues_[0].empty() || !queues_[1].empty(); }

  const ServiceEntry& entry() const { return entry_; }
  void SetEntry(ServiceEntry entry) { entry_ = std::move(entry); }
  bool configured = false;

 private:
  RouterEnv* env_;
  std::uint64_t number_;
  ServiceEntry entry_;
  EndpointPool pool_;
  std::array<RequestQueue, 2> queues_;
  std::array<std::size_t, 2> active_{};
  std::array<double, 2> smoothed_{};
  RetryBudget budget_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_SERVICE_STATE_H_
