#include "cactusshelf/connection/router.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/request/rate_limiter.h"
#include "call.h"
#include "claim_client.h"
#include "claim_owner.h"
#include "router_env.h"
#include "run_registry.h"
#include "slot_exchange.h"

namespace cactusshelf {

namespace {

constexpr std::uint32_t kMaxSlots = 64;
constexpr int kMaxResends = 2;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// A cancelled attempt whose end the shell never reports.
constexpr Duration kForgetAttempt = std::chrono::seconds(1);
constexpr int kServerError = 500;

TimerKey DeadlineKey(RequestToken token) {
  return {TimerKind::kCallDeadline, static_cast<std::uint64_t>(token)};
}

TimerKey AttemptKey(TimerKind kind, AttemptId attempt) {
  return {kind, static_cast<std::uint64_t>(attempt)};
}

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

class Router::Impl {
 public:
  Impl(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
       Random random);

  void ApplyServices(Now now, const RoutingTable& table);
  void SetMembers(Now now, const std::vector<RouterMember>& members);
  void SetCustomerRetired(Now now, const CustomerId& customer);
  void SetEndpointLeaving(Now now, const EndpointId& endpoint);
  void OnRequest(Now now, RequestToken token, Request request);
  void OnCallerGone(Now now, RequestToken token);
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
  void Finished(Now now);
  void HandleMessage(Now now, const MemberId& from, RouterMessage message);
  void HandleTimer(Now now, TimerKey key);
  void Tick(Now now);

  void AddInFlight(const CustomerId& customer);
  void SubtractInFlight(const CustomerId& customer);

  void OnGranted(Now now, RequestToken token, ClaimNumber number);
  void OnClaimEnded(Now now, RequestToken token, ClaimEnd end);
  Reason RefusalOf(Now now, const Call& call);
  bool AccountKnown(const Request& request) const;
  bool Retired(const Call& call) const;
  void Admit(Now now, Call& call);
  void Enqueue(Now now, Call& call);

  void Dispatch(Now now, ServiceState& service);
  void DropExpired(Now now, ServiceState& service);
  void DispatchLane(Now now, ServiceState& service, ServiceState::Lane lane);
  void ArmQueue(Now now, ServiceState& service);
  EndpointPool::PickRequest PickRequestOf(Now now, const Call& call, std::size_t queued) const;
  void Send(Now now, Call& call, const EndpointPool::Picked& picked);
  void Hedge(Now now, Call& call);

  void OnLate(Now now, AttemptId id);
  void OnOverdue(Now now, AttemptId id);
  void OnDeadline(Now now, RequestToken token);
  void EndAttempt(Now now, AttemptId id, AttemptResult result);
  void OnAbandonedEnd(Now now, AttemptId id, const AttemptEvent& event);
  void OnAnswered(Now now, AttemptId id, Response response);
  void OnRefused(Now now, AttemptId id, bool leaving);
  void OnLost(Now now, AttemptId id, Reason reason, bool handed_over);
  void RetryOrFinish(Now now, Call& call, Reason reason);
  bool MayRetry(Now now, const Call& call) const;
  void AbandonAttempts(Now now, Call& call, AttemptResult result);

  void Refuse(Now now, Call& call, Reason reason);
  void FinishUnanswered(Now now, Call& call, Reason reason);
  void Finish(Now now, RequestToken token, Outcome outcome, Reason reason, Response response);
  void AnswerTo(const Call& call, Outcome outcome, Reason reason, const Response& response);
  Duration RetryAfter(const Call& call, Reason reason) const;

  ServiceState* FindService(const ServiceId& id);
  void MarkLeaving(Now now, const EndpointId& endpoint);
  void DropUnusedServices(Now now);

  const RouterProtections& protections() const { return env_.options.protections; }

