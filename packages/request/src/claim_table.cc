#include "cactusshelf/request/claim_table.h"

#include <algorithm>

namespace cactusshelf {

namespace {

ClaimReply MakeReply(const Claim& claim, ClaimVerdict verdict, Reason reason = Reason::kNone) {
  return ClaimReply{claim.id, claim.number, verdict, reason, MemberId()};
}

}  // namespace

ClaimTable::ClaimTable(ClaimTableOptions options) : options_(options) {}

void ClaimTable::SetMembers(const std::vector<MemberId>& members) {
  members_ = {members.begin(), members.end()};
}

ClaimReply ClaimTable::Decide(WallTime now, const MemberId& from, const Claim& claim,
                              WallTime ownership_start, std::optional<WallTime> authority_end) {
  DropExpiredClaims(now);
  const WallTime issued = claim.id.IssuedAt();
  if (issued < dropped_before_) {
    return MakeReply(claim, ClaimVerdict::kUnknown, Reason::kIdTooOld);
  }
  const auto it = claims_.find(claim.id);
  if (it != claims_.end()) {
    return ReplyToExistingClaim(it->second, from, claim);
  }
  if (issued > now + options_.max_clock_skew) {
    return MakeReply(claim, ClaimVerdict::kRefused, Reason::kIdFromFuture);
  }
  const bool before_ownership = issued < ownership_start + options_.max_clock_skew;
  if (before_ownership && options_.check_ownership_start) {
    return MakeReply(claim, ClaimVerdict::kUnknown, Reason::kBeforeOwnership);
  }
  if (authority_end) {
    // A successor does not grant ids that were issued before this member's authority ended, so a
    // request with such an id and no claim here was not run. A successor may have granted later
    // ids.
    const bool provably_not_run = issued < *authority_end;
    return MakeReply(claim, provably_not_run ? ClaimVerdict::kRefused : ClaimVerdict::kNoAuthority,
                     Reason::kNoAuthority);
  }
  if (claims_.size() >= options_.max_claims) {
    return MakeReply(claim, ClaimVerdict::kRefused, Reason::kClaimTableFull);
  }
  claims_.emplace(claim.id, Entry{from, claim.number, false});
  return MakeReply(claim, ClaimVerdict::kGranted);
}

void ClaimTable::OnClaimDone(const MemberId& from, const ClaimDone& done) {
  const auto it = claims_.find(done.id);
  if (it == claims_.end()) {
    return;
  }
  Entry& entry = it->second;
  const bool matches_entry = entry.runner == from && entry.number == done.number && !entry.done;
  if (!matches_entry) {
    return;
  }
  if (done.outcome == Outcome::kNotRun) {
    claims_.erase(it);
    return;
  }
  entry.done = true;
}

ClaimReply ClaimTable::ReplyToExistingClaim(const Entry& entry, const MemberId& from,
                                            const Claim& claim) const {
  const bool repeated = entry.runner == from && entry.number == claim.number && !entry.done;
  if (repeated) {
    return MakeReply(claim, ClaimVerdict::kGranted);
  }
  if (!members_.contains(entry.runner)) {
    return MakeReply(claim, ClaimVerdict::kUnknown, Reason::kRunnerGone);
  }
  ClaimReply reply = MakeReply(claim, entry.done ? ClaimVerdict::kDone : ClaimVerdict::kRunning);
  reply.runner = entry.runner;
  return reply;
}

void ClaimTable::DropExpiredClaims(WallTime now) {
  const WallTime cutoff =
      std::chrono::floor<WallTime::duration>(now - Duration(options_.claim_window));
  dropped_before_ = std::max(dropped_before_, cutoff);
  while (!claims_.empty() && claims_.begin()->first.IssuedAt() < dropped_before_) {
    claims_.erase(claims_.begin());
  }
}

}  // namespace cactusshelf
