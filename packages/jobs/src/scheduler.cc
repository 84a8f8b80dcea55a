#include "scheduler.h"

#include <algorithm>

#include "run_loss.h"

namespace cactusshelf::jobs {
namespace {

// Size of the range of run numbers of one owner. A long-running task that keeps failing is started
// up to ten times a second, for hours before it has this many runs. A worker refuses lower numbers
// than it has seen for a task.
constexpr std::int64_t kRunsPerOwner = 100'000;
// Minimum time between two passes of Decide over all workers.
constexpr Duration kDecisionPeriod = std::chrono::milliseconds(8);
// Time between two passes over all runs. Stop and pace orders that follow from a report or from the
// end of a job are sent at once.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(40);
// Minimum time between two writes of the interference model for the next owner.
constexpr Duration kInterferenceExportPeriod = std::chrono::seconds(4);
// A takeover in which all workers answer ends within this time.
constexpr Duration kFirstTakeoverReportDelay = std::chrono::milliseconds(500);
// Time for other hosts to answer before the first of them are stored as voters.
constexpr Duration kFirstVotingHostsDelay = std::chrono::seconds(1);
// A call number consists of a zero bit, the cell, the owner's token and a counter, from the highest
// bit to the lowest. So it belongs to one ownership of one cell: a process may own two cells under
// the same token, since each cell has a log of its own.
constexpr int kCallTokenShift = 24;
constexpr int kCallCellShift = 58;
static_assert(Scheduler::kMaxCells <= 1 << (63 - kCallCellShift));

std::uint64_t FirstCallNumber(int cell, std::int64_t token) {
  return (static_cast<std::uint64_t>(cell) << kCallCellShift) |
         (static_cast<std::uint64_t>(token) << kCallTokenShift);
}

// True if every owner since the one that stored the lease record has granted bound leases only.
bool EarlierLeasesBound(const JobLogView& log_view, std::int64_t generation) {
  const LeaseRecord& leases = log_view.leases();
  if (!leases.bound) return false;
  if (leases.generation + 1 == generation) return true;
  const OwnerRecord& owner = log_view.owner();
  return owner.generation == generation && owner.bound_since != 0 &&
         owner.bound_since <= leases.generation + 1;
}

// `now` if the last owner has ended and those before it have stopped, or nothing if that is not
// known.
std::optional<Time> EndOfEarlierOwners(const EarlierOwners& earlier_owners,
                                       const JobLogView& log_view, std::int64_t generation,
                                       const Now& now) {
  const bool last_stored_leases = log_view.leases().generation + 1 == generation;
  if (!earlier_owners.last_has_ended || !last_stored_leases) return std::nullopt;
  return now.monotonic;
}

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options, int cell, std::int64_t token,
                     std::int64_t generation, const EarlierOwners& earlier_owners,
                     const JobLogView& log_view, const Now& now)
    : options_(options),
      log_view_(log_view),
      token_(token),
      placer_(options_, interference_),
      tracker_((generation - 1) * kRunsPerOwner),
      cell_(cell),
      next_call_(FirstCallNumber(cell, token)),
      taking_over_(generation > 1),
      gained_at_(now.monotonic),
      last_earlier_record_at_(std::min(earlier_owners.last_record_read_at, now.monotonic)),
      next_takeover_report_(now.monotonic + kFirstTakeoverReportDelay),
      generation_(generation),
      stored_leases_(log_view.leases()),
      last_earlier_vote_at_(now.monotonic),
      earlier_owners_ended_at_(EndOfEarlierOwners(earlier_owners, log_view, generation, now)),
      quorum_(log_view.roster(), generation > 1 && !earlier_owners_ended_at_, now.monotonic),
      voters_(log_view.roster()),
      host_votes_(earlier_owners.votes),
      voting_hosts_(log_view.VotingHosts()),
      next_voting_hosts_check_(now.monotonic + kFirstVotingHostsDelay),
      earlier_leases_bound_(generation <= 1 || EarlierLeasesBound(log_view, generation)) {
  // Owners before the one that stored the lease record had stopped when it was stored.
  earlier_claims_ = log_view.ClaimsOf(stored_leases_.generation, generation);
  std::erase_if(earlier_claims_,
                [&](const OwnerRecord& claim) { return claim.host == log_view.owner().host; });
  if (!HasOwnerOfEachGeneration()) followed_owners_ended_at_ = now.monotonic;
  if (quorum_.reached()) SetEndOfEarlierLeases();
  for (const auto& [key, entry] : log_view.entries()) {
    if (entry.job == nullptr || entry.handed_over_to) continue;
    tracker_.Add(entry.job, entry.progress, taking_over_, now.monotonic);
    // The cancellation may be stored while its effect on the job's progress is not.
    if (entry.cancelled) tracker_.Cancel(key);
  }
  interference_.Import(log_view.interference());
  unreported_workers_.insert(log_view.roster().begin(), log_view.roster().end());
  for (const auto& [worker, tasks] : log_view.roster_tasks()) {
    if (unreported_workers_.contains(worker)) awaited_tasks_[worker] = tasks;
  }
  for (const auto& [worker, lease] : log_view.RosterLeases()) {
    lease_limited_.insert(worker);
    // A lease that is not bound may last longer than its owner knew.
    if (earlier_leases_bound_) awaited_until_[worker] = lease.end;
    const auto it = awaited_tasks_.find(worker);
    if (!lease.exclusive || it == awaited_tasks_.end()) continue;
    exclusive_workers_.insert(worker);
    limited_tasks_.insert(it->second.begin(), it->second.end());
  }
  UpdateAwaitedTasks();
}

WorkerState* Scheduler::FindWorker(const std::string& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

void Scheduler::OnJob(const std::shared_ptr<const SubmittedJob>& job, const Now& now) {
  if (tracker_.Add(job, {}, false, now.monotonic)) AddUnstartedJob(*job);
  placement_needed_ = true;
}

void Scheduler::OnCancel(const JobKey& key, const Now& now) {
  tracker_.Cancel(key);
  StopObsoleteRuns(key, now);
}

void Scheduler::OnWorkerListed(WorkerEntry entry, const Now& now) {
  const std::string id = entry.id;
  const auto [it, is_new] = workers_.try_emplace(id, entry, options_);
  WorkerState& worker = it->second;
  if (is_new) {
    worker.next_hold = now.monotonic;
  } else {
    if (entry.draining && !worker.entry().draining) {
      Log(LogEvent(LogLevel::kInfo, "worker_draining").With("worker", id));
    }
    worker.Update(std::move(entry));
  }
  worker.listed = true;
}

void Scheduler::OnWorkerUnlisted(const std::string& id, const Now& /*now*/) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->listed = false;
  Log(LogEvent(LogLevel::kInfo, "worker_unlisted")
          .With("worker", id)
          .With("runs", worker->runs().size()));
}

void Scheduler::ConfirmOwnership(Time at) {
  ownership_confirmed_at_ = std::max(ownership_confirmed_at_, at);
  if (at >= resumed_at_) ownership_unconfirmed_ = false;
}

void Scheduler::ConfirmHeartbeat(Time at) {
  ConfirmOwnership(at);
  heartbeat_confirmed_at_ = std::max(heartbeat_confirmed_at_, at);
}

void Scheduler::OnPaused(const Now& now) {
  ownership_unconfirmed_ = true;
  resumed_at_ = now.monotonic;
  heartbeat_confirmed_at_ = {};
  majority_confirmed_at_ = {};
  authority_until_ = {};
  for (auto& [id, worker] : workers_) {
    worker.token_accepted = false;
    worker.next_hold = now.monotonic;
  }
}

void Scheduler::SetQueueService(const std::string& queue, const std::string& service) {
  queue_services_[queue] = service;
}

const std::string& Scheduler::ServiceOf(const SubmittedJob& job) const {
  const auto it = queue_services_.find(job.queue.name);
  return it == queue_services_.end() ? job.queue.service : it->second;
}

void Scheduler::Decide(const Now& now) {
  if (now.monotonic < next_decision_) return;
  next_decision_ = now.monotonic + kDecisionPeriod;
  UpdateAuthority(now);
  awaits_confirmation_ = false;
  ExpireLeases(now);
  CheckTakeover(now);
  CheckRoster(now);
  ReportRenewedLeases(now);
  CheckStoredLeases(now);
  CheckVotingHosts(now);
  CheckHostVotesNeeded(now);
  SweepRuns(now);
  // If the store is unreachable, ownership is confirmed by all workers accepting the token.
  if (ownership_unconfirmed_ && AllListedWorkersAcceptedToken()) ownership_unconfirmed_ = false;
  // What starts with a short lease may be lost with it.
  const bool lease_lasts = GrantableLease(now) >= options_.lease / 2;
  const bool may_start = !fenced_ && !ownership_unconfirmed_ && lease_lasts;
  if (now.monotonic >= next_placement_ && may_start) PlaceReadySteps(now);
  ReportWaitingTasks(now);
  SendHolds(now);
}

void Scheduler::SweepRuns(const Now& now) {
  if (now.monotonic < next_sweep_) return;
  next_sweep_ = now.monotonic + kSweepPeriod;
  for (auto& [id, worker] : workers_) {
    if (worker.entry().draining) EvacuateDrainingWorker(worker, now);
    SendStops(worker, now);
    SendPaceOrders(worker, now);
  }
}

// Treats the runs on an unreachable worker as lost once its lease has expired by any clock.
void Scheduler::ExpireLeases(const Now& now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    WorkerState& worker = it->second;
    ResolveRunsAfterRestart(worker, now);
    // On an awaited worker an earlier owner may have renewed the lease.
    if (!worker.reachable && !unreported_workers_.contains(it->first)) {
      const auto ended = [&](const Run& run) {
        return HasEndedByLease(worker, run, ownership_confirmed_at_);
      };
      MarkRunsLostIf(worker, ended, "lease_ended", now);
      const bool awaits = std::any_of(
          worker.runs().begin(), worker.runs().end(),
          [&](const auto& it) { return HasEndedByLease(worker, it.second, now.monotonic); });
      awaits_confirmation_ = awaits_confirmation_ || awaits;
    }
    const bool expired = worker.AllLeasesExpired(now.monotonic);
    if (!worker.listed && expired && worker.runs().empty()) {
      if (worker.roster_entry != RosterEntry::kAbsent) {
        roster_changed_ = true;
        LogRosterDrop(it->first, "forgotten");
      }
      // Their answers must not apply to the state of a worker that is listed under this id later.
      std::erase_if(pending_, [&](const auto& order) { return order.second.worker == it->first; });
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

bool Scheduler::AllListedWorkersAcceptedToken() const {
  return !workers_.empty() && std::all_of(workers_.begin(), workers_.end(), [](const auto& it) {
    return it.second.token_accepted || !it.second.listed;
  });
}

std::vector<WorkerOrder> Scheduler::TakeOrders() { return std::exchange(orders_, {}); }

std::vector<LogEvent> Scheduler::TakeLog() { return std::exchange(log_, {}); }

std::optional<ChangeBatch> Scheduler::TakeChanges(const Now& now) {
  if (!has_changes()) return std::nullopt;
  ChangeBatch batch;
  batch.id = next_batch_++;
  for (const ProgressRecord& record : tracker_.TakeChanges()) {
    batch.records.push_back(Encode(record));
  }
  for (const auto& [job, tasks] : tracker_.TakeOmittedFailures()) {
    counters_.Add("cactusshelf_unstored_failures_total", "record_full", tasks);
    log_.push_back(LogEvent(LogLevel::kWarning, "failures_not_stored")
                       .With("job", job.str())
                       .With("tasks", tasks));
  }
  if (now.monotonic >= next_interference_export_) {
    next_interference_export_ = now.monotonic + kInterferenceExportPeriod;
    const InterferenceRecord learned = interference_.Export();
    if (!learned.effects.empty()) batch.records.push_back(Encode(learned));
  }
  for (const HandOverRecord& record : tracker_.TakeHandOvers()) {
    batch.records.push_back(Encode(record));
  }
  if (leases_changed_) {
    batch.records.push_back(Encode(stored_leases_));
    leases_changed_ = false;
  }
  if (voting_hosts_changed()) {
    voting_hosts_batch_id_ = batch.id;
    batch.records.push_back(Encode(*voting_hosts_batch_));
  }
  if (roster_changed_) {
    AddRosterRecords(batch, now);
    roster_changed_ = false;
  }
  return batch;
}

void Scheduler::OnStored(std::uint64_t batch, const Now& now) {
  last_stored_batch_ = batch;
  OnRosterStored(batch);
  if (voting_hosts_batch_id_ == batch) {
    voting_hosts_batch_id_ = 0;
    voting_hosts_ = *std::exchange(voting_hosts_batch_, std::nullopt);
  }
  for (auto& [id, worker] : workers_) {
    if (worker.last_stored_end == worker.last_processed_end || worker.processed_ends_batch > batch)
      continue;
    worker.last_stored_end = worker.last_processed_end;
    worker.next_hold = now.monotonic;
  }
}

}  // namespace cactusshelf::jobs
