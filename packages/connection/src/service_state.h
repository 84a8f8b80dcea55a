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
  enum class RequestClass : std::uint8_t { kAnySlot, kOwnSlotOnly };
  static constexpr std::array<RequestClass, 2> kRequestClasses = {RequestClass::kOwnSlotOnly,
                                                                  RequestClass::kAnySlot};

  ServiceState(RouterEnv& env, std::uint64_t number);

  std::uint64_t number() const { return number_; }
  EndpointPool& pool() { return pool_; }
  const EndpointPool& pool() const { return pool_; }
  RetryBudget& retry_budget() { return retry_budget_; }
  RequestQueue& queue(RequestClass request_class) {
    return queues_[static_cast<std::size_t>(request_class)];
  }

  RequestClass ClassOf(Duration timeout) const;

  // A request entered or left the service, queued or in flight.
  void OnRequestEntered(RequestClass request_class) {
    ++active_[static_cast<std::size_t>(request_class)];
  }
  void OnRequestLeft(RequestClass request_class) {
    --active_[static_cast<std::size_t>(request_class)];
  }
  std::size_t active() const { return active_[0] + active_[1]; }

  // Updates the learned demand. Called once each demand period.
  void UpdateSmoothedDemand();

  // Slots that the requests of a lane can use, with room for their fluctuation.
  double DemandOf(RequestClass request_class) const;

  // Whether a request can probably end before its deadline.
  bool CanMeetDeadline(Now now, RequestClass request_class, int priority, Time deadline);

  bool HasQueuedRequests() const { return !queues_[0].empty() || !queues_[1].empty(); }

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
  std::array<double, 2> smoothed_active_{};
  RetryBudget retry_budget_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_SERVICE_STATE_H_
