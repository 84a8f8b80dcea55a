#include <algorithm>
#include <functional>

#include "scheduler.h"

// For how long this owner may grant leases, and until when those of earlier owners last.
namespace cactusshelf::jobs {
namespace {

// Time between two looks at the answers of all voters.
constexpr Duration kMajorityCheckPeriod = std::chrono::milliseconds(100);
// Time between two comparisons of the stored lease with the longest one that any worker holds.
constexpr Duration kLeaseCheckPeriod = std::chrono::seconds(1);

}  // namespace

Time Scheduler::MajorityConfirmedAt(const std::vector<std::string>& voters) const {
  if (voters.empty()) return {};
  std::vector<Time> times;
  times.reserve(voters.size());
  for (const std::string& id : voters) {
    const auto it = workers_.find(id);
    // An incarnation that began later may follow one that had accepted another owner's token.
    const bool known =
        it != workers_.end() && it->second.incarnation_seen_at <= ownership_confirmed_at_;
    times.push_back(known ? it->second.token_confirmed_at : Time{});
  }
  const auto least = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), least, times.end(), std::greater<>());
  return *least;
}

Time Scheduler::EndsConfirmedAt() const {
  return std::max(ownership_confirmed_at_, majority_confirmed_at_);
}

Time Scheduler::AuthorityByStore() const {
  return ownership_confirmed_at_ + options_.fencing_detection_time;
}

void Scheduler::UpdateAuthority(const Now& now) {
  authority_until_ = std::max(authority_until_, AuthorityByStore());
  const bool needs_majority = now.monotonic > AuthorityByStore() || awaits_confirmation_;
  if (needs_majority && now.monotonic >= next_majority_check_) {
    next_majority_check_ = now.monotonic + kMajorityCheckPeriod;
    Time confirmed_at = MajorityConfirmedAt(voters_);
    for (const auto& [id, roster] : roster_batches_)
      confirmed_at = std::min(confirmed_at, MajorityConfirmedAt(roster.voters));
    confirmed_at =
        std::min(confirmed_at, ownership_confirmed_at_ + options_.max_time_without_store);
    majority_confirmed_at_ = std::max(majority_confirmed_at_, confirmed_at);
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
      .With("voters", voters_.size());
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
  const Time last_granted = earlier_owners_ended_
                                ? gained_at_
                                : std::max(gained_at_ + options_.fencing_detection_time,
                                           quorum_.reached_at() + options_.majority_detection_time);
  const auto end_of = [&](Duration lease) {
    return last_granted +
           LongestTime(std::max(lease, stored_leases_.lease), options_.max_clock_drift);
  };
  earlier_leases_end_ = end_of(options_.longest_lease);
  takeover_end_ = earlier_leases_bound_ ? end_of(options_.lease) : earlier_leases_end_;
}

void Scheduler::CheckQuorum(const Now& now) {
  if (quorum_.reached() || now.monotonic < gained_at_ + options_.max_time_without_store) return;
  quorum_.Waive(now.monotonic);
  OnQuorumReached(now);
}

void Scheduler::OnQuorumReached(const Now& now) {
  SetEndOfEarlierLeases();
  // The roster may list further workers from now on, and the next owner learns of the quorum.
  roster_changed_ = true;
  next_lease_check_ = now.monotonic;
  Log(LogEvent(LogLevel::kInfo, "takeover_quorum")
          .With("voters", quorum_.voters())
          .With("accepted", quorum_.accepted())
          .With("ms", ToMilliseconds(now.monotonic - gained_at_)));
}

void Scheduler::CheckStoredLeases(const Now& now) {
  if (now.monotonic < next_lease_check_) return;
  next_lease_check_ = now.monotonic + kLeaseCheckPeriod;
  // The record tells the next owner that no owner before this one grants leases any more.
  if (!quorum_.reached()) return;
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
