#include "claim_owner.h"

namespace cactusshelf {

namespace {

ClaimTableOptions TableOptions(const RouterOptions& options) {
  return ClaimTableOptions{options.max_clock_skew, options.claim_window, options.max_claims,
                           options.protections.ownership_start};
}

std::string_view VerdictName(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return "granted";
    case ClaimVerdict::kRunning:
      return "running";
    case ClaimVerdict::kDone:
      return "done";
    case ClaimVerdict::kRefused:
      return "refused";
    case ClaimVerdict::kUnknown:
      return "unknown";
    case ClaimVerdict::kNotOwner:
      return "not_owner";
    case ClaimVerdict::kNoAuthority:
      return "no_authority";
  }
  return "unknown";
}

}  // namespace

ClaimOwner::ClaimOwner(RouterEnv& env) : env_(&env), table_(TableOptions(env.options)) {}

void ClaimOwner::SetMembers(const std::vector<RouterMember>& members) {
  std::vector<MemberId> ids;
  ids.reserve(members.size());
  for (const RouterMember& member : members) {
    ids.push_back(member.id);
  }
  table_.SetMembers(ids);
}

void ClaimOwner::OnClaim(Now now, const MemberId& from, const Claim& claim) {
  const std::optional<Ownership> owner = env_->owner_of(claim.id.ShardKey());
  ClaimReply reply{claim.id, claim.number, ClaimVerdict::kNotOwner, Reason::kNone, MemberId()};
  std::optional<Time> valid_until;
  if (owner && owner->member == env_->self) {
    const std::optional<WallTime> authority_end = AuthorityEnd(now);
    reply = table_.Decide(now.wall, from, claim, owner->ownership_start, authority_end);
    if (!authority_end) {
      valid_until = authority_until_;
    }
  }
  env_->counters.Add("cactusshelf_claims_total", VerdictName(reply.verdict));
  env_->Send(from, reply, valid_until);
}

std::optional<WallTime> ClaimOwner::AuthorityEnd(Now now) const {
  if (now.monotonic < authority_until_) {
    return std::nullopt;
  }
  if (authority_until_ == Time::min()) {
    return WallTime::min();
  }
  const Duration since = now.monotonic - authority_until_;
  return now.wall - std::chrono::ceil<WallTime::duration>(since);
}

}  // namespace cactusshelf
