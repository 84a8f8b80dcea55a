#ifndef CACTUSSHELF_CONNECTION_SRC_ROUTER_IMPL_H_
#define CACTUSSHELF_CONNECTION_SRC_ROUTER_IMPL_H_

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "cactusshelf/connection/router.h"
#include "cactusshelf/request/rate_limiter.h"
#include "call.h"
#include "claim_client.h"
#include "claim_owner.h"
#include "router_env.h"
#include "run_registry.h"
#include "slot_exchange.h"

namespace cactusshelf {

inline TimerKey DeadlineKey(RequestToken token) {
  return {TimerKind::kCallDeadline, static_cast<std::uint64_t>(token)};
}

inline TimerKey AttemptKey(TimerKind kind, AttemptId attempt) {
  return {kind, static_cast<std::uint64_t>(attempt)};
}

template <typename... Handlers>
struct VisitorOverloads : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
VisitorOverloads(Handlers...) -> VisitorOverloads<Handlers...>;

class Router::Impl {
 public:
  Impl(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
       Random random);

  void ApplyServices(Now now, const RoutingTable& table);
  void SetMembers(Now now, const std::vector<RouterMember>& members);
  void SetCustomerRetired(Now now, const CustomerId& customer);
  void SetEndpointLeaving(Now now, const EndpointId& endpoint);
  void OnRequest(Now now, RequestToken token, Request request);
  void OnCallerDisconnected(Now now, RequestToken token);
  void OnAttemptEvent(Now now, AttemptId attempt, AttemptEvent event);
  void OnRouterMessage(Now now, const MemberId& from, RouterMessage message);
  void OnTimer(Now now);
  void SetAuthority(Now now, Time valid_until);
  void StartDraining(Now now);
  bool drained() const;

  RouterEnv& env() { return env_; }
  const RouterEnv& env() const { return env_; }
  std::size_t in_flight(const CustomerId& customer) const;
  std::size_t in_flight() const { return total_in_flight_; }

 private:
  void FinishInput(Now now);
  void HandleMessage(Now now, const MemberId& from, RouterMessage message);
  void HandleTimer(Now now, TimerKey key);
  void Tick(Now now);

  void AddInFlight(const CustomerId& customer);
  void SubtractInFlight(const CustomerId& customer);

  void OnGranted(Now now, RequestToken token, ClaimNumber number);
  void OnClaimResolved(Now now, RequestToken token, ClaimResolution end);
  Reason CheckAdmission(Now now, const Call& call);
  bool IsAccountKnown(const Request& request) const;
  bool IsRetired(const Call& call) const;
  void Admit(Now now, Call& call);
  void Enqueue(Now now, Call& call);

  void Dispatch(Now now, ServiceState& service);
  void DropExpired(Now now, ServiceState& service);
  void DispatchClass(Now now, ServiceState& service, ServiceState::RequestClass request_class);
  void ArmQueueTimer(Now now, ServiceState& service);
  EndpointPool::PickRequest PickRequestOf(Now now, const Call& call, std::size_t queued) const;
  void Send(Now now, Call& call, const EndpointPool::PickResult& picked);
  void SendHedge(Now now, Call& call);

  void OnAttemptLate(Now now, AttemptId id);
  void OnAttemptOverdue(Now now, AttemptId id);
  void OnDeadline(Now now, RequestToken token);
  void EndAttempt(Now now, AttemptId id, AttemptResult result);
  void OnCancelledAttemptEnded(Now now, AttemptId id, const AttemptEvent& event);
  void OnAttemptAnswered(Now now, AttemptId id, Response response);
  void OnAttemptRefused(Now now, AttemptId id, bool leaving);
  void OnAttemptFailed(Now now, AttemptId id, Reason reason, bool handed_over);
  void RetryOrFinish(Now now, Call& call, Reason reason);
  bool MayRetry(Now now, const Call& call) const;
  void CancelAttempts(Now now, Call& call, AttemptResult result);

  void Refuse(Now now, Call& call, Reason reason);
  void FinishUnanswered(Now now, Call& call, Reason reason);
  void Finish(Now now, RequestToken token, Outcome outcome, Reason reason, Response response);
  void SendAnswer(const Call& call, Outcome outcome, Reason reason, const Response& response);
  Duration RetryAfter(const Call& call, Reason reason) const;

  ServiceState* FindService(const ServiceId& id);
  void MarkEndpointLeaving(Now now, const EndpointId& endpoint);
  void RemoveUnusedServices(Now now);

  const RouterProtections& protections() const { return env_.options.protections; }

  RouterEnv env_;
  ClaimOwner claim_owner_;
  RunRegistry run_registry_;
  ClaimClient claim_client_;
  Services services_;
  std::unordered_map<std::uint64_t, ServiceState*> services_by_number_;
  std::unordered_map<EndpointId, ServiceState*> services_by_endpoint_;
  SlotExchange slot_exchange_;
  std::unordered_map<CustomerId, int> customer_priorities_;
  std::unordered_map<AccountId, CustomerId> customers_by_account_;
  std::unordered_map<AccountId, RateLimiter> rate_limiters_;
  std::unordered_set<CustomerId> retired_customers_;
  std::unordered_map<RequestToken, Call> calls_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<CustomerId, std::size_t> in_flight_by_customer_;
  std::size_t total_in_flight_ = 0;
  std::size_t pending_claims_ = 0;
  std::vector<RouterMember> members_;
  bool is_member_ = false;                // This host is in `members_`.
  bool sole_member_since_start_ = false;  // This host has been the only member from the start.
  bool table_received_ = false;
  bool members_received_ = false;
  bool draining_ = false;
  bool transferring_slots_ = false;
  Time last_input_time_{};
  std::uint64_t next_attempt_id_ = 1;
  std::uint64_t next_service_number_ = 1;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_SRC_ROUTER_IMPL_H_