  RouterEnv env_;
  ClaimOwner claim_owner_;
  RunRegistry run_registry_;
  ClaimClient claim_client_;
  Services services_;
  std::unordered_map<std::uint64_t, ServiceState*> services_by_number_;
  std::unordered_map<EndpointId, ServiceState*> services_by_endpoint_;
  SlotExchange exchange_;
  std::unordered_map<CustomerId, int> priorities_;
  std::unordered_map<AccountId, CustomerId> accounts_;
  std::unordered_map<AccountId, RateLimiter> limiters_;
  std::unordered_set<CustomerId> retired_;
  std::unordered_map<RequestToken, Call> calls_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<CustomerId, std::size_t> in_flight_;
  std::size_t total_in_flight_ = 0;
  std::size_t claiming_ = 0;
  std::vector<RouterMember> members_;
  bool member_ = false;   // This host is in `members_`.
  bool founder_ = false;  // It has been the only member from the start.
  bool had_table_ = false;
  bool had_members_ = false;
  bool draining_ = false;
  bool handing_over_ = false;
  Time now_{};
  std::uint64_t next_attempt_ = 1;
  std::uint64_t next_service_ = 1;
};

Router::Impl::Impl(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
                   Random random)
    : env_{options, std::move(self), 0, std::move(owner_of), random, {}, {}, {}, {}, {}},
      claim_owner_(env_),
      run_registry_(env_),
      claim_client_(env_, {[this](Now now, RequestToken token, ClaimNumber number) {
                             OnGranted(now, token, number);
                           },
                           [this](Now now, RequestToken token, ClaimEnd end) {
                             OnClaimEnded(now, token, std::move(end));
                           }}),
      exchange_(env_, services_, [this](const EndpointId& endpoint) -> ServiceState* {
        const auto it = services_by_endpoint_.find(endpoint);
        return it == services_by_endpoint_.end() ? nullptr : it->second;
      }) {
  env_.domain = env_.costs.IndexOf(domain);
}

void Router::Impl::ApplyServices(Now now, const RoutingTable& table) {
  for (const ServiceEntry& entry : table.services) {
    if (entry.slots > kMaxSlots) {
      throw Error("service " + entry.id.str() + " has more than 64 slots per endpoint");
    }
  }
  env_.costs.SetLinks(table.links);
  priorities_.clear();
  for (const CustomerEntry& customer : table.customers) {
    priorities_[customer.id] = customer.priority;
  }
  accounts_.clear();
  for (const AccountEntry& account : table.accounts) {
    accounts_[account.id] = account.customer;
    limiters_.try_emplace(account.id, account.rate, now.monotonic)
        .first->second.SetRate(account.rate);
  }
  std::erase_if(limiters_, [&](const auto& item) { return !accounts_.contains(item.first); });

  for (auto& [id, service] : services_) {
    service->configured = false;
  }
  // A member that was one before this table knows that no slot of a new endpoint is in use.
  const bool fresh = member_ && (founder_ || had_table_);
  for (const ServiceEntry& entry : table.services) {
    auto& service = services_[entry.id];
    if (!service) {
      service = std::make_unique<ServiceState>(env_, next_service_++);
      services_by_number_[service->number()] = service.get();
      if (had_members_) {
        service->pool().SetMembers(now, members_, false);
      }
    }
    service->configured = true;
    service->SetEntry(entry);
    for (const EndpointEntry& endpoint : entry.endpoints) {
      services_by_endpoint_[endpoint.id] = service.get();
    }
    service->pool().Apply(now, entry, fresh);
  }
  had_table_ = true;
  for (auto& [id, service] : services_) {
    if (!service->configured) {
      ServiceEntry gone = service->entry();
      gone.endpoints.clear();
      service->pool().Apply(now, gone, false);
    }
  }
  std::erase_if(services_by_endpoint_,
                [](const auto& item) { return !item.second->pool().Knows(item.first); });
  std::vector<RequestToken> unknown;
  for (const auto& [token, call] : calls_) {
    if (call.phase == Call::Phase::kQueued && !call.service->configured) {
      unknown.push_back(token);
    }
  }
  std::ranges::sort(unknown);
  for (const RequestToken token : unknown) {
    FinishUnanswered(now, calls_.at(token), Reason::kUnknownService);
  }
  Tick(now);
  Finished(now);
}

void Router::Impl::SetMembers(Now now, const std::vector<RouterMember>& members) {
  members_ = members;
  member_ = std::ranges::any_of(members,
                                [&](const RouterMember& member) { return member.id == env_.self; });
  const bool alone = member_ && members.size() == 1;
  const bool founder = alone && !had_members_;
  founder_ = alone && (founder || founder_);
  had_members_ = true;
  claim_owner_.SetMembers(members);
  exchange_.SetMembers(members);
  for (auto& [id, service] : services_) {
    service->pool().SetMembers(now, members, founder);
  }
  claim_client_.SetMembers(now, members);
  Tick(now);
  Finished(now);
}

void Router::Impl::SetCustomerRetired(Now now, const CustomerId& customer) {
  retired_.insert(customer);
  std::vector<RequestToken> queued;
  for (const auto& [token, call] : calls_) {
    if (call.phase == Call::Phase::kQueued && Retired(call)) {
      queued.push_back(token);
    }
  }
  std::ranges::sort(queued);
  for (const RequestToken token : queued) {
    FinishUnanswered(now, calls_.at(token), Reason::kCustomerRetired);
  }
  Finished(now);
}

void Router::Impl::SetEndpointLeaving(Now now, const EndpointId& endpoint) {
  MarkLeaving(now, endpoint);
  Finished(now);
}

void Router::Impl::OnRequest(Now now, RequestToken token, Request request) {
  assert(!calls_.contains(token));
  env_.counters.Add("cactusshelf_requests_total",
                    request.idempotent ? "idempotent" : "non_idempotent");
  Call& call = calls_[token];
  call.token = token;
  call.request = std::move(request);
  call.arrived = now.monotonic;
  AddInFlight(call.request.customer);
  const ServiceState* service = FindService(call.request.service);
  const Duration usual =
      service == nullptr ? env_.options.longest_timeout : service->entry().default_deadline;
  const Duration timeout = call.request.timeout.value_or(usual);
  call.deadline = now.monotonic + std::min(timeout, env_.options.longest_timeout);
  env_.timers.Arm(DeadlineKey(token), call.deadline);
  const bool claims = !call.request.idempotent && protections().claims;
  if (!claims) {
    Admit(now, call);
  } else if (!call.request.id) {
    Refuse(now, call, Reason::kBadRequest);
  } else if (claiming_ >= env_.options.queue_capacity) {
    // Without an answer of the owner, an earlier call with this id may have run.
    Finish(now, token, Outcome::kUnknown, Reason::kQueueFull, {});
  } else {
    ++claiming_;
    claim_client_.Start(now, token, *call.request.id);
  }
  Finished(now);
}

void Router::Impl::OnCallerGone(Now now, RequestToken token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  call.caller_gone = true;
  const bool awaited = call.claim != 0 && run_registry_.HasWaiters(*call.request.id);
  // The answer of a non-idempotent request is kept for a caller that repeats the id.
  const bool keep_running = call.phase == Call::Phase::kRunning && !call.request.idempotent;
  if (!awaited && !keep_running) {
    FinishUnanswered(now, call, Reason::kCallerGone);
  }
  Finished(now);
}

void Router::Impl::OnAttemptEvent(Now now, AttemptId id, AttemptEvent event) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) {
    if (std::holds_alternative<AttemptAnswered>(event)) {
      env_.counters.Add("cactusshelf_late_answers_total", "after_end");
    }
    return;
  }
  Attempt& attempt = it->second;
  if (std::holds_alternative<AttemptHandedOver>(event)) {
    attempt.handed_over = true;
    const auto call = calls_.find(attempt.call);
    if (call != calls_.end()) {
      call->second.handed_over = true;
    }
    return;
  }
  if (attempt.abandoned) {
    OnAbandonedEnd(now, id, event);
  } else {
    std::visit(Overloaded{[&](AttemptHandedOver&) {},
                          [&](AttemptRefused& refused) { OnRefused(now, id, refused.leaving); },
                          [&](AttemptAnswered& answered) {
                            OnAnswered(now, id, std::move(answered.response));
                          },
                          [&](AttemptFailed& failed) {
                            OnLost(now, id, Reason::kConnectionFailed, failed.handed_over);
                          },
                          [&](AttemptTruncated&) {
                            if (!protections().drop_truncated) {
                              OnAnswered(now, id, Response{200, {}, nullptr});
                              return;
                            }
                            OnLost(now, id, Reason::kTruncated, true);
                          },
                          [&](AttemptTimedOut&) { OnLost(now, id, Reason::kTimeout, true); }},
               event);
  }
  Finished(now);
}

