#include "scheduler.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

// Runs of one owner are numbered from here; a task seldom has so many runs under one owner.
constexpr std::int64_t kRunsPerOwner = 1000;
// Between two looks at all workers.
constexpr Duration kReviewPeriod = std::chrono::milliseconds(8);
// Between two looks at all runs. What a report or the end of a job asks for is sent at once.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(40);
// What was learned of neighbours is stored so often for the next owner.
constexpr Duration kExportPeriod = std::chrono::seconds(4);
// Calls of different owners in one process are numbered apart.
constexpr int kCallNumberBits = 24;

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options, std::int64_t token, std::int64_t generation,
                     bool predecessor_ended, const JobLogView& ledger, const Now& now)
    : options_(options),
      ledger_(ledger),
      token_(token),
      placer_(options_, neighbours_),
      tracker_((generation - 1) * kRunsPerOwner),
      next_call_(static_cast<std::uint64_t>(token) << kCallNumberBits),
      taking_over_(generation > 1) {
  const auto slow = std::chrono::duration<double, Duration::period>(options.lease) /
                    (1.0 - options.clock_slowness);
  const Duration notice = predecessor_ended ? Duration::zero() : options.predecessor_notice;
  takeover_end_ = now.monotonic + notice + std::chrono::duration_cast<Duration>(slow);
  for (const auto& [key, entry] : ledger.entries()) {
    if (entry.job == nullptr) continue;
    tracker_.Add(entry.job, entry.progress, taking_over_, now.monotonic);
    // The cancellation may be stored, and its effect not yet.
    if (entry.cancelled) tracker_.Cancel(key);
  }
  neighbours_.Import(ledger.neighbours());
  unreported_.insert(ledger.roster().begin(), ledger.roster().end());
}

WorkerState* Scheduler::FindWorker(const std::string& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

void Scheduler::OnJob(const std::shared_ptr<const SubmittedJob>& job, const Now& now) {
  tracker_.Add(job, {}, false, now.monotonic);
  placement_wanted_ = true;
}

void Scheduler::OnCancel(const JobKey& key, const Now& now) {
  tracker_.Cancel(key);
  StopUnwantedRuns(key, now);
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

void Scheduler::OnPaused(const Now& now) {
  in_doubt_ = true;
  for (auto& [id, worker] : workers_) {
    worker.visited = false;
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
  if (now.monotonic < next_review_) return;
  next_review_ = now.monotonic + kReviewPeriod;
  ForgetLapsed(now);
  CheckTakeover(now);
  Sweep(now);
  // Without the store, the workers' word that there is no higher token has to do.
  if (in_doubt_ && AllListedVisited()) in_doubt_ = false;
  const bool may_start = !fenced_ && !in_doubt_;
  if (now.monotonic >= next_placement_ && may_start) Place(now);
  SendHolds(now);
}

void Scheduler::Sweep(const Now& now) {
  if (now.monotonic < next_sweep_) return;
  next_sweep_ = now.monotonic + kSweepPeriod;
  for (auto& [id, worker] : workers_) {
    if (worker.entry().draining) StopRunsOnLeaving(worker);
    SendStops(worker, now);
    SendPaces(worker);
  }
}

// Work on an unreachable worker is gone once its lease has ended by any clock.
void Scheduler::ForgetLapsed(const Now& now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    WorkerState& worker = it->second;
    const bool lapsed = worker.HasLapsed(now.monotonic);
    if (!worker.reachable && lapsed) LoseAllRuns(worker, "lease_ended", now);
    if (!worker.listed && lapsed && worker.runs().empty()) {
      roster_changed_ = roster_changed_ || worker.rostered;
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

bool Scheduler::AllListedVisited() const {
  return !workers_.empty() && std::all_of(workers_.begin(), workers_.end(), [](const auto& it) {
    return it.second.visited || !it.second.listed;
  });
}

void Scheduler::CheckTakeover(const Now& now) {
  if (!taking_over_) return;
  const bool all_reported = unreported_.empty() && AllListedVisited();
  if (!all_reported && now.monotonic < takeover_end_) return;
  taking_over_ = false;
  tracker_.AllRunsSeen();
  Log(LogEvent(LogLevel::kInfo, "takeover_complete")
          .With("workers", workers_.size())
          .With("unreported", unreported_.size()));
  // The stored roster still names those that did not report.
  roster_changed_ = roster_changed_ || !unreported_.empty();
  unreported_.clear();
  placement_wanted_ = true;
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
  if (now.monotonic >= next_export_) {
    next_export_ = now.monotonic + kExportPeriod;
    const NeighbourRecord learned = neighbours_.Export();
    if (!learned.effects.empty()) batch.records.push_back(Encode(learned));
  }
  if (roster_changed_) {
    RosterRecord roster;
    for (const auto& [id, worker] : workers_) {
      if (worker.visited || !worker.HasLapsed({})) roster.workers.push_back(id);
    }
    for (const std::string& id : unreported_) {
      if (!workers_.contains(id)) roster.workers.push_back(id);
    }
    batch.records.push_back(Encode(roster));
    roster_batches_[batch.id] = std::move(roster.workers);
    roster_changed_ = false;
  }
  return batch;
}

void Scheduler::OnStored(std::uint64_t batch, const Now& now) {
  stored_batch_ = batch;
  const auto roster = roster_batches_.find(batch);
  if (roster != roster_batches_.end()) {
    for (const std::string& id : roster->second) {
      WorkerState* worker = FindWorker(id);
      if (worker != nullptr) worker->rostered = true;
    }
    roster_batches_.erase(roster);
    placement_wanted_ = true;
  }
  for (auto& [id, worker] : workers_) {
    if (worker.end_stored == worker.end_seen || worker.end_batch > batch) continue;
    worker.end_stored = worker.end_seen;
    worker.next_hold = now.monotonic;
  }
}

}  // namespace cactusshelf::jobs
