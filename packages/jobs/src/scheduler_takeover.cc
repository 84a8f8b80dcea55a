#include <algorithm>

#include "scheduler.h"

// The takeover from earlier owners: for which workers a new owner waits, and the stored roster.
namespace cactusshelf::jobs {
namespace {

constexpr Duration kTakeoverReportPeriod = std::chrono::seconds(1);
constexpr std::size_t kMaxReportedWorkers = 8;
// A worker that is unreachable for a shorter time gets starts again without a new roster.
constexpr Duration kMinUnreachableTime = std::chrono::seconds(1);
// A new owner has read the list of workers after this time, unless the store is slow.
constexpr Duration kMaxWorkerListTime = std::chrono::milliseconds(300);
// Time between two rosters that only lack workers, since each is a record of all workers. Drained
// workers live for longer after their last run.
constexpr Duration kRosterDropPeriod = std::chrono::milliseconds(100);
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
  const auto is_awaited_for_any_task = [&](const std::string& id) {
    return !awaited_tasks_.contains(id) && !IsAwaitEnded(id);
  };
  // Other workers than those of the stored roster run nothing, whether they are listed or not.
  const bool any_task_awaited =
      std::any_of(unreported_workers_.begin(), unreported_workers_.end(), is_awaited_for_any_task);
  if (taking_over_ && any_task_awaited) {
    ReportTakeover(now);
  } else if (taking_over_) {
    CompleteTakeover(now);
  }
  DropAwaitedWorkers();
  const bool awaits =
      std::any_of(unreported_workers_.begin(), unreported_workers_.end(),
                  [&](const auto& id) { return now.monotonic >= AwaitedUntil(id); });
  awaits_confirmation_ = awaits_confirmation_ || awaits;
}

bool Scheduler::IsAwaitEnded(const std::string& id) const {
  return ownership_confirmed_at_ >= AwaitedUntil(id);
}

Time Scheduler::AwaitedUntil(const std::string& id) const {
  const auto it = awaited_until_.find(id);
  return it == awaited_until_.end() ? takeover_end_ : std::min(it->second, takeover_end_);
}

void Scheduler::CompleteTakeover(const Now& now) {
  taking_over_ = false;
  released_tasks_.clear();
  tracker_.OnAllRunsReported();
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
      .With("ms", ToMilliseconds(now.monotonic - gained_at_));
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
          .With("last_renewal_ms", ToMilliseconds(last_first_renewal_at_ - gained_at_)));
}

bool Scheduler::IsLost(const WorkerState& worker, const Now& now) {
  return worker.token_accepted && !worker.reachable &&
         now.monotonic - worker.unreachable_since >= kMinUnreachableTime;
}

bool Scheduler::IsUnreportedLost(const std::string& id, const Now& now) const {
  const auto it = workers_.find(id);
  const bool listed = it != workers_.end() && it->second.listed;
  if (listed) return it->second.last_hold_failed;
  return !workers_.empty() && now.monotonic - gained_at_ >= kMaxWorkerListTime;
}

bool Scheduler::IsLimitedByLastRoster(const std::string& id) const {
  if (!lease_limited_.contains(id)) return false;
  if (roster_batches_.empty()) return true;
  const std::vector<std::string>& unlimited = roster_batches_.rbegin()->second.unlimited;
  return std::find(unlimited.begin(), unlimited.end(), id) == unlimited.end();
}

RosterEntry Scheduler::RosterEntryOf(const WorkerState& worker, const Now& now) {
  if (!worker.token_accepted && worker.AllLeasesExpired({})) return RosterEntry::kAbsent;
  const bool gets_no_starts = !worker.listed || worker.entry().draining || IsLost(worker, now);
  // Without the token, orders of earlier owners may still be carried out.
  if (!gets_no_starts || !worker.token_accepted) return RosterEntry::kAnyTask;
  const bool idle =
      worker.runs().empty() && worker.orders_in_flight == 0 && worker.queued_orders.empty();
  return idle ? RosterEntry::kAbsent : RosterEntry::kWithTasks;
}

void Scheduler::OnAwaitedWorkerReported(WorkerState& worker) {
  // The roster of the earlier owner lists it, and so does each one that this owner has made since.
  const auto it = awaited_tasks_.find(worker.entry().id);
  worker.in_stored_roster = it == awaited_tasks_.end();
  worker.roster_entry = worker.in_stored_roster ? RosterEntry::kAnyTask : RosterEntry::kWithTasks;
  awaited_until_.erase(worker.entry().id);
  exclusive_workers_.erase(worker.entry().id);
  if (worker.in_stored_roster) return;
  worker.roster_tasks = std::move(it->second);
  awaited_tasks_.erase(it);
  UpdateAwaitedTasks();
}

void Scheduler::CheckRoster(const Now& now) {
  const bool may_drop = now.monotonic >= next_roster_drop_;
  if (may_drop) next_roster_drop_ = now.monotonic + kRosterDropPeriod;
  const auto to_limit_unreported = [&](const std::string& id) {
    return !IsLimitedByLastRoster(id) && IsUnreportedLost(id, now);
  };
  if (may_drop &&
      std::any_of(unreported_workers_.begin(), unreported_workers_.end(), to_limit_unreported))
    roster_changed_ = true;
  for (const auto& [id, worker] : workers_) {
    if (roster_changed_) return;
    if (unreported_workers_.contains(id)) continue;
    const bool limited = IsLimitedByLastRoster(id);
    const bool may_run_something = worker.roster_entry != RosterEntry::kAbsent;
    const bool to_limit = may_drop && may_run_something && IsLost(worker, now);
    if (limited ? worker.reachable : to_limit) roster_changed_ = true;
    const RosterEntry wanted = RosterEntryOf(worker, now);
    const bool with_tasks = wanted == RosterEntry::kWithTasks && wanted == worker.roster_entry;
    const bool more = wanted > worker.roster_entry || (with_tasks && RunsUnlistedTask(worker));
    const bool fewer_tasks = worker.runs().size() < worker.roster_tasks.size();
    const bool less = wanted < worker.roster_entry || (with_tasks && fewer_tasks);
    // Tasks wait for a roster that does not list them on a worker whose leases are limited.
    if (more || (less && (may_drop || (limited && fewer_tasks)))) roster_changed_ = true;
  }
}