void Router::Impl::OnRouterMessage(Now now, const MemberId& from, RouterMessage message) {
  HandleMessage(now, from, std::move(message));
  Finished(now);
}

void Router::Impl::OnTimer(Now now) {
  while (const std::optional<TimerKey> key = env_.timers.TakeDue(now.monotonic)) {
    HandleTimer(now, *key);
  }
  Finished(now);
}

void Router::Impl::SetAuthority(Now now, Time valid_until) {
  claim_owner_.SetAuthority(valid_until);
  Finished(now);
}

void Router::Impl::StartDraining(Now now) {
  draining_ = true;
  for (auto& [id, service] : services_) {
    service->pool().shares().StopLending();
  }
  Finished(now);
}

bool Router::Impl::drained() const {
  return handing_over_ && exchange_.AllConfirmed() &&
         std::ranges::none_of(services_, [&](const auto& item) {
           return item.second->pool().shares().HoldsAny(now_);
         });
}

std::size_t Router::Impl::in_flight(const CustomerId& customer) const {
  const auto it = in_flight_.find(customer);
  return it == in_flight_.end() ? 0 : it->second;
}

// Ends every input: handles messages to this member itself and completes draining.
void Router::Impl::Finished(Now now) {
  now_ = now.monotonic;
  while (!env_.to_self.empty()) {
    RouterMessage message = std::move(env_.to_self.front());
    env_.to_self.pop_front();
    HandleMessage(now, env_.self, std::move(message));
  }
  if (draining_ && !handing_over_ && total_in_flight_ == 0) {
    handing_over_ = true;
    for (auto& [id, service] : services_) {
      service->pool().shares().Drain(now.monotonic);
    }
    exchange_.SendTransfers(now);
  }
}

