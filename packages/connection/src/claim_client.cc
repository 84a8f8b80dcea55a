#include "claim_client.h"

#include <utility>

namespace cactusshelf {

namespace {

// A run that ended as "not run" releases its claim, but the release may not have arrived at the
// owner yet.
constexpr Duration kReclaimDelay = std::chrono::milliseconds(50);
constexpr int kMaxFetchRounds = 3;
constexpr std::size_t kMaxCancelledClaims = 10'000;

TimerKey ResendKey(RequestToken token) {
  return {TimerKind::kClaimResend, static_cast<std::uint64_t>(token)};
}

}  // namespace

ClaimClient::ClaimClient(RouterEnv& env, Listener listener)
    : env_(&env), listener_(std::move(listener)) {}

void ClaimClient::SetMembers(Now now, const std::vector<RouterMember>& members) {
  members_.clear();
  for (const RouterMember& member : members) {
    members_.insert(member.id);
  }
  std::vector<RequestToken> orphaned;
  for (const auto& [token, pending] : pending_) {
    if (pending.fetch != 0 && !members_.contains(pending.runner)) {
      orphaned.push_back(token);
    }
  }
  for (const RequestToken token : orphaned) {
    Resolve(now, token, ClaimResolution{Outcome::kUnknown, Reason::kRunnerGone, {}});
  }
}

void ClaimClient::Start(Now now, RequestToken token, const RequestId& id) {
  const ClaimNumber number = next_number_++;
  claims_.emplace(number, token);
  const auto it = pending_.emplace(token, Pending{id, number, 0, MemberId(), false, 0}).first;
  SendClaim(now, token, it->second);
}

void ClaimClient::OnReply(Now now, const MemberId& from, const ClaimReply& reply) {
  const auto claim = claims_.find(reply.number);
  if (claim == claims_.end()) {
    const bool is_unused_grant =
        reply.verdict == ClaimVerdict::kGranted && cancelled_claims_.contains(reply.number);
    if (is_unused_grant) {
      env_->Send(from, ClaimDone{reply.id, reply.number, Outcome::kNotRun});
    }
    return;
  }
  const RequestToken token = claim->second;
  Pending& pending = pending_.at(token);
  if (pending.fetch != 0) {
    return;
  }
  switch (reply.verdict) {
    case ClaimVerdict::kGranted:
      granting_members_.emplace(reply.number, from);
      RemovePending(token);
      listener_.granted(now, token, reply.number);
      return;
    case ClaimVerdict::kRunning:
    case ClaimVerdict::kDone:
      BeginFetch(now, token, pending, reply);
      return;
    case ClaimVerdict::kRefused:
      Resolve(now, token, ClaimResolution{Outcome::kNotRun, reply.reason, {}});
      return;
    case ClaimVerdict::kUnknown:
    case ClaimVerdict::kNoAuthority:
      Resolve(now, token, ClaimResolution{Outcome::kUnknown, reply.reason, {}});
      return;
    case ClaimVerdict::kNotOwner:
      env_->timers.Arm(ResendKey(token), now.monotonic + kReclaimDelay);
      return;
  }
}

void ClaimClient::OnAnswer(Now now, const MemberId& /*from*/, const Answer& answer) {
  const auto fetch = fetches_.find(answer.number);
  if (fetch == fetches_.end()) {
    return;
  }
  const RequestToken token = fetch->second;
  const Pending& pending = pending_.at(token);
  const bool ran = answer.found && answer.outcome != Outcome::kNotRun;
  if (ran) {
    Resolve(now, token, ClaimResolution{answer.outcome, answer.reason, answer.response});
    return;
  }
  const bool may_reclaim = !pending.runner_done && pending.fetch_rounds < kMaxFetchRounds;
  if (may_reclaim) {
    ScheduleReclaim(now, token);
    return;
  }
  Resolve(now, token, ClaimResolution{Outcome::kUnknown, Reason::kRunnerGone, {}});
}

void ClaimClient::OnResendTimer(Now now, RequestToken token) {
  const auto it = pending_.find(token);
  if (it == pending_.end()) {
    return;
  }
  if (it->second.fetch != 0) {
    SendFetch(now, token, it->second);
    return;
  }
  SendClaim(now, token, it->second);
}

bool ClaimClient::Cancel(RequestToken token) {
  const auto it = pending_.find(token);
  if (it == pending_.end()) {
    return false;
  }
  const Pending pending = it->second;
  RemovePending(token);
  if (pending.fetch != 0) {
    return true;
  }
  RecordCancelledClaim(pending.number);
  const std::optional<Ownership> owner = env_->owner_of(pending.id.ShardKey());
  if (owner) {
    env_->Send(owner->member, ClaimDone{pending.id, pending.number, Outcome::kNotRun});
  }
  return false;
}

void ClaimClient::ReportDone(const RequestId& id, ClaimNumber number, const MemberId& owner,
                             Outcome outcome) {
  granting_members_.erase(number);
  env_->Send(owner, ClaimDone{id, number, outcome});
}

MemberId ClaimClient::GranterOf(ClaimNumber number) const {
  const auto it = granting_members_.find(number);
  return it == granting_members_.end() ? MemberId() : it->second;
}

void ClaimClient::SendClaim(Now now, RequestToken token, const Pending& pending) {
  env_->timers.Arm(ResendKey(token), now.monotonic + env_->options.claim_resend_period);
  const std::optional<Ownership> owner = env_->owner_of(pending.id.ShardKey());
  if (owner) {
    env_->Send(owner->member, Claim{pending.id, pending.number});
  }
}

void ClaimClient::SendFetch(Now now, RequestToken token, const Pending& pending) {
  env_->timers.Arm(ResendKey(token), now.monotonic + env_->options.claim_resend_period);
  env_->Send(pending.runner, FetchAnswer{pending.id, pending.fetch});
}

void ClaimClient::BeginFetch(Now now, RequestToken token, Pending& pending,
                             const ClaimReply& reply) {
  ++pending.fetch_rounds;
  pending.fetch = next_number_++;
  pending.runner = reply.runner;
  pending.runner_done = reply.verdict == ClaimVerdict::kDone;
  fetches_.emplace(pending.fetch, token);
  SendFetch(now, token, pending);
}

void ClaimClient::ScheduleReclaim(Now now, RequestToken token) {
  Pending& pending = pending_.at(token);
  fetches_.erase(pending.fetch);
  pending.fetch = 0;
  env_->timers.Arm(ResendKey(token), now.monotonic + kReclaimDelay);
}

void ClaimClient::Resolve(Now now, RequestToken token, ClaimResolution resolution) {
  RemovePending(token);
  listener_.resolved(now, token, std::move(resolution));
}

void ClaimClient::RemovePending(RequestToken token) {
  const auto it = pending_.find(token);
  claims_.erase(it->second.number);
  fetches_.erase(it->second.fetch);
  pending_.erase(it);
  env_->timers.Disarm(ResendKey(token));
}

void ClaimClient::RecordCancelledClaim(ClaimNumber number) {
  cancelled_claims_.insert(number);
  cancelled_claim_order_.push_back(number);
  if (cancelled_claim_order_.size() > kMaxCancelledClaims) {
    cancelled_claims_.erase(cancelled_claim_order_.front());
    cancelled_claim_order_.pop_front();
  }
}

}  // namespace cactusshelf
