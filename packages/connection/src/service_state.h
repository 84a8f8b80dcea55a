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

// State of one service at this router. Not thread-safe.
class ServiceState {
 public:
  // Requests that may use own and borrowed slots, and requests that may use own slots only, since
  // their timeout is too long for a lease. Each class has a separate queue, so that neither blocks
  // the other.
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

  // Count the requests that are queued or running.
  void OnRequestEntered(RequestClass request_class) {
    ++active_[static_cast<std::size_t>(request_class)];
  }
  void OnRequestLeft(RequestClass request_class) {
    --active_[static_cast<std::size_t>(request_class)];
  }
  std::size_t active() const { return active_[0] + active_[1]; }

  // Updates the smoothed number of requests. Called once per demand period.
  void UpdateSmoothedDemand();

  // Number of slots that the requests of a class need, including headroom for fluctuations.
  double DemandOf(RequestClass request_class) const;

  // Returns whether a request is expected to complete before its deadline.
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