void Router::Impl::HandleMessage(Now now, const MemberId& from, RouterMessage message) {
  std::visit(Overloaded{[&](Claim& claim) { claim_owner_.OnClaim(now, from, claim); },
                        [&](ClaimReply& reply) { claim_client_.OnReply(now, from, reply); },
                        [&](ClaimDone& done) { claim_owner_.OnDone(from, done); },
                        [&](FetchAnswer& fetch) { run_registry_.OnFetch(from, fetch); },
                        [&](Answer& answer) { claim_client_.OnAnswer(now, from, answer); },
                        [&](Lend& lend) {
                          exchange_.OnLend(now, from, lend);
                          for (auto& [id, service] : services_) {
                            Dispatch(now, *service);
                          }
                        },
                        [&](Return& returned) {
                          exchange_.OnReturn(now, from, returned);
                          for (auto& [id, service] : services_) {
                            Dispatch(now, *service);
                          }
                        },
                        [&](Demand& demand) {
                          for (const EndpointId& endpoint : demand.leaving) {
                            MarkLeaving(now, endpoint);
                          }
                          exchange_.OnDemand(now, from, demand);
                        }},
             message);
}

void Router::Impl::HandleTimer(Now now, TimerKey key) {
  const auto& [kind, id] = key;
  switch (kind) {
    case TimerKind::kTick:
      Tick(now);
      return;
    case TimerKind::kCallDeadline:
      OnDeadline(now, RequestToken{id});
      return;
    case TimerKind::kClaimResend:
      claim_client_.OnResendTimer(now, RequestToken{id});
      return;
    case TimerKind::kAttemptLate:
      OnLate(now, AttemptId{id});
      return;
    case TimerKind::kAttemptOverdue:
      OnOverdue(now, AttemptId{id});
      return;
    case TimerKind::kAttemptEnd:
      OnAbandonedEnd(now, AttemptId{id}, AttemptFailed{});
      return;
    case TimerKind::kQueue:
      const auto it = services_by_number_.find(id);
      if (it != services_by_number_.end()) {
        Dispatch(now, *it->second);
      }
      return;
  }
}

void Router::Impl::Tick(Now now) {
  env_.timers.Arm({TimerKind::kTick, 0}, now.monotonic + env_.options.demand_period);
  for (auto& [id, service] : services_) {
    service->LearnDemand();
  }
  exchange_.RefreshOwnDemand();
  for (auto& [id, service] : services_) {
    service->pool().Tick(now);
  }
  exchange_.SendSurplus(now);
  exchange_.SendPeriodicDemand(now);
  for (auto& [id, service] : services_) {
    Dispatch(now, *service);
  }
  DropUnusedServices(now);
}

void Router::Impl::AddInFlight(const CustomerId& customer) {
  ++in_flight_[customer];
  ++total_in_flight_;
}

void Router::Impl::SubtractInFlight(const CustomerId& customer) {
  const auto it = in_flight_.find(customer);
  assert(it != in_flight_.end() && it->second > 0);
  --total_in_flight_;
  if (--it->second == 0) {
    in_flight_.erase(it);
  }
}

void Router::Impl::OnGranted(Now now, RequestToken token, ClaimNumber number) {
  Call& call = calls_.at(token);
  --claiming_;
  call.claim = number;
  call.claim_owner = claim_client_.GranterOf(number);
  run_registry_.Begin(*call.request.id, number);
  Admit(now, call);
}

void Router::Impl::OnClaimEnded(Now now, RequestToken token, ClaimEnd end) {
  --claiming_;
  if (!protections().not_run_only_if_proven && end.outcome == Outcome::kUnknown) {
    end.outcome = Outcome::kNotRun;
  }
  Finish(now, token, end.outcome, end.reason, std::move(end.response));
}

Reason Router::Impl::RefusalOf(Now now, const Call& call) {
  ServiceState* service = FindService(call.request.service);
  if (service == nullptr) {
    return Reason::kUnknownService;
  }
  if (!AccountKnown(call.request)) {
    return Reason::kUnknownAccount;
  }
  if (retired_.contains(call.request.customer) || retired_.contains(service->entry().customer)) {
    return Reason::kCustomerRetired;
  }
  if (draining_) {
    return Reason::kDraining;
  }
  if (!limiters_.at(call.request.account).TryTake(now.monotonic)) {
    return Reason::kRateLimited;
  }
  if (!service->pool().AnyPresent()) {
    return Reason::kNoEndpoint;
  }
  return Reason::kNone;
}

