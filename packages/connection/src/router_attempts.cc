#include <algorithm>
#include <utility>

#include "router_impl.h"

// Sends attempts to endpoints, and handles their events, retries and hedges.
namespace cactusshelf {
namespace {

constexpr int kMaxResends = 2;
// A cancelled attempt whose end the shell does not report is removed this long after its deadline.
constexpr Duration kCancelledAttemptTimeout = std::chrono::seconds(1);
constexpr int kServerError = 500;

}  // namespace

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
  if (attempt.cancelled) {
    OnCancelledAttemptEnded(now, id, event);
  } else {
    std::visit(VisitorOverloads{
                   [&](AttemptHandedOver&) {},
                   [&](AttemptRefused& refused) { OnAttemptRefused(now, id, refused.leaving); },
                   [&](AttemptAnswered& answered) {
                     OnAttemptAnswered(now, id, std::move(answered.response));
                   },
                   [&](AttemptFailed& failed) {
                     OnAttemptFailed(now, id, Reason::kConnectionFailed, failed.handed_over);
                   },
                   [&](AttemptTruncated&) {
                     if (!protections().drop_truncated) {
                       OnAttemptAnswered(now, id, Response{200, {}, nullptr});
                       return;
                     }
                     OnAttemptFailed(now, id, Reason::kTruncated, true);
                   },
                   [&](AttemptTimedOut&) { OnAttemptFailed(now, id, Reason::kTimeout, true); }},
               event);
  }
  FinishInput(now);
}

void Router::Impl::Send(Now now, Call& call, const EndpointPool::PickResult& picked) {
  const AttemptId id{next_attempt_id_++};
  EndpointPool& pool = call.service->pool();
  pool.OnAttemptSent(picked);
  call.phase = Call::Phase::kRunning;
  call.attempts.push_back(id);
  call.tried_endpoints.push_back(picked.endpoint);
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

void Router::Impl::SendHedge(Now now, Call& call) {
  ServiceState& service = *call.service;
  // While requests wait, a second attempt would take a slot that a waiting request needs.
  const bool may_hedge = call.request.idempotent && !call.hedged && call.attempts.size() == 1 &&
                         !service.HasQueuedRequests() && !IsRetired(call);
  if (!may_hedge) {
    return;
  }
  const auto picked = service.pool().Pick(now, PickRequestOf(now, call, 1));
  if (!picked) {
    return;
  }
  if (picked->probe || !service.retry_budget().TrySpend(now.monotonic)) {
    service.pool().CancelPick(now, *picked);
    return;
  }
  call.hedged = true;
  env_.counters.Add("cactusshelf_retries_total", "hedge");
  Send(now, call, *picked);
}

void Router::Impl::OnAttemptLate(Now now, AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.cancelled) {
    return;
  }
  Attempt& attempt = it->second;
  attempt.late = true;
  attempt.service->pool().OnAttemptLate(attempt.picked.endpoint);
  SendHedge(now, calls_.at(attempt.call));
}

void Router::Impl::OnAttemptOverdue(Now now, AttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || it->second.cancelled) {
    return;
  }
  it->second.overdue = true;
  it->second.service->pool().OnAttemptOverdue(now, it->second.picked.endpoint);
}

// Records the result of the attempt for its endpoint, releases the slot, and removes the attempt
// from its call.
void Router::Impl::EndAttempt(Now now, AttemptId id, AttemptResult result) {
  const Attempt attempt = attempts_.at(id);
  for (const TimerKind kind :
       {TimerKind::kAttemptLate, TimerKind::kAttemptOverdue, TimerKind::kAttemptCancelTimeout}) {
    env_.timers.Disarm(AttemptKey(kind, id));
  }
  EndpointPool& pool = attempt.service->pool();
  // An overdue attempt has already been counted as a failure.
  const bool already_counted = attempt.overdue && result == AttemptResult::kFailure;
  pool.OnAttemptEnded(now, attempt.picked, attempt.late,
                      already_counted ? AttemptResult::kInconclusive : result,
                      now.monotonic - attempt.sent_at);
  pool.Release(now, attempt.picked);
  const auto call = calls_.find(attempt.call);
  if (call != calls_.end()) {
    std::erase(call->second.attempts, id);
  }
  attempts_.erase(id);
}

