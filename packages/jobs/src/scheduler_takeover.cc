#include <algorithm>

#include "scheduler.h"

// The takeover from earlier owners: for which workers a new owner waits.
namespace cactusshelf::jobs {
namespace {

constexpr Duration kTakeoverReportPeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxReportedWorkers = 8;
// The first leases are taken as renewed once no worker has got its first one for this time.
constexpr Duration kRenewalSettleTime = std::chrono::seconds(1);

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
  if (!taking_over_ && unreported_workers_.empty()) return;
  CheckQuorum(now);
  const auto is_awaited_for_any_task = [&](const std::string& id) {
    return !awaited_tasks_.contains(id) && !IsAwaitEnded(id);
  };
  // Other workers than those of the stored roster run nothing, whether they are listed or not.
  const bool any_task_awaited =
      std::any_of(unreported_workers_.begin(), unreported_workers_.end(), is_awaited_for_any_task);
  if (taking_over_ && (any_task_awaited || !quorum_.reached())) {
    ReportTakeover(now);
  } else if (taking_over_) {
    CompleteTakeover(now);
  }
  DropAwaitedWorkers();
  const auto is_over = [&](const auto& id) { return now.monotonic >= AwaitedUntil(id); };
  const bool awaits = std::any_of(unreported_workers_.begin(), unreported_workers_.end(), is_over);
  // Before the quorum no confirmation would help.
  awaits_confirmation_ = awaits_confirmation_ || (awaits && quorum_.reached());
}

bool Scheduler::IsAwaitEnded(const std::string& id) const {
  return quorum_.reached() && ownership_confirmed_at_ >= AwaitedUntil(id);
}

Time Scheduler::AwaitedUntil(const std::string& id) const {
  const auto it = awaited_until_.find(id);
  const Time end = it == awaited_until_.end() ? takeover_end_ : std::min(it->second, takeover_end_);
  // This owner may have granted a lease there before the quorum.
  const auto worker = workers_.find(id);
  return worker == workers_.end() ? end : std::max(end, worker->second.lease_expiry());
}

void Scheduler::CompleteTakeover(const Now& now) {
  taking_over_ = false;
  released_tasks_.clear();
  tracker_.OnAllRunsReported();
  for (const auto& [key, job] : tracker_.jobs()) AddUnstartedJob(*job.job);
  LogEvent event(LogLevel::kInfo, "takeover_complete");
  event.With("workers", workers_.size())
      .With("unreported", unreported_workers_.size())
      .With("ms", ToMilliseconds(now.monotonic - gained_at_))
      .With("awaited_tasks", awaited_task_set_.size())
      .With("renewed", renewed_workers_);
  if (renewed_workers_ > 0)
    event.With("last_renewal_ms", ToMilliseconds(last_first_renewal_at_ - gained_at_));
  AddAwaitedWorkers(event);
  Log(std::move(event));
  placement_needed_ = true;
}

void Scheduler::DropAwaitedWorkers() {
  const auto dropped = std::erase_if(unreported_workers_, [&](const std::string& id) {
    if (!IsAwaitEnded(id)) return false;
    LogRosterDrop(id, "unreported");
    const auto tasks = awaited_tasks_.extract(id);
    if (exclusive_workers_.erase(id) > 0 && !tasks.empty())
      released_tasks_.insert(tasks.mapped().begin(), tasks.mapped().end());
    return true;
  });
  if (dropped == 0) return;
  // The stored roster still lists them.
  roster_changed_ = true;
  UpdateAwaitedTasks();
}

void Scheduler::UpdateAwaitedTasks() {
  awaited_task_set_.clear();
  for (const auto& [id, tasks] : awaited_tasks_)
    awaited_task_set_.insert(tasks.begin(), tasks.end());
  placement_needed_ = true;
}

void Scheduler::ReportTakeover(const Now& now) {
  if (now.monotonic < next_takeover_report_) return;
  next_takeover_report_ = now.monotonic + kTakeoverReportPeriod;
  LogEvent event(LogLevel::kInfo, "takeover_waiting");
  event.With("workers", workers_.size())
      .With("awaited_workers", unreported_workers_.size())
      .With("quorum", static_cast<int>(quorum_.reached()))
      .With("ms", ToMilliseconds(now.monotonic - gained_at_));
  AddAwaitedWorkers(event);
  Log(std::move(event));
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
          .With("last_renewal_ms", ToMilliseconds(last_first_renewal_at_ - gained_at_)));
}

void Scheduler::OnAwaitedWorkerReported(WorkerState& worker) {
  // The roster of the earlier owner lists it, and so does each one that this owner has made since.
  const auto it = awaited_tasks_.find(worker.entry().id);
  worker.in_stored_roster = it == awaited_tasks_.end();
  worker.roster_entry = worker.in_stored_roster ? RosterEntry::kAnyTask : RosterEntry::kWithTasks;
  // This owner grants no lease there while that of the earlier one is limited.
  const auto limit = awaited_until_.find(worker.entry().id);
  if (limit != awaited_until_.end() && worker.lease_sent_at() == Time{})
    worker.LimitLeaseExpiry(limit->second);
  awaited_until_.erase(worker.entry().id);
  exclusive_workers_.erase(worker.entry().id);
  if (worker.in_stored_roster) return;
  worker.roster_tasks = std::move(it->second);
  awaited_tasks_.erase(it);
  UpdateAwaitedTasks();
}

}  // namespace cactusshelf::jobs
