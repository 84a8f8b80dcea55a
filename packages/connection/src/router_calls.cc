#include <algorithm>
#include <cassert>
#include <utility>

#include "router_impl.h"

// Handles calls from their arrival to their outcome: claims, admission, queueing and answers.
namespace cactusshelf {
namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

void Router::Impl::OnRequest(Now now, RequestToken token, Request request) {
  assert(!calls_.contains(token));
  env_.counters.Add("cactusshelf_requests_total",
                    request.idempotent ? "idempotent" : "non_idempotent");
  Call& call = calls_[token];
  call.token = token;
  call.request = std::move(request);
  call.arrived_at = now.monotonic;
  AddInFlight(call.request.customer);
  const ServiceState* service = FindService(call.request.service);
  const Duration default_timeout =
      service == nullptr ? env_.options.max_request_timeout : service->entry().default_deadline;
  const Duration timeout = call.request.timeout.value_or(default_timeout);
  call.deadline = now.monotonic + std::min(timeout, env_.options.max_request_timeout);
  env_.timers.Arm(DeadlineKey(token), call.deadline);
  const bool needs_claim = !call.request.idempotent && protections().claims;
  if (!needs_claim) {
    Admit(now, call);
  } else if (!call.request.id) {
    Refuse(now, call, Reason::kBadRequest);
  } else if (pending_claims_ >= env_.options.queue_capacity) {
    // The owner has not been asked, so an earlier call with this id may have run.
    Finish(now, token, Outcome::kUnknown, Reason::kQueueFull, {});
  } else {
    ++pending_claims_;
    claim_client_.Start(now, token, *call.request.id);
  }
  FinishInput(now);
}

void Router::Impl::OnCallerDisconnected(Now now, RequestToken token) {
  const auto it = calls_.find(token);
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  call.caller_disconnected = true;
  const bool has_waiters = call.claim != 0 && run_registry_.HasWaiters(*call.request.id);
  // A non-idempotent request continues, so that a caller that repeats the id gets the answer.
  const bool keep_running = call.phase == Call::Phase::kRunning && !call.request.idempotent;
  if (!has_waiters && !keep_running) {
    FinishUnanswered(now, call, Reason::kCallerGone);
  }
  FinishInput(now);
}

std::size_t Router::Impl::in_flight(const CustomerId& customer) const {
  const auto it = in_flight_by_customer_.find(customer);
  return it == in_flight_by_customer_.end() ? 0 : it->second;
}

void Router::Impl::AddInFlight(const CustomerId& customer) {
  ++in_flight_by_customer_[customer];
  ++total_in_flight_;
}

void Router::Impl::SubtractInFlight(const CustomerId& customer) {
  const auto it = in_flight_by_customer_.find(customer);
  assert(it != in_flight_by_customer_.end() && it->second > 0);
  --total_in_flight_;
  if (--it->second == 0) {
    in_flight_by_customer_.erase(it);
  }
}

void Router::Impl::OnGranted(Now now, RequestToken token, ClaimNumber number) {
  Call& call = calls_.at(token);
  --pending_claims_;
  call.claim = number;
  call.claim_owner = claim_client_.GranterOf(number);
  run_registry_.Begin(*call.request.id, number);
  Admit(now, call);
}

void Router::Impl::OnClaimResolved(Now now, RequestToken token, ClaimResolution end) {
  --pending_claims_;
  if (!protections().not_run_only_if_proven && end.outcome == Outcome::kUnknown) {
    end.outcome = Outcome::kNotRun;
  }
  Finish(now, token, end.outcome, end.reason, std::move(end.response));
}

Reason Router::Impl::CheckAdmission(Now now, const Call& call) {
  ServiceState* service = FindService(call.request.service);
  if (service == nullptr) {
    return Reason::kUnknownService;
  }
  if (!IsAccountKnown(call.request)) {
    return Reason::kUnknownAccount;
  }
  if (retired_customers_.contains(call.request.customer) ||
      retired_customers_.contains(service->entry().customer)) {
    return Reason::kCustomerRetired;
  }
  if (draining_) {
    return Reason::kDraining;
  }
  if (!rate_limiters_.at(call.request.account).TryTake(now.monotonic)) {
    return Reason::kRateLimited;
  }
  if (!service->pool().HasEndpoints()) {
    return Reason::kNoEndpoint;
  }
  return Reason::kNone;
}

bool Router::Impl::IsAccountKnown(const Request& request) const {
  const auto it = customers_by_account_.find(request.account);
  return it != customers_by_account_.end() && it->second == request.customer;
}

bool Router::Impl::IsRetired(const Call& call) const {
  const bool service_retired =
      call.service != nullptr && retired_customers_.contains(call.service->entry().customer);
  return service_retired || retired_customers_.contains(call.request.customer);
}

void Router::Impl::Admit(Now now, Call& call) {
  const Reason refusal = CheckAdmission(now, call);
  if (refusal != Reason::kNone) {
    Refuse(now, call, refusal);
    return;
  }
  ServiceState& service = *FindService(call.request.service);
  const auto priority = customer_priorities_.find(call.request.customer);
  call.priority = priority == customer_priorities_.end() ? 0 : priority->second;
  call.request_class = service.ClassOf(call.deadline - now.monotonic);
  service.retry_budget().OnRequest(now.monotonic);
  if (!service.CanMeetDeadline(now, call.request_class, call.priority, call.deadline)) {
    Refuse(now, call, Reason::kDeadlineTooClose);
    return;
  }
  call.service = &service;
  service.OnRequestEntered(call.request_class);
  Enqueue(now, call);
  Dispatch(now, service);
}

void Router::Impl::Enqueue(Now now, Call& call) {
  call.phase = Call::Phase::kQueued;
  call.queued_at = now.monotonic;
  RequestQueue& queue = call.service->queue(call.request_class);
  const auto evicted =
      queue.Push(QueuedRequest{call.token, call.priority, now.monotonic, call.deadline});
  if (evicted) {
    const Reason reason = queue.IsOverloaded(now.monotonic) ? Reason::kShed : Reason::kQueueFull;
    FinishUnanswered(now, calls_.at(evicted->token), reason);
  }
}

void Router::Impl::Dispatch(Now now, ServiceState& service) {
  if (!service.HasQueuedRequests()) {
    return;
  }
  DropExpired(now, service);
  service.pool().ClearSpilloverDelay();
  for (const ServiceState::RequestClass request_class : ServiceState::kRequestClasses) {
    DispatchClass(now, service, request_class);
  }
  ArmQueueTimer(now, service);
  if (service.HasQueuedRequests()) {
    slot_exchange_.SendUrgentDemand(now);
  }
}

void Router::Impl::DropExpired(Now now, ServiceState& service) {
  if (!protections().admission) {
    return;
  }
  for (const ServiceState::RequestClass request_class : ServiceState::kRequestClasses) {
    const auto expired =
        service.queue(request_class).TakeExpired(now.monotonic, service.pool().MedianLatency());
    for (const QueuedRequest& request : expired) {
      const bool in_time = request.deadline - service.pool().MedianLatency() >= now.monotonic;
      FinishUnanswered(now, calls_.at(request.token),
                       in_time ? Reason::kShed : Reason::kExpiredInQueue);
    }
  }
}

void Router::Impl::DispatchClass(Now now, ServiceState& service,
                                 ServiceState::RequestClass request_class) {
  RequestQueue& queue = service.queue(request_class);
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

void Router::Impl::ArmQueueTimer(Now now, ServiceState& service) {
  const TimerKey key{TimerKind::kQueue, service.number()};
  std::optional<Time> at;
  const auto use_earliest = [&](Time time) { at = at ? std::min(*at, time) : time; };
  for (const ServiceState::RequestClass request_class : ServiceState::kRequestClasses) {
    RequestQueue& queue = service.queue(request_class);
    const auto expiry = queue.NextExpiry(service.pool().MedianLatency());
    if (expiry && protections().admission) {
      use_earliest(*expiry);
    }
    const QueuedRequest* front = queue.Front(now.monotonic);
    const Duration spillover_delay = service.pool().SpilloverDelay();
    if (front != nullptr && spillover_delay > Duration::zero()) {
      use_earliest(front->enqueued + spillover_delay);
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
  return EndpointPool::PickRequest{call.deadline, call.request.idempotent, &call.tried_endpoints,
                                   queued, now.monotonic - call.queued_at};
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
    CancelAttempts(now, call, AttemptResult::kFailure);
    call.may_have_run = true;
  }
  FinishUnanswered(now, call, Reason::kTimeout);
}

void Router::Impl::Refuse(Now now, Call& call, Reason reason) {
  Finish(now, call.token, Outcome::kNotRun, reason, {});
}

// Ends a call that has no answer. The outcome is "not run" only if no attempt can have run the
// request, and "unknown" otherwise.
void Router::Impl::FinishUnanswered(Now now, Call& call, Reason reason) {
  if (call.phase == Call::Phase::kClaiming) {
    --pending_claims_;
    const bool ran_elsewhere = claim_client_.Cancel(call.token);
    const bool no_reply = reason == Reason::kTimeout && !ran_elsewhere;
    // The owner has not replied, so an earlier call with the same id may have run.
    Finish(now, call.token, Outcome::kUnknown, no_reply ? Reason::kNoOwner : reason, {});
    return;
  }
  call.service->queue(call.request_class).Remove(call.token);
  const bool proven = !call.may_have_run && call.attempts.empty();
  const bool not_run = proven || !protections().not_run_only_if_proven;
  Finish(now, call.token, not_run ? Outcome::kNotRun : Outcome::kUnknown, reason, {});
}

void Router::Impl::Finish(Now now, RequestToken token, Outcome outcome, Reason reason,
                          Response response) {
  Call& call = calls_.at(token);
  CancelAttempts(now, call, AttemptResult::kInconclusive);
  env_.counters.Add("cactusshelf_outcomes_total", ToString(outcome));
  if (outcome != Outcome::kAnswered) {
    env_.counters.Add("cactusshelf_refusals_total", ToString(reason));
  }
  SendAnswer(call, outcome, reason, response);
  if (call.claim != 0) {
    claim_client_.ReportDone(*call.request.id, call.claim, call.claim_owner, outcome);
    run_registry_.End(now, *call.request.id,
                      StoredAnswer{call.claim, outcome, reason, std::move(response)});
  }
  if (call.service != nullptr) {
    call.service->OnRequestLeft(call.request_class);
  }
  env_.timers.Disarm(DeadlineKey(token));
  SubtractInFlight(call.request.customer);
  calls_.erase(token);
}

void Router::Impl::SendAnswer(const Call& call, Outcome outcome, Reason reason,
                              const Response& response) {
  if (call.caller_disconnected) {
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
  const auto limiter = rate_limiters_.find(call.request.account);
  if (reason == Reason::kRateLimited && limiter != rate_limiters_.end()) {
    return limiter->second.RetryAfter();
  }
  return kDefaultRetryAfter;
}

}  // namespace cactusshelf