bool Router::Impl::AccountKnown(const Request& request) const {
  const auto it = accounts_.find(request.account);
  return it != accounts_.end() && it->second == request.customer;
}

bool Router::Impl::Retired(const Call& call) const {
  const bool service_retired =
      call.service != nullptr && retired_.contains(call.service->entry().customer);
  return service_retired || retired_.contains(call.request.customer);
}

void Router::Impl::Admit(Now now, Call& call) {
  const Reason refusal = RefusalOf(now, call);
  if (refusal != Reason::kNone) {
    Refuse(now, call, refusal);
    return;
  }
  ServiceState& service = *FindService(call.request.service);
  const auto priority = priorities_.find(call.request.customer);
  call.priority = priority == priorities_.end() ? 0 : priority->second;
  call.lane = service.LaneOf(call.deadline - now.monotonic);
  service.budget().OnRequest(now.monotonic);
  if (!service.CanFinish(now, call.lane, call.priority, call.deadline)) {
    Refuse(now, call, Reason::kDeadlineTooClose);
    return;
  }
  call.service = &service;
  service.OnEntered(call.lane);
  Enqueue(now, call);
  Dispatch(now, service);
}

void Router::Impl::Enqueue(Now now, Call& call) {
  call.phase = Call::Phase::kQueued;
  call.queued = now.monotonic;
  RequestQueue& queue = call.service->queue(call.lane);
  const auto evicted =
      queue.Push(QueuedRequest{call.token, call.priority, now.monotonic, call.deadline});
  if (evicted) {
    const Reason reason = queue.Overloaded(now.monotonic) ? Reason::kShed : Reason::kQueueFull;
    FinishUnanswered(now, calls_.at(evicted->token), reason);
  }
}

void Router::Impl::Dispatch(Now now, ServiceState& service) {
  if (!service.AnyQueued()) {
    return;
  }
  DropExpired(now, service);
  service.pool().ClearSpill();
  for (const ServiceState::Lane lane : ServiceState::kLanes) {
    DispatchLane(now, service, lane);
  }
  ArmQueue(now, service);
  if (service.AnyQueued()) {
    exchange_.SendUrgentDemand(now);
  }
}

void Router::Impl::DropExpired(Now now, ServiceState& service) {
  if (!protections().admission) {
    return;
  }
  for (const ServiceState::Lane lane : ServiceState::kLanes) {
    const auto expired =
        service.queue(lane).TakeExpired(now.monotonic, service.pool().TypicalTime());
    for (const QueuedRequest& request : expired) {
      const bool in_time = request.deadline - service.pool().TypicalTime() >= now.monotonic;
      FinishUnanswered(now, calls_.at(request.token),
                       in_time ? Reason::kShed : Reason::kExpiredInQueue);
    }
  }
}

void Router::Impl::DispatchLane(Now now, ServiceState& service, ServiceState::Lane lane) {
  RequestQueue& queue = service.queue(lane);
  while (const QueuedRequest* front = queue.Front(now.monotonic)) {
    Call& call = calls_.at(front->token);
    const auto picked = service.pool().Pick(now, PickRequestOf(now, call, queue.size()));
    if (!picked) {
      return;
    }
    queue.Remove(call.token);
    Send(now, call, *picked);
  }
}

void Router::Impl::ArmQueue(Now now, ServiceState& service) {
  const TimerKey key{TimerKind::kQueue, service.number()};
  std::optional<Time> at;
  const auto earlier = [&](Time time) { at = at ? std::min(*at, time) : time; };
  for (const ServiceState::Lane lane : ServiceState::kLanes) {
    RequestQueue& queue = service.queue(lane);
    const auto expiry = queue.NextExpiry(service.pool().TypicalTime());
    if (expiry && protections().admission) {
      earlier(*expiry);
    }
    const QueuedRequest* front = queue.Front(now.monotonic);
    const Duration spill = service.pool().SpillAfter();
    if (front != nullptr && spill > Duration::zero()) {
      earlier(front->enqueued + spill);
    }
  }
  if (at) {
    env_.timers.Arm(key, std::max(*at, now.monotonic + Duration(1)));
  } else {
    env_.timers.Disarm(key);
  }
}

EndpointPool::PickRequest Router::Impl::PickRequestOf(Now now, const Call& call,
                                                      std::size_t queued) const {
  return EndpointPool::PickRequest{call.deadline, call.request.idempotent, &call.tried, queued,
                                   now.monotonic - call.queued};
}

