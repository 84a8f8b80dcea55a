#include "cactusshelf/request/claim_table.h"

#include <algorithm>

namespace cactusshelf {

namespace {

ClaimReply Reply(const Claim& claim, ClaimVerdict verdict, Reason reason = Reason::kNone) {
  return ClaimReply{claim.id, claim.number, verdict, reason, MemberId()};
}

}  // namespace

IntentTable::IntentTable(IntentTableOptions options) : options_(options) {}

void IntentTable::SetMembers(const std::vector<MemberId>& members) {
  members_ = {members.begin(), members.end()};
}

ClaimReply IntentTable::Decide(WallTime now, const MemberId& from, const Claim& claim,
                               WallTime tenure_start, std::optional<WallTime> authority_end) {
  Expire(now);
  const WallTime issued = claim.id.IssuedAt();
  if (issued < dropped_before_) {
    return Reply(claim, ClaimVerdict::kUnknown, Reason::kIdTooOld);
  }
  const auto it = claims_.find(claim.id);
  if (it != claims_.end()) {
    return Known(it->second, from, claim);
  }
  if (issued > now + options_.max_clock_skew) {
    return Reply(claim, ClaimVerdict::kRefused, Reason::kIdFromFuture);
  }
  const bool before_tenure = issued < tenure_start + options_.max_clock_skew;
  if (before_tenure && options_.check_tenure) {
    return Reply(claim, ClaimVerdict::kUnknown, Reason::kBeforeTenure);
  }
  if (authority_end) {
    // A successor grants no id that was issued before this member's authority ended, so such an
    // id was not run. A later one may have been granted by a successor.
    const bool proven = issued < *authority_end;
    return Reply(claim, proven ? ClaimVerdict::kRefused : ClaimVerdict::kNoAuthority,
                 Reason::kNoAuthority);
  }
  if (claims_.size() >= options_.max_claims) {
    return Reply(claim, ClaimVerdict::kRefused, Reason::kClaimTableFull);
  }
  claims_.emplace(claim.id, Entry{from, claim.number, false});
  return Reply(claim, ClaimVerdict::kGranted);
}

void IntentTable::Done(const MemberId& from, const ClaimDone& done) {
  const auto it = claims_.find(done.id);
  if (it == claims_.end()) {
    return;
  }
  Entry& entry = it->second;
  const bool in_force = entry.runner == from && entry.number == done.number && !entry.done;
  if (!in_force) {
    return;
  }
  if (done.outcome == Outcome::kNotRun) {
    claims_.erase(it);
    return;
  }
  entry.done = true;
}

ClaimReply IntentTable::Known(const Entry& entry, const MemberId& from, const Claim& claim) const {
  const bool repeated = entry.runner == from && entry.number == claim.number && !entry.done;
  if (repeated) {
    return Reply(claim, ClaimVerdict::kGranted);
  }
  if (!members_.contains(entry.runner)) {
    return Reply(claim, ClaimVerdict::kUnknown, Reason::kRunnerGone);
  }
  ClaimReply reply = Reply(claim, entry.done ? ClaimVerdict::kDone : ClaimVerdict::kRunning);
  reply.runner = entry.runner;
  return reply;
}

void IntentTable::Expire(WallTime now) {
  const WallTime cutoff =
      std::chrono::floor<WallTime::duration>(now - Duration(options_.claim_window));
  dropped_before_ = std::max(dropped_before_, cutoff);
  while (!claims_.empty() && claims_.begin()->first.IssuedAt() < dropped_before_) {
    claims_.erase(claims_.begin());
  }
}

}  // namespace cactusshelf
