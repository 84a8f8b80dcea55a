#include <algorithm>
#include <cassert>
#include <utility>

#include "router_impl.h"

// Calls from their arrival to their outcome: claims, admission, queues, answers.
namespace cactusshelf {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

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
      service == nullptr ? env_.options.max_request_timeout : service->entry().default_deadline;
  const Duration timeout = call.request.timeout.value_or(usual);
  call.deadline = now.monotonic + std::min(timeout, env_.options.max_request_timeout);
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

std::size_t Router::Impl::in_flight(const CustomerId& customer) const {
  const auto it = in_flight_.find(customer);
  return it == in_flight_.end() ? 0 : it->second;
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

}  // namespace cactusshelf
