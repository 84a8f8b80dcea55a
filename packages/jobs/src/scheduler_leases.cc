#include <algorithm>
#include <set>
#include <utility>

#include "majority.h"
#include "scheduler.h"

// For how long this owner may grant leases, and until when those of earlier owners last.
namespace cactusshelf::jobs {
namespace {

// Time between two looks at the answers of all voters.
constexpr Duration kMajorityCheckPeriod = std::chrono::milliseconds(100);
// The votes of hosts are asked for more often once the store has not confirmed the ownership for
// this long, so that they are there before it is needed.
constexpr Duration kMaxUnconfirmedTime = std::chrono::milliseconds(600);
// Time between two comparisons of the stored voting hosts with those that answer.
constexpr Duration kVotingHostsCheckPeriod = std::chrono::seconds(1);
// A host that has not answered for this long does not vote from the next record on.
constexpr Duration kMaxHostSilence = std::chrono::seconds(3);
// Most of the voting hosts are replaced only after this long, since they may be starting again, or
// be cut off from an owner that is about to be lost.
constexpr Duration kMaxMassSilence = std::chrono::seconds(15);
// Time between two comparisons of the stored lease with the longest one that any worker holds.
constexpr Duration kLeaseCheckPeriod = std::chrono::seconds(1);

// True if more than half of the hosts of `all` are among `some`, or there are none.
bool HasMajorityOf(const HostVotes::Voters& all, const HostVotes::Voters& some) {
  const auto n = std::count_if(all.begin(), all.end(),
                               [&](const auto& voter) { return some.contains(voter.first); });
  return all.empty() || 2 * static_cast<std::size_t>(n) > all.size();
}

}  // namespace

Time Scheduler::MajorityConfirmedAt(const std::vector<std::string>& voters) const {
  std::vector<Time> times;
  times.reserve(voters.size());
  for (const std::string& id : voters) {
    const auto it = workers_.find(id);
    // An incarnation that began later may follow one that had accepted another owner's token.
    const bool known =
        it != workers_.end() && it->second.incarnation_seen_at <= ownership_confirmed_at_;
    times.push_back(known ? it->second.token_confirmed_at : Time{});
  }
  return MajorityTime(std::move(times));
}

Time Scheduler::HostsConfirmedAt(const Now& now) const {
  const auto confirmed_at = [&](const VotingHostsRecord& record) {
    if (record.members.empty()) return Time::max();
    if (host_votes_ == nullptr) return Time{};
    return host_votes_->MajorityConfirmedAt(record.members, now.monotonic);
  };
  const Time stored = confirmed_at(voting_hosts_);
  return voting_hosts_batch_ ? std::min(stored, confirmed_at(*voting_hosts_batch_)) : stored;
}

Time Scheduler::VotersConfirmedAt(const Now& now) const {
  Time confirmed_at = std::min(MajorityConfirmedAt(voters_), HostsConfirmedAt(now));
  for (const auto& [id, roster] : roster_batches_)
    confirmed_at = std::min(confirmed_at, MajorityConfirmedAt(roster.voters));
  confirmed_at = std::min(confirmed_at, ownership_confirmed_at_ + options_.max_time_without_store);
  // The steady clock may not count a suspension.
  return confirmed_at >= resumed_at_ ? confirmed_at : Time{};
}

Time Scheduler::EndsConfirmedAt() const {
  return std::max(ownership_confirmed_at_, majority_confirmed_at_);
}

Time Scheduler::AuthorityByStore() const {
  return heartbeat_confirmed_at_ + options_.fencing_detection_time;
}

void Scheduler::UpdateAuthority(const Now& now) {
  authority_until_ = std::max(authority_until_, AuthorityByStore());
  const bool needs_majority = now.monotonic > AuthorityByStore() || awaits_confirmation_;
  if (needs_majority && now.monotonic >= next_majority_check_) {
    next_majority_check_ = now.monotonic + kMajorityCheckPeriod;
    majority_confirmed_at_ = std::max(majority_confirmed_at_, VotersConfirmedAt(now));
    authority_until_ =
        std::max(authority_until_, majority_confirmed_at_ + options_.majority_detection_time);
  }
  const bool may_grant = GrantableLease(now) > Duration::zero();
  if (may_grant == may_grant_leases_) return;
  may_grant_leases_ = may_grant;
  placement_needed_ = true;
  LogEvent event(may_grant ? LogLevel::kInfo : LogLevel::kWarning,
                 may_grant ? "leases_resumed" : "leases_withheld");
  event.With("ms_since_confirmed", ToMilliseconds(now.monotonic - ownership_confirmed_at_))
      .With("voters", voters_.size())
      .With("voting_hosts", voting_hosts_.members.size())
      .With("ms_since_workers", ToMilliseconds(now.monotonic - MajorityConfirmedAt(voters_)))
      .With("ms_since_hosts", ToMilliseconds(now.monotonic - HostsConfirmedAt(now)));
  Log(std::move(event));
  if (!may_grant) counters_.Add("cactusshelf_leases_withheld_total", "ownership_unconfirmed");
}

Duration Scheduler::GrantableLease(const Now& now) const {
  const Duration late = std::max(now.monotonic - authority_until_, Duration::zero());
  return std::max(options_.lease - late, Duration::zero());
}

void Scheduler::CheckIncarnationKnown(WorkerState& worker, const Now& now) const {
  if (worker.incarnation_known) return;
  const bool by_store = now.monotonic <= AuthorityByStore();
  worker.incarnation_known = by_store || worker.incarnation_seen_at <= EndsConfirmedAt();
}

std::optional<WorkerClock> Scheduler::GrantLease(WorkerState& worker, const Now& now) {
  const Duration lease = GrantableLease(now);
  CheckIncarnationKnown(worker, now);
  if (lease == Duration::zero() || !worker.incarnation_known) return std::nullopt;
  const WorkerClock end = worker.LeaseEnd(lease, now.monotonic);
  worker.OnLeaseGranted(end, now.monotonic);
  return end;
}

void Scheduler::SetEndOfEarlierLeases() {
  last_earlier_grant_ = std::max(last_earlier_record_at_ + options_.fencing_detection_time,
                                 last_earlier_vote_at_ + options_.majority_detection_time);
  if (earlier_owners_ended_at_)
    last_earlier_grant_ = std::min(last_earlier_grant_, *earlier_owners_ended_at_);
  const auto end_of = [&](Duration lease) {
    return last_earlier_grant_ +
           LongestTime(std::max(lease, stored_leases_.lease), options_.max_clock_drift);
  };
  earlier_leases_end_ = end_of(options_.longest_lease);
  takeover_end_ = earlier_leases_bound_ ? end_of(options_.lease) : earlier_leases_end_;
}

bool Scheduler::HasOwnerOfEachGeneration() const {
  std::set<std::int64_t> generations;
  for (const OwnerRecord& claim : earlier_claims_) {
    // Only owners store records with their epoch.
    const bool owned = claim.epoch != 0 && claim.generation < generation_;
    if (owned) generations.insert(claim.generation);
  }
  const std::int64_t first = std::max<std::int64_t>(stored_leases_.generation, 1);
  return static_cast<std::int64_t>(generations.size()) >= generation_ - first;
}

void Scheduler::CheckEarlierOwners() {
  if (earlier_owners_ended_at_ || host_votes_ == nullptr) return;
  // The claims don't tell of this process, which may have owned the cell before.
  Time ended_at = std::max(followed_owners_ended_at_, host_votes_->earlier_vote_at());
  for (const OwnerRecord& claim : earlier_claims_) {
    const std::optional<Time> stopped_at = host_votes_->StoppedAt(claim);
    if (!stopped_at) return;
    ended_at = std::max(ended_at, *stopped_at);
  }
  earlier_owners_ended_at_ = ended_at;
  if (quorum_.reached()) SetEndOfEarlierLeases();
  Log(LogEvent(LogLevel::kInfo, "earlier_owners_stopped")
          .With("claims", earlier_claims_.size())
          .With("ms_since_gained", ToMilliseconds(ended_at - gained_at_)));
}

void Scheduler::CheckHostVotesNeeded(const Now& now) {
  const bool waits_for_earlier_owners = !unreported_workers_.empty() && !earlier_owners_ended_at_;
  const bool store_silent = now.monotonic - heartbeat_confirmed_at_ > kMaxUnconfirmedTime;
  needs_host_votes_ = !quorum_.reached() || waits_for_earlier_owners || store_silent;
}

void Scheduler::CheckQuorum(const Now& now) {
  CheckEarlierOwners();
  if (quorum_.reached()) return;
  const auto& hosts = voting_hosts_.members;
  std::optional<Time> hosts_voted_at;
  if (host_votes_ != nullptr && !hosts.empty()) hosts_voted_at = host_votes_->QuorumAt(hosts);
  const bool by_hosts = hosts_voted_at.has_value();
  const bool by_time = now.monotonic >= gained_at_ + options_.max_time_without_store;
  if (!by_hosts && !by_time && !earlier_owners_ended_at_) return;
  quorum_.Waive(now.monotonic);
  OnQuorumReached(by_hosts                   ? "hosts"
                  : earlier_owners_ended_at_ ? "earlier_owners"
                                             : "time",
                  hosts_voted_at.value_or(now.monotonic), now);
}

void Scheduler::OnQuorumReached(std::string_view reason, Time last_vote_at, const Now& now) {
  last_earlier_vote_at_ = last_vote_at;
  SetEndOfEarlierLeases();
  // The roster may list further workers from now on, and the next owner learns of the quorum.
  roster_changed_ = true;
  next_lease_check_ = now.monotonic;
  Log(LogEvent(LogLevel::kInfo, "takeover_quorum")
          .With("voters", quorum_.voters())
          .With("accepted", quorum_.accepted())
          .With("voting_hosts", voting_hosts_.members.size())
          .With("reason", std::string(reason))
          .With("ms", ToMilliseconds(now.monotonic - gained_at_)));
}

void Scheduler::CheckVotingHosts(const Now& now) {
  if (now.monotonic < next_voting_hosts_check_) return;
  next_voting_hosts_check_ = now.monotonic + kVotingHostsCheckPeriod;
  // The record of earlier owners keeps them apart until the quorum.
  const bool may_store = host_votes_ != nullptr && quorum_.reached() && !voting_hosts_batch_;
  if (!may_store) return;
  VotingHostsRecord present{generation_,
                            host_votes_->AnsweredSince(now.monotonic - kMaxHostSilence)};
  if (!HasMajorityOf(voting_hosts_.members, present.members)) {
    if (now.monotonic - gained_at_ < kMaxMassSilence) return;
    present.members = host_votes_->AnsweredSince(now.monotonic - kMaxMassSilence);
  }
  const bool stored = voting_hosts_.generation == generation_;
  if (stored && voting_hosts_.members == present.members) return;
  voting_hosts_batch_ = std::move(present);
}

void Scheduler::CheckStoredLeases(const Now& now) {
  if (now.monotonic < next_lease_check_) return;
  next_lease_check_ = now.monotonic + kLeaseCheckPeriod;
  // The record tells the next owner that no owner before this one grants leases any more.
  if (now.monotonic < last_earlier_grant_) return;
  const bool earlier_ended = now.monotonic >= earlier_leases_end_;
  earlier_leases_bound_ = earlier_leases_bound_ || earlier_ended;
  // Until then the record of the earlier owner still says which of its leases are known.
  if (!earlier_leases_bound_) return;
  LeaseRecord present;
  present.bound = true;
  present.lease = earlier_ended ? options_.lease : std::max(options_.lease, stored_leases_.lease);
  present.generation = generation_;
  const bool stored = stored_leases_.bound && stored_leases_.generation == generation_;
  if (stored && stored_leases_.lease == present.lease) return;
  stored_leases_ = std::move(present);
  leases_changed_ = true;
}

}  // namespace cactusshelf::jobs
