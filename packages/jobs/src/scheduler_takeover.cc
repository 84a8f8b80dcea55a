#include <algorithm>

#include "scheduler.h"

// The takeover from earlier owners: for which workers a new owner waits, and the stored roster.
namespace cactusshelf::jobs {
namespace {

constexpr Duration kTakeoverReportPeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxReportedWorkers = 8;
// A worker that is unreachable for a shorter time gets starts again without a new roster.
constexpr Duration kMinUnreachableTime = std::chrono::seconds(1);
// Time between two rosters that only lack workers, since each is a record of all workers. Drained
// workers live for longer after their last run.
constexpr Duration kRosterDropPeriod = std::chrono::milliseconds(100);
// The first leases are taken as renewed once no worker has got its first one for this time.
constexpr Duration kRenewalSettleTime = std::chrono::seconds(1);

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

std::string_view Scheduler::WhyAwaited(const std::string& id) const {
  const auto it = workers_.find(id);
  if (it == workers_.end() || !it->second.listed) return "unlisted";
  if (it->second.entry().draining) return "draining";
  return it->second.last_hold_failed ? "unreachable" : "unanswered";
}

void Scheduler::AddAwaitedWorkers(LogEvent& event) const {
  std::map<std::string_view, int> counts{
      {"unlisted", 0}, {"draining", 0}, {"unreachable", 0}, {"unanswered", 0}};
  std::string names;
  std::size_t n = 0;
  for (const std::string& id : unreported_workers_) {
    const std::string_view reason = WhyAwaited(id);
    ++counts[reason];
    if (n++ >= kMaxReportedWorkers) continue;
    if (!names.empty()) names += ',';
    names += id + ":" + std::string(reason);
  }
  for (const auto& [reason, count] : counts) event.With(std::string(reason), count);
  event.With("awaited", names);
}

void Scheduler::CheckTakeover(const Now& now) {
  if (!taking_over_) return;
  // Other workers than those of the stored roster run nothing, whether they are listed or not.
  if (!unreported_workers_.empty() && now.monotonic < takeover_end_) {
    ReportTakeover(now);
    return;
  }
  taking_over_ = false;
  tracker_.OnAllRunsReported();
  LogEvent event(LogLevel::kInfo, "takeover_complete");
  event.With("workers", workers_.size())
      .With("unreported", unreported_workers_.size())
      .With("ms", Milliseconds(now.monotonic - gained_at_))
      .With("renewed", renewed_workers_)
      .With("last_renewal_ms", Milliseconds(last_first_renewal_at_ - gained_at_));
  AddAwaitedWorkers(event);
  Log(std::move(event));
  // The stored roster still lists the workers that did not report.
  roster_changed_ = roster_changed_ || !unreported_workers_.empty();
  for (const std::string& id : unreported_workers_) LogRosterDrop(id, "unreported");
  unreported_workers_.clear();
  placement_needed_ = true;
}

void Scheduler::ReportTakeover(const Now& now) {
  if (now.monotonic < next_takeover_report_) return;
  next_takeover_report_ = now.monotonic + kTakeoverReportPeriod;
  LogEvent event(LogLevel::kInfo, "takeover_waiting");
  event.With("workers", workers_.size())
      .With("awaited_workers", unreported_workers_.size())
      .With("ms", Milliseconds(now.monotonic - gained_at_));
  AddAwaitedWorkers(event);
  Log(std::move(event));
}

void Scheduler::LogRosterDrop(const std::string& id, std::string_view reason) {
  Log(LogEvent(LogLevel::kInfo, "roster_entry_dropped")
          .With("worker", id)
          .With("reason", std::string(reason)));
}

void Scheduler::OnLeaseRenewed(WorkerState& worker, const Now& now) {
  if (std::exchange(worker.lease_renewed, true)) return;
  ++renewed_workers_;
  last_first_renewal_at_ = now.monotonic;
}

void Scheduler::ReportRenewedLeases(const Now& now) {
  const bool settled = now.monotonic - last_first_renewal_at_ >= kRenewalSettleTime;
  if (renewal_reported_ || renewed_workers_ == 0 || !settled) return;
  std::size_t failed = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.lease_renewed || !worker.listed) continue;
    if (!worker.last_hold_failed) return;
    ++failed;
  }
  renewal_reported_ = true;
  Log(LogEvent(LogLevel::kInfo, "leases_renewed")
          .With("workers", renewed_workers_)
          .With("unreachable", failed)
          .With("last_renewal_ms", Milliseconds(last_first_renewal_at_ - gained_at_)));
}

RosterEntry Scheduler::RosterEntryOf(const WorkerState& worker, const Now& now) {
  if (!worker.token_accepted && worker.AllLeasesExpired({})) return RosterEntry::kAbsent;
  const bool lost =
      !worker.reachable && now.monotonic - worker.unreachable_since >= kMinUnreachableTime;
  const bool gets_no_starts = !worker.listed || worker.entry().draining || lost;
  // Without the token, orders of earlier owners may still be carried out.
  if (!gets_no_starts || !worker.token_accepted) return RosterEntry::kPresent;
  const bool idle =
      worker.runs().empty() && worker.orders_in_flight == 0 && worker.queued_orders.empty();
  return idle ? RosterEntry::kAbsent : RosterEntry::kPresent;
}

void Scheduler::OnAwaitedWorkerReported(WorkerState& worker) {
  // The roster of the earlier owner lists it, and each one that this owner has made since.
  worker.roster_entry = RosterEntry::kPresent;
  worker.in_stored_roster = true;
}

void Scheduler::CheckRoster(const Now& now) {
  const bool may_drop = now.monotonic >= next_roster_drop_;
  if (may_drop) next_roster_drop_ = now.monotonic + kRosterDropPeriod;
  for (const auto& [id, worker] : workers_) {
    if (roster_changed_) return;
    if (unreported_workers_.contains(id)) continue;
    const RosterEntry wanted = RosterEntryOf(worker, now);
    if (wanted > worker.roster_entry || (may_drop && wanted < worker.roster_entry))
      roster_changed_ = true;
  }
}

RosterRecord Scheduler::MakeRoster(const Now& now) {
  RosterRecord roster;
  // Workers that an earlier owner may have left running, whether they are listed or not.
  roster.workers.assign(unreported_workers_.begin(), unreported_workers_.end());
  for (auto& [id, worker] : workers_) {
    if (unreported_workers_.contains(id)) continue;
    const RosterEntry entry = RosterEntryOf(worker, now);
    if (entry < worker.roster_entry) {
      LogRosterDrop(id, worker.entry().draining ? "draining"
                        : !worker.listed        ? "unlisted"
                                                : "unreachable");
    }
    worker.roster_entry = entry;
    if (entry == RosterEntry::kPresent) {
      roster.workers.push_back(id);
    } else {
      // No task starts there from now on, whatever becomes of the smaller roster.
      worker.in_stored_roster = false;
    }
  }
  return roster;
}

void Scheduler::OnRosterStored(std::uint64_t batch) {
  const auto it = roster_batches_.find(batch);
  if (it == roster_batches_.end()) return;
  // A later roster may lack workers of this one, and may be stored already.
  const bool newest = std::next(it) == roster_batches_.end();
  for (const std::string& id : it->second) {
    WorkerState* worker = FindWorker(id);
    if (newest && worker != nullptr) worker->in_stored_roster = true;
  }
  roster_batches_.erase(it);
  placement_needed_ = true;
}

}  // namespace cactusshelf::jobs