bool Scheduler::RunsUnlistedTask(const WorkerState& worker) {
  const std::vector<TaskRef>& listed = worker.roster_tasks;
  return std::any_of(worker.runs().begin(), worker.runs().end(), [&listed](const auto& run) {
    return std::find(listed.begin(), listed.end(), run.first) == listed.end();
  });
}

void Scheduler::AddRosterRecords(ChangeBatch& batch, const Now& now) {
  RosterRecord roster;
  RosterTasksRecord with_tasks;
  // Workers that an earlier owner may have left running, whether they are listed or not.
  roster.workers.assign(unreported_workers_.begin(), unreported_workers_.end());
  with_tasks.tasks = awaited_tasks_;
  RosterBatch& stored = roster_batches_[batch.id];
  for (auto& [id, worker] : workers_) {
    if (unreported_workers_.contains(id)) continue;
    UpdateRosterEntry(worker, now);
    if (worker.roster_entry == RosterEntry::kAbsent) continue;
    roster.workers.push_back(id);
    if (worker.roster_entry == RosterEntry::kAnyTask) {
      stored.startable.push_back(id);
    } else {
      with_tasks.tasks[id] = worker.roster_tasks;
    }
  }
  batch.records.push_back(Encode(roster));
  if (!with_tasks.tasks.empty()) batch.records.push_back(Encode(with_tasks));
  AddRosterLeases(batch, stored, now);
}

bool Scheduler::HoldsOnlyRunOfEach(const std::vector<TaskRef>& tasks) {
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskRef& it) {
    const TaskStatus* task = tracker_.Find(it);
    return task == nullptr || task->present_runs <= 1;
  });
}

void Scheduler::AddRosterLeases(ChangeBatch& batch, RosterBatch& roster, const Now& now) {
  RosterLeasesRecord record;
  record.generation = generation_;
  const auto add_remaining = [&](const std::string& id, Time end) {
    record.remaining[id] = std::max(end - now.monotonic, Duration::zero());
  };
  const auto add_exclusive = [&](const std::string& id, const std::vector<TaskRef>& tasks) {
    record.exclusive.insert(id);
    roster.limited_tasks.insert(tasks.begin(), tasks.end());
  };
  for (const std::string& id : unreported_workers_) {
    if (!IsUnreportedLost(id, now)) continue;
    add_remaining(id, AwaitedUntil(id));
    // The owner that listed the tasks of any other worker may have started them elsewhere since.
    if (exclusive_workers_.contains(id)) add_exclusive(id, awaited_tasks_.at(id));
  }
  for (const auto& [id, worker] : workers_) {
    const bool listed = worker.roster_entry != RosterEntry::kAbsent;
    if (!listed || unreported_workers_.contains(id) || !IsLost(worker, now)) continue;
    add_remaining(id, worker.LastRunEnd());
    if (HoldsOnlyRunOfEach(worker.roster_tasks)) add_exclusive(id, worker.roster_tasks);
  }
  limited_tasks_.insert(roster.limited_tasks.begin(), roster.limited_tasks.end());
  for (const std::string& id : lease_limited_) {
    if (!record.remaining.contains(id)) roster.unlimited.push_back(id);
  }
  for (const auto& [id, remaining] : record.remaining) lease_limited_.insert(id);
  if (!record.remaining.empty()) batch.records.push_back(Encode(record));
}

void Scheduler::UpdateRosterEntry(WorkerState& worker, const Now& now) {
  const RosterEntry entry = RosterEntryOf(worker, now);
  if (entry == RosterEntry::kAbsent && entry < worker.roster_entry) {
    LogRosterDrop(worker.entry().id, worker.entry().draining ? "draining"
                                     : !worker.listed        ? "unlisted"
                                                             : "unreachable");
  }
  worker.roster_entry = entry;
  worker.roster_tasks.clear();
  if (entry == RosterEntry::kAnyTask) return;
  // No task starts there from now on, whatever becomes of the smaller roster.
  worker.in_stored_roster = false;
  if (entry == RosterEntry::kAbsent) return;
  for (const auto& [ref, run] : worker.runs()) worker.roster_tasks.push_back(ref);
}

void Scheduler::OnRosterStored(std::uint64_t batch) {
  const auto it = roster_batches_.find(batch);
  if (it == roster_batches_.end()) return;
  // A later roster may lack workers of this one, and may be stored already.
  const bool newest = std::next(it) == roster_batches_.end();
  if (newest) {
    for (const std::string& id : it->second.startable) {
      WorkerState* worker = FindWorker(id);
      if (worker != nullptr) worker->in_stored_roster = true;
    }
    limited_tasks_ = std::move(it->second.limited_tasks);
    for (const std::string& id : it->second.unlimited) {
      lease_limited_.erase(id);
      WorkerState* worker = FindWorker(id);
      // The next hold renews its leases.
      if (worker != nullptr) worker->report_needed_now = true;
    }
  }
  roster_batches_.erase(it);
  placement_needed_ = true;
}

}  // namespace cactusshelf::jobs
