#ifndef CACTUSSHELF_CONNECTION_ROUTER_H_
#define CACTUSSHELF_CONNECTION_ROUTER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/connection/attempt_event.h"
#include "cactusshelf/connection/request.h"
#include "cactusshelf/connection/router_effect.h"
#include "cactusshelf/connection/router_message.h"
#include "cactusshelf/connection/router_options.h"
#include "cactusshelf/connection/routing_table.h"
#include "cactusshelf/request/ownership.h"

namespace cactusshelf {

// Deterministic state machine that routes the requests of one entry host. Each input method takes
// the current time and one event. After each input the caller executes TakeEffects() in order and
// schedules a call of OnTimer at NextWakeup().
//
// Each RequestToken is answered by exactly one AnswerCaller, unless its caller has disconnected.
// ApplyServices and SetMembers must be called in the order of their log records.
// Not thread-safe.
class Router {
 public:
  Router(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
         Random random);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Throws Error if a service has more than 64 slots per endpoint.
  void ApplyServices(Now now, const RoutingTable& table);

  // Replaces the list of registered members, which may or may not contain this one.
  void SetMembers(Now now, const std::vector<RouterMember>& members);

  // Refuses all queued and further requests of `customer`. Running requests finish. Cannot be
  // undone.
  void SetCustomerRetired(Now now, const CustomerId& customer);

  // Sends no further requests to the endpoint, until it has been removed from the routing table.
  void SetEndpointLeaving(Now now, const EndpointId& endpoint);

  void OnRequest(Now now, RequestToken token, Request request);
  void OnCallerDisconnected(Now now, RequestToken token);
  void OnAttemptEvent(Now now, AttemptId attempt, AttemptEvent event);
  void OnPeerMessage(Now now, const MemberId& from, RouterMessage message);
  void OnTimer(Now now);

  // This member may act as owner until `valid_until`.
  void SetAuthority(Now now, Time valid_until);

  // Refuses new requests, finishes those in flight, then transfers the slots of this member to the
  // other members. Complete when drained() returns true.
  void StartDraining(Now now);

  // True after StartDraining once no request is in flight and all slot transfers are confirmed,
  // which takes about one lease. A member may leave earlier without losing requests, but then its
  // slots stay unused until the latest time at which its requests could have ended.
  bool drained() const;

  // Effects since the last call, in the order in which they must be executed.
  std::vector<RouterEffect> TakeEffects();

  // Earliest time at which OnTimer must be called; empty if there is none.
  std::optional<Time> NextWakeup() const;

  // Counters: requests_total, outcomes_total, refusals_total, retries_total, late_answers_total,
  // claims_total, ejections_total, each prefixed with "cactusshelf_".
  const Counters& counters() const;

  // Requests that were received and have not ended, including those whose caller disconnected, plus
  // cancelled attempts whose end has not been reported.
  std::size_t in_flight(const CustomerId& customer) const;
  std::size_t in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_H_