void Router::Impl::Send(Now now, Call& call, const EndpointPool::Picked& picked) {
  const AttemptId id{next_attempt_++};
  EndpointPool& pool = call.service->pool();
  pool.OnSent(picked);
  call.phase = Call::Phase::kRunning;
  call.attempts.push_back(id);
  call.tried.push_back(picked.endpoint);
  attempts_.emplace(id, Attempt{call.token, call.service, call.request.customer, picked,
                                now.monotonic, call.deadline, false, false, false, false});
  const EndpointEntry& entry = pool.entry(picked.endpoint);
  env_.effects.emplace_back(SendAttempt{id, call.token, entry.id, entry.address,
                                        call.request.headers, call.request.body, call.deadline});
  const auto late = pool.LateAfter(picked.endpoint);
  if (late) {
    env_.timers.Arm(AttemptKey(TimerKind::kAttemptLate, id), now.monotonic + *late);
    env_.timers.Arm(AttemptKey(TimerKind::kAttemptOverdue, id),
                    now.monotonic + *pool.OverdueAfter(picked.endpoint));
  }
}

void Router::Impl::Hedge(Now now, Call& call) {
  ServiceState& service = *call.service;
  // While requests wait, a second attempt would take a slot from one that has none yet.
  const bool sensible = call.request.idempotent && !call.hedged && call.attempts.size() == 1 &&
                        !service.AnyQueued() && !Retired(call);
  if (!sensible) {
    return;
  }
  const auto picked = service.pool().Pick(now, PickRequestOf(now, call, 1));
  if (!picked) {
    return;
  }
  if (picked->probe || !service.budget().TrySpend(now.monotonic)) {
    service.pool().Unpick(now, *picked);
    return;
  }
  call.hedged = true;
  env_.counters.Add("cactusshelf_retries_total", "hedge");
  Send(now, call, *picked);
}

void Router::Impl::OnLate(Now now, AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.abandoned) {
    return;
  }
  Attempt& attempt = it->second;
  attempt.late = true;
  attempt.service->pool().OnLate(attempt.picked.endpoint);
  Hedge(now, calls_.at(attempt.call));
}

void Router::Impl::OnOverdue(Now now, AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.abandoned) {
    return;
  }
  it->second.overdue = true;
  it->second.service->pool().OnOverdue(now, it->second.picked.endpoint);
}

void Router::Impl::OnDeadline(Now now, RequestToken token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  if (call.phase == Call::Phase::kQueued) {
    FinishUnanswered(now, call, Reason::kExpiredInQueue);
    return;
  }
  if (call.phase == Call::Phase::kRunning) {
    AbandonAttempts(now, call, AttemptResult::kFailure);
    call.maybe_run = true;
  }
  FinishUnanswered(now, call, Reason::kTimeout);
}

// Takes the attempt off its call and records what it says about the endpoint. The entry remains
// until the slot is released.
void Router::Impl::EndAttempt(Now now, AttemptId id, AttemptResult result) {
  const Attempt attempt = attempts_.at(id);
  for (const TimerKind kind :
       {TimerKind::kAttemptLate, TimerKind::kAttemptOverdue, TimerKind::kAttemptEnd}) {
    env_.timers.Disarm(AttemptKey(kind, id));
  }
  EndpointPool& pool = attempt.service->pool();
  // An overdue attempt counted as a failure already.
  const bool counted = attempt.overdue && result == AttemptResult::kFailure;
  pool.OnEnded(now, attempt.picked, attempt.late, counted ? AttemptResult::kNoVerdict : result,
               now.monotonic - attempt.sent);
  pool.Release(now, attempt.picked);
  const auto call = calls_.find(attempt.call);
  if (call != calls_.end()) {
    std::erase(call->second.attempts, id);
  }
  attempts_.erase(id);
}

