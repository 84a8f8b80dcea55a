#include <algorithm>

#include "scheduler.h"

// The stored roster: on which workers something may run on orders of this or an earlier owner.
namespace cactusshelf::jobs {
namespace {

// A worker that is unreachable for a shorter time gets starts again without a new roster.
constexpr Duration kMinUnreachableTime = std::chrono::seconds(1);
// A new owner has read the list of workers after this time, unless the store is slow.
constexpr Duration kMaxWorkerListTime = std::chrono::milliseconds(300);
// Time between two rosters that only lack workers, since each is a record of all workers. Drained
// workers live for longer after their last run.
constexpr Duration kRosterDropPeriod = std::chrono::milliseconds(100);

}  // namespace

void Scheduler::LogRosterDrop(const std::string& id, std::string_view reason) {
  Log(LogEvent(LogLevel::kInfo, "roster_entry_dropped")
          .With("worker", id)
          .With("reason", std::string(reason)));
}

bool Scheduler::IsLost(const WorkerState& worker, const Now& now) {
  return worker.token_accepted && !worker.reachable &&
         now.monotonic - worker.unreachable_since >= kMinUnreachableTime;
}

bool Scheduler::IsLeaving(const WorkerState& worker) {
  return worker.token_accepted && worker.entry().draining;
}

bool Scheduler::IsUnreportedLost(const std::string& id, const Now& now) const {
  // Before the quorum an earlier owner may renew its leases, unless it has stored when they end.
  if (AwaitedUntil(id) == Time::max()) return false;
  const auto it = workers_.find(id);
  const bool stays = it != workers_.end() && it->second.reachable && !it->second.entry().draining;
  if (!stays && IsLimitedByLastRoster(id)) return true;
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

RosterEntry Scheduler::RosterEntryOf(const WorkerState& worker, const Now& now) const {
  // Before the quorum the next owner needs one among the same workers.
  if (!quorum_.reached() && !quorum_.IsVoter(worker.entry().id)) return RosterEntry::kAbsent;
  if (!worker.token_accepted && worker.AllLeasesExpired({})) return RosterEntry::kAbsent;
  const bool gets_no_starts = !worker.listed || worker.entry().draining || IsLost(worker, now);
  // Without the token, orders of earlier owners may still be carried out.
  if (!gets_no_starts || !worker.token_accepted) return RosterEntry::kAnyTask;
  const bool idle =
      worker.runs().empty() && worker.orders_in_flight == 0 && worker.queued_orders.empty();
  return idle ? RosterEntry::kAbsent : RosterEntry::kWithTasks;
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
    const bool newly_lost = may_drop && !worker.lost_in_roster && IsLost(worker, now);
    const bool newly_leaving = !limited && IsLeaving(worker);
    const bool stays = limited && worker.reachable && !IsLeaving(worker);
    if (stays || (may_run_something && (newly_lost || newly_leaving))) roster_changed_ = true;
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
  stored.voters = roster.workers;
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
    if (!listed || unreported_workers_.contains(id)) continue;
    const bool lost = IsLost(worker, now);
    if (lost || IsLeaving(worker)) add_remaining(id, worker.LastRunEnd());
    // What has ended on a worker that is leaving starts elsewhere without a later roster.
    if (lost && HoldsOnlyRunOfEach(worker.roster_tasks)) add_exclusive(id, worker.roster_tasks);
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
  worker.lost_in_roster = IsLost(worker, now);
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
  voters_ = std::move(it->second.voters);
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
