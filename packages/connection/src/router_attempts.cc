#include <algorithm>
#include <utility>

#include "router_impl.h"

// Attempts at endpoints: sent, ended, repeated.
namespace cactusshelf {
namespace {

constexpr int kMaxResends = 2;
// A cancelled attempt whose end the shell never reports.
constexpr Duration kForgetAttempt = std::chrono::seconds(1);
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

}  // namespace cactusshelf
