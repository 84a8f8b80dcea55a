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

// Deterministic state machine of the requests of one entry host. Every input takes the time and
// one event; the caller then executes TakeEffects() in order and calls OnTimer at NextWakeup().
//
// Each RequestToken is answered by exactly one AnswerCaller unless its caller has gone.
// ApplyServices and SetMembers are called in the order of their log records.
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

  // All registered members, with or without this one.
  void SetMembers(Now now, const std::vector<RouterMember>& members);

  // Irreversible: admits nothing more of `customer`. Requests in flight finish.
  void SetCustomerRetired(Now now, const CustomerId& customer);

  // The endpoint receives nothing more, until it disappears from the routing table.
  void SetEndpointLeaving(Now now, const EndpointId& endpoint);

  void OnRequest(Now now, RequestToken token, Request request);
  void OnCallerGone(Now now, RequestToken token);
  void OnAttemptEvent(Now now, AttemptId attempt, AttemptEvent event);
  void OnPeerMessage(Now now, const MemberId& from, RouterMessage message);
  void OnTimer(Now now);

  // This member may act as an owner until `valid_until`.
  void SetAuthority(Now now, Time valid_until);

  // Refuses new requests, finishes those in flight, then hands its slots to the other members.
  // Complete when drained().
  void StartDraining(Now now);

  // Nothing is in flight and, after about one lease, all slots are handed over and confirmed. A
  // member that leaves earlier loses nothing, but its slots stay unused until its requests would
  // have ended.
  bool drained() const;

  // Effects since the last call, in the order in which they must be executed.
  std::vector<RouterEffect> TakeEffects();

  // Earliest time at which OnTimer has something to do.
  std::optional<Time> NextWakeup() const;

  // Metrics: requests_total, outcomes_total, refusals_total, retries_total, late_answers_total,
  // claims_total, ejections_total, each prefixed with "cactusshelf_".
  const Counters& counters() const;

  // Requests received and not yet ended, including those with no caller left and attempts that
  // were cancelled but have not ended.
  std::size_t in_flight(const CustomerId& customer) const;
  std::size_t in_flight() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ROUTER_H_
