#ifndef CACTUSSHELF_CONNECTION_SRC_CALL_H_
#define CACTUSSHELF_CONNECTION_SRC_CALL_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "cactusshelf/connection/request.h"
#include "cactusshelf/request/claim_messages.h"
#include "endpoint_pool.h"
#include "service_state.h"

namespace cactusshelf {

// A request at this entry host, from its arrival to its outcome.
struct Call {
  enum class Phase : std::uint8_t { kClaiming, kQueued, kRunning };

  RequestToken token{};
  Request request;
  Phase phase = Phase::kClaiming;
  Time arrived_at{};
  Time deadline{};
  bool caller_disconnected = false;
  ClaimNumber claim = 0;  // 0 until the claim is granted.
  MemberId claim_owner;
  ServiceState* service = nullptr;  // Set on admission.
  ServiceState::RequestClass request_class = ServiceState::RequestClass::kAnySlot;
  int priority = 0;
  Time queued_at{};
  bool may_have_run = false;  // An attempt that has ended may have run the request.
  bool handed_over = false;   // Bytes of an attempt may have been handed to a connection.
  int resends = 0;
  bool hedged = false;
  std::vector<AttemptId> attempts;             // In flight.
  std::vector<std::uint32_t> tried_endpoints;  // Endpoint numbers of all attempts.
};

// An attempt, from SendAttempt to its final event.
struct Attempt {
  RequestToken call{};
  ServiceState* service = nullptr;
  CustomerId customer;
  EndpointPool::PickResult picked;
  Time sent_at{};
  Time deadline{};
  bool handed_over = false;
  bool late = false;
  bool overdue = false;
  bool cancelled = false;  // Only the final event is still expected.
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_CALL_H_