void Router::Impl::OnAbandonedEnd(Now now, AttemptId id, const AttemptEvent& event) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || !it->second.abandoned) {
    return;
  }
  const Attempt attempt = it->second;
  const auto* answered = std::get_if<AttemptAnswered>(&event);
  if (answered != nullptr) {
    env_.counters.Add("cactusshelf_late_answers_total", "abandoned");
    if (!protections().drop_late_answers) {
      Call gone;
      gone.token = attempt.call;
      AnswerTo(gone, Outcome::kAnswered, Reason::kNone, answered->response);
    }
  }
  env_.timers.Disarm(AttemptKey(TimerKind::kAttemptEnd, id));
  attempt.service->pool().Release(now, attempt.picked);
  SubtractInFlight(attempt.customer);
  attempts_.erase(id);
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnAnswered(Now now, AttemptId id, Response response) {
  const Attempt attempt = attempts_.at(id);
  const bool failed = response.status >= kServerError;
  EndAttempt(now, id, failed ? AttemptResult::kFailure : AttemptResult::kSuccess);
  Finish(now, attempt.call, Outcome::kAnswered, Reason::kNone, std::move(response));
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnRefused(Now now, AttemptId id, bool leaving) {
  const Attempt attempt = attempts_.at(id);
  Call& call = calls_.at(attempt.call);
  call.handed_over = true;
  if (leaving) {
    MarkLeaving(now, attempt.service->pool().entry(attempt.picked.endpoint).id);
  }
  EndAttempt(now, id, leaving ? AttemptResult::kNoVerdict : AttemptResult::kFailure);
  RetryOrFinish(now, call, Reason::kRefusedByEndpoint);
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnLost(Now now, AttemptId id, Reason reason, bool handed_over) {
  const Attempt attempt = attempts_.at(id);
  Call& call = calls_.at(attempt.call);
  const bool sent = handed_over || attempt.handed_over;
  call.maybe_run = call.maybe_run || sent;
  call.handed_over = call.handed_over || sent;
  EndAttempt(now, id, AttemptResult::kFailure);
  RetryOrFinish(now, call, sent ? reason : Reason::kConnectFailed);
  Dispatch(now, *attempt.service);
}

void Router::Impl::RetryOrFinish(Now now, Call& call, Reason reason) {
  if (!call.attempts.empty()) {
    return;  // The other attempt of a hedged request may still answer.
  }
  const bool retry = MayRetry(now, call) && call.service->budget().TrySpend(now.monotonic);
  if (!retry) {
    FinishUnanswered(now, call, reason);
    return;
  }
  ++call.resends;
  env_.counters.Add("cactusshelf_retries_total", ToString(reason));
  Enqueue(now, call);
}

bool Router::Impl::MayRetry(Now now, const Call& call) const {
  const bool may_repeat = call.request.idempotent || !call.handed_over || !protections().no_resend;
  const bool in_time = now.monotonic + call.service->pool().TypicalTime() < call.deadline;
  const bool wanted = !call.caller_gone || call.claim != 0;
  return may_repeat && in_time && wanted && call.resends < kMaxResends && !Retired(call) &&
         call.service->configured;
}

void Router::Impl::AbandonAttempts(Now now, Call& call, AttemptResult result) {
  for (const AttemptId id : call.attempts) {
    Attempt& attempt = attempts_.at(id);
    for (const TimerKind kind : {TimerKind::kAttemptLate, TimerKind::kAttemptOverdue}) {
      env_.timers.Disarm(AttemptKey(kind, id));
    }
    const bool counted = attempt.overdue && result == AttemptResult::kFailure;
    attempt.service->pool().OnEnded(now, attempt.picked, attempt.late,
                                    counted ? AttemptResult::kNoVerdict : result,
                                    now.monotonic - attempt.sent);
    attempt.abandoned = true;
    AddInFlight(attempt.customer);
    env_.timers.Arm(AttemptKey(TimerKind::kAttemptEnd, id),
                    std::max(attempt.deadline, now.monotonic) + kForgetAttempt);
    env_.effects.emplace_back(CancelAttempt{id});
  }
  call.attempts.clear();
}

void Router::Impl::Refuse(Now now, Call& call, Reason reason) {
  Finish(now, call.token, Outcome::kNotRun, reason, {});
}

// Ends a call that has no answer, as "not run" only if that is proven.
void Router::Impl::FinishUnanswered(Now now, Call& call, Reason reason) {
  if (call.phase == Call::Phase::kClaiming) {
    --claiming_;
    const bool ran_elsewhere = claim_client_.Abandon(call.token);
    const bool no_reply = reason == Reason::kTimeout && !ran_elsewhere;
    // Without the owner's word, an earlier call with the same id may have run.
    Finish(now, call.token, Outcome::kUnknown, no_reply ? Reason::kNoOwner : reason, {});
    return;
  }
  call.service->queue(call.lane).Remove(call.token);
  const bool proven = !call.maybe_run && call.attempts.empty();
  const bool not_run = proven || !protections().not_run_only_if_proven;
  Finish(now, call.token, not_run ? Outcome::kNotRun : Outcome::kUnknown, reason, {});
}

void Router::Impl::Finish(Now now, RequestToken token, Outcome outcome, Reason reason,
                          Response response) {
  Call& call = calls_.at(token);
  AbandonAttempts(now, call, AttemptResult::kNoVerdict);
  env_.counters.Add("cactusshelf_outcomes_total", ToString(outcome));
  if (outcome != Outcome::kAnswered) {
    env_.counters.Add("cactusshelf_refusals_total", ToString(reason));
  }
  AnswerTo(call, outcome, reason, response);
  if (call.claim != 0) {
    claim_client_.Done(*call.request.id, call.claim, call.claim_owner, outcome);
    run_registry_.End(now, *call.request.id,
                      StoredAnswer{call.claim, outcome, reason, std::move(response)});
  }
  if (call.service != nullptr) {
    call.service->OnLeft(call.lane);
  }
  env_.timers.Disarm(DeadlineKey(token));
  SubtractInFlight(call.request.customer);
  calls_.erase(token);
}

void Router::Impl::AnswerTo(const Call& call, Outcome outcome, Reason reason,
                            const Response& response) {
  if (call.caller_gone) {
    return;
  }
  AnswerCaller answer;
  answer.request = call.token;
  answer.outcome = outcome;
  answer.reason = reason;
  if (outcome == Outcome::kAnswered) {
    answer.status = response.status;
    answer.headers = response.headers;
    answer.body = response.body;
  } else {
    answer.status = HttpStatus(outcome, reason);
  }
  if (outcome == Outcome::kNotRun) {
    answer.retry_after = RetryAfter(call, reason);
  }
  env_.effects.emplace_back(std::move(answer));
}

Duration Router::Impl::RetryAfter(const Call& call, Reason reason) const {
  const auto limiter = limiters_.find(call.request.account);
  if (reason == Reason::kRateLimited && limiter != limiters_.end()) {
    return limiter->second.RetryAfter();
  }
  return kRetryAfter;
}

ServiceState* Router::Impl::FindService(const ServiceId& id) {
  const auto it = services_.find(id);
  const bool found = it != services_.end() && it->second->configured;
  return found ? it->second.get() : nullptr;
}

void Router::Impl::MarkLeaving(Now now, const EndpointId& endpoint) {
  const auto it = services_by_endpoint_.find(endpoint);
  if (it != services_by_endpoint_.end()) {
    it->second->pool().SetLeaving(now, endpoint);
  }
}

void Router::Impl::DropUnusedServices(Now /*now*/) {
  std::erase_if(services_, [&](const auto& item) {
    ServiceState& service = *item.second;
    if (service.configured || service.active() > 0 || !service.pool().Empty()) {
      return false;
    }
    services_by_number_.erase(service.number());
    std::erase_if(services_by_endpoint_,
                  [&](const auto& endpoint) { return endpoint.second == &service; });
    env_.timers.Disarm({TimerKind::kQueue, service.number()});
    return true;
  });
}

Router::Router(RouterOptions options, MemberId self, const DomainId& domain, OwnerOf owner_of,
               Random random)
    : impl_(std::make_unique<Impl>(options, std::move(self), domain, std::move(owner_of), random)) {
}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::ApplyServices(Now now, const RoutingTable& table) { impl_->ApplyServices(now, table); }

void Router::SetMembers(Now now, const std::vector<RouterMember>& members) {
  impl_->SetMembers(now, members);
}

void Router::SetCustomerRetired(Now now, const CustomerId& customer) {
  impl_->SetCustomerRetired(now, customer);
}

void Router::SetEndpointLeaving(Now now, const EndpointId& endpoint) {
  impl_->SetEndpointLeaving(now, endpoint);
}

void Router::OnRequest(Now now, RequestToken token, Request request) {
  impl_->OnRequest(now, token, std::move(request));
}

void Router::OnCallerGone(Now now, RequestToken token) { impl_->OnCallerGone(now, token); }

void Router::OnAttemptEvent(Now now, AttemptId attempt, AttemptEvent event) {
  impl_->OnAttemptEvent(now, attempt, std::move(event));
}

void Router::OnPeerMessage(Now now, const MemberId& from, RouterMessage message) {
  impl_->OnRouterMessage(now, from, std::move(message));
}

void Router::OnTimer(Now now) { impl_->OnTimer(now); }

void Router::SetAuthority(Now now, Time valid_until) { impl_->SetAuthority(now, valid_until); }

void Router::StartDraining(Now now) { impl_->StartDraining(now); }

bool Router::drained() const { return impl_->drained(); }

std::vector<RouterEffect> Router::TakeEffects() { return std::exchange(impl_->env().effects, {}); }

std::optional<Time> Router::NextWakeup() const { return impl_->env().timers.Next(); }

const Counters& Router::counters() const { return impl_->env().counters; }

std::size_t Router::in_flight(const CustomerId& customer) const {
  return impl_->in_flight(customer);
}

std::size_t Router::in_flight() const { return impl_->in_flight(); }

}  // namespace cactusshelf