void Router::Impl::OnCancelledAttemptEnded(Now now, AttemptId id, const AttemptEvent& event) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end() || !it->second.cancelled) {
    return;
  }
  const Attempt attempt = it->second;
  const auto* answered = std::get_if<AttemptAnswered>(&event);
  if (answered != nullptr) {
    env_.counters.Add("cactusshelf_late_answers_total", "abandoned");
    if (!protections().drop_late_answers) {
      Call cancelled_call;
      cancelled_call.token = attempt.call;
      SendAnswer(cancelled_call, Outcome::kAnswered, Reason::kNone, answered->response);
    }
  }
  env_.timers.Disarm(AttemptKey(TimerKind::kAttemptCancelTimeout, id));
  attempt.service->pool().Release(now, attempt.picked);
  SubtractInFlight(attempt.customer);
  attempts_.erase(id);
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnAttemptAnswered(Now now, AttemptId id, Response response) {
  const Attempt attempt = attempts_.at(id);
  const bool failed = response.status >= kServerError;
  EndAttempt(now, id, failed ? AttemptResult::kFailure : AttemptResult::kSuccess);
  Finish(now, attempt.call, Outcome::kAnswered, Reason::kNone, std::move(response));
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnAttemptRefused(Now now, AttemptId id, bool leaving) {
  const Attempt attempt = attempts_.at(id);
  Call& call = calls_.at(attempt.call);
  call.handed_over = true;
  if (leaving) {
    MarkEndpointLeaving(now, attempt.service->pool().entry(attempt.picked.endpoint).id);
  }
  EndAttempt(now, id, leaving ? AttemptResult::kInconclusive : AttemptResult::kFailure);
  RetryOrFinish(now, call, Reason::kRefusedByEndpoint);
  Dispatch(now, *attempt.service);
}

void Router::Impl::OnAttemptFailed(Now now, AttemptId id, Reason reason, bool handed_over) {
  const Attempt attempt = attempts_.at(id);
  Call& call = calls_.at(attempt.call);
  const bool sent = handed_over || attempt.handed_over;
  call.may_have_run = call.may_have_run || sent;
  call.handed_over = call.handed_over || sent;
  EndAttempt(now, id, AttemptResult::kFailure);
  RetryOrFinish(now, call, sent ? reason : Reason::kConnectFailed);
  Dispatch(now, *attempt.service);
}

void Router::Impl::RetryOrFinish(Now now, Call& call, Reason reason) {
  if (!call.attempts.empty()) {
    return;  // The other attempt of a hedged request may still succeed.
  }
  const bool retry = MayRetry(now, call) && call.service->retry_budget().TrySpend(now.monotonic);
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
  const bool in_time = now.monotonic + call.service->pool().MedianLatency() < call.deadline;
  const bool result_needed = !call.caller_disconnected || call.claim != 0;
  return may_repeat && in_time && result_needed && call.resends < kMaxResends && !IsRetired(call) &&
         call.service->configured;
}

void Router::Impl::CancelAttempts(Now now, Call& call, AttemptResult result) {
  for (const AttemptId id : call.attempts) {
    Attempt& attempt = attempts_.at(id);
    for (const TimerKind kind : {TimerKind::kAttemptLate, TimerKind::kAttemptOverdue}) {
      env_.timers.Disarm(AttemptKey(kind, id));
    }
    const bool already_counted = attempt.overdue && result == AttemptResult::kFailure;
    attempt.service->pool().OnAttemptEnded(now, attempt.picked, attempt.late,
                                           already_counted ? AttemptResult::kInconclusive : result,
                                           now.monotonic - attempt.sent_at);
    attempt.cancelled = true;
    AddInFlight(attempt.customer);
    env_.timers.Arm(AttemptKey(TimerKind::kAttemptCancelTimeout, id),
                    std::max(attempt.deadline, now.monotonic) + kCancelledAttemptTimeout);
    env_.effects.emplace_back(CancelAttempt{id});
  }
  call.attempts.clear();
}

}  // namespace cactusshelf
