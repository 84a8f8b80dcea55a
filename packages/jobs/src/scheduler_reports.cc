#include <algorithm>
#include <utility>

#include "scheduler.h"

// Answers of workers.
namespace cactusshelf::jobs {
namespace {

// Failures of different jobs in a row after which a worker is suspected of failing everything.
constexpr int kSuspiciousFailures = 2;
constexpr int kMaxQuarantineFactor = 4;
// Progress is reported in whole percent; over a shorter time it says little.
constexpr Duration kLeastObservation = std::chrono::milliseconds(150);

bool IsListed(const HoldReport& report, const Run& run) {
  return std::any_of(report.running.begin(), report.running.end(), [&run](const RunningTask& it) {
    return it.task == run.task && it.run == run.number;
  });
}

}  // namespace

Scheduler::PendingOrder Scheduler::TakePending(CallId call) {
  const auto it = pending_.find(static_cast<std::uint64_t>(call));
  if (it == pending_.end()) return {};
  PendingOrder order = std::move(it->second);
  pending_.erase(it);
  return order;
}

void Scheduler::OnHoldAnswer(const HoldAnswer& answer, const Now& now) {
  const PendingOrder order = TakePending(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  worker->hold_in_flight = false;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  if (answer.outcome == OrderOutcome::kRelaySilent) {
    // It says nothing of the worker, which another relay reaches.
    counters_.Add("cactusshelf_hold_failures_total", ToString(answer.outcome));
    worker->next_hold = now.monotonic;
    return;
  }
  if (answer.outcome != OrderOutcome::kDone) {
    if (worker->reachable) {
      Log(LogEvent(LogLevel::kWarning, "worker_lost")
              .With("worker", order.worker)
              .With("reason", std::string(ToString(answer.outcome)))
              .With("detail", answer.reason)
              .With("runs", worker->runs().size()));
    }
    counters_.Add("cactusshelf_hold_failures_total", ToString(answer.outcome));
    worker->reachable = false;
    DropAllWaitingStarts(*worker, now);
    worker->next_hold = now.monotonic + options_.retry_period;
    return;
  }
  if (!worker->reachable) {
    Log(LogEvent(LogLevel::kInfo, "worker_reached")
            .With("worker", order.worker)
            .With("incarnation", answer.report.incarnation));
    placement_wanted_ = true;
  }
  worker->reachable = true;
  worker->next_hold = now.monotonic;
  Visit(*worker, answer.report, now);
  ApplyReport(*worker, answer.report, now);
}

void Scheduler::Visit(WorkerState& worker, const HoldReport& report, const Now& now) {
  if (worker.incarnation != report.incarnation) {
    LoseRunsOfEarlierLife(worker, now);
    worker.Reset(report.incarnation, now.monotonic);
  }
  worker.SetClock(report.clock, now.monotonic);
  unreported_.erase(worker.entry().id);
  if (worker.visited) return;
  worker.visited = true;
  roster_changed_ = roster_changed_ || !worker.rostered;
  placement_wanted_ = true;
}

void Scheduler::ApplyReport(WorkerState& worker, const HoldReport& report, const Now& now) {
  for (const EndedRun& end : report.ended) {
    if (end.number > worker.end_seen) ApplyEnd(worker, end, now);
  }
  for (const RunningTask& running : report.running) ApplyRunning(worker, running, now);
  // Ends that change nothing that is stored, and nothing stored is under way.
  if (!tracker_.has_changes() && stored_batch_ + 1 == next_batch_) {
    worker.end_stored = worker.end_seen;
  }
  SettleMissing(worker, report, now);
  worker.look_now = false;
  pace_.Update(worker, neighbours_, now.monotonic);
  SendStops(worker, now);
  SendPaces(worker);
}

void Scheduler::ApplyEnd(WorkerState& worker, const EndedRun& end, const Now& now) {
  worker.end_seen = end.number;
  worker.end_batch = next_batch_;
  placement_wanted_ = true;
  Log(LogEvent(LogLevel::kInfo, "run_ended")
          .With("task", jobs::ToString(end.task))
          .With("run", end.run)
          .With("worker", worker.entry().id)
          .With("end", std::string(ToString(end.end))));
  counters_.Add("cactusshelf_run_ends_total", ToString(end.end));
  Run* run = worker.FindRun(end.task);
  if (run != nullptr && run->number <= end.run) RemoveRun(worker, end.task);
  tracker_.OnBegun(end.task.job);
  JudgeWorker(worker, end, now);
  const bool was_tracked = tracker_.Find(end.task.job) != nullptr;
  tracker_.OnEnd(end.task, end.run, end.end, end.checkpoint, now.monotonic);
  const bool over = was_tracked && tracker_.Find(end.task.job) == nullptr;
  if (over) {
    Log(LogEvent(LogLevel::kInfo, "job_over")
            .With("job", end.task.job.str())
            .With("last_end", std::string(ToString(end.end))));
  }
  // A task of a worker that was given up may be done there, and run again elsewhere.
  const TaskStatus* task = tracker_.Find(end.task);
  const bool runs_on = task != nullptr && task->phase == TaskPhase::kDone && task->runs_present > 0;
  if (over || runs_on) StopUnwantedRuns(end.task.job, now);
}

// Tells a worker that fails everything from a job that fails everywhere: only failures of different
// jobs in a row count.
void Scheduler::JudgeWorker(WorkerState& worker, const EndedRun& end, const Now& now) {
  if (end.end == RunEnd::kDone) {
    worker.failures_in_row = 0;
    worker.failed_job.clear();
  }
  if (end.end != RunEnd::kFailed || worker.failed_job == end.task.job.str()) return;
  worker.failed_job = end.task.job.str();
  ++worker.failures_in_row;
  if (worker.failures_in_row < kSuspiciousFailures) return;
  const int factor =
      std::min(worker.failures_in_row - kSuspiciousFailures + 1, kMaxQuarantineFactor);
  worker.no_starts_before = now.monotonic + options_.quarantine * factor;
  counters_.Add("cactusshelf_quarantines_total", "failures_of_several_jobs");
  Log(LogEvent(LogLevel::kWarning, "worker_quarantined")
          .With("worker", worker.entry().id)
          .With("failures_in_row", worker.failures_in_row));
}

void Scheduler::ApplyRunning(WorkerState& worker, const RunningTask& running, const Now& now) {
  Run* run = worker.FindRun(running.task);
  if (run == nullptr) {
    Adopt(worker, running);
    return;
  }
  if (run->number != running.run) return;
  if (run->phase == RunPhase::kUnsettled || run->phase == RunPhase::kStarting) {
    run->phase = RunPhase::kRunning;
    tracker_.OnBegun(running.task.job);
  }
  run->reported_by = worker.incarnation;
  ApplyProgress(worker, *run, running.progress_percent, now);
  run->load = running.load;
  run->checkpoint = running.checkpoint;
}

void Scheduler::ApplyProgress(WorkerState& worker, Run& run, int percent, const Now& now) {
  const Duration elapsed = now.monotonic - run.progress_at;
  const bool known = run.progress_at != Time{};
  const bool moved = percent != run.progress_percent;
  // Best-effort tasks depend on what their neighbours leave, and long-running ones have no end.
  const bool judged = !run.best_effort && !run.long_running && run.phase == RunPhase::kRunning;
  if (judged && known && elapsed >= kLeastObservation) {
    const double progress = (percent - run.progress_percent) / kAllPercent;
    worker.speed.Observe(progress, run.estimate, elapsed, now.monotonic);
  }
  if (judged && known && !moved && elapsed >= options_.stuck_after) {
    run.phase = RunPhase::kStopping;
    counters_.Add("cactusshelf_stuck_runs_total", "no_progress");
    Log(LogEvent(LogLevel::kWarning, "run_stuck")
            .With("task", jobs::ToString(run.task))
            .With("run", run.number)
            .With("worker", worker.entry().id)
            .With("percent", percent)
            .With("ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()));
  }
  if (moved || !known) run.progress_at = now.monotonic;
  run.progress_percent = percent;
}

// A run that this owner did not start: of an earlier owner, or begun long after its start was sent.
void Scheduler::Adopt(WorkerState& worker, const RunningTask& running) {
  const TaskStatus* task = tracker_.Find(running.task);
  const bool wanted =
      task != nullptr && task->phase == TaskPhase::kWaiting && running.run > task->last_ended_run;
  Run run = MakeForeignRun(worker, running.task);
  run.task = running.task;
  run.number = running.run;
  run.phase = wanted ? RunPhase::kRunning : RunPhase::kStopping;
  run.load = running.load;
  run.checkpoint = running.checkpoint;
  run.progress_percent = running.progress_percent;
  run.reported_by = worker.incarnation;
  run.pace_confirmed = kUnknownPace;
  AddRun(worker, std::move(run));
  Log(LogEvent(LogLevel::kInfo, wanted ? "run_adopted" : "run_unwanted")
          .With("task", jobs::ToString(running.task))
          .With("run", running.run)
          .With("worker", worker.entry().id));
  if (!wanted) return;
  tracker_.OnPlaced(running.task, running.run);
  tracker_.OnBegun(running.task.job);
}

// A run takes up room also if its job is over. If even its job is not known any more, it may take
// up all that is free.
Run Scheduler::MakeForeignRun(const WorkerState& worker, const TaskRef& ref) {
  const JobLogView::Entry* entry = ledger_.Find(ref.job);
  const bool known = entry != nullptr && ref.task.step >= 0 &&
                     static_cast<std::size_t>(ref.task.step) < entry->job->spec.steps.size();
  if (known) return MakeRun(*entry->job, ref.task, 0);
  Run run;
  run.need = worker.Free();
  return run;
}

// A run that a report should name and does not is gone, or never began.
void Scheduler::SettleMissing(WorkerState& worker, const HoldReport& report, const Now& now) {
  std::vector<TaskRef> missing;
  for (auto& [ref, run] : worker.runs()) {
    if (run.phase == RunPhase::kStarting || run.settled_at > worker.hold_sent_at) continue;
    const bool listed = IsListed(report, run);
    if (listed) continue;
    if (run.phase == RunPhase::kUnsettled) {
      // It may still begin. A stop prevents that.
      run.phase = RunPhase::kStopping;
    } else if (run.phase == RunPhase::kRunning || run.stop_answered) {
      missing.push_back(ref);
    }
  }
  for (const TaskRef& ref : missing) LoseRun(worker, ref, "not_reported", now);
}

// `ref` is a copy, since callers name runs by the key that is removed.
void Scheduler::LoseRun(WorkerState& worker, TaskRef ref, std::string_view reason,  // NOLINT
                        const Now& now) {
  const Run* run = worker.FindRun(ref);
  const std::string checkpoint = run->checkpoint;
  const std::int64_t number = run->number;
  Log(LogEvent(LogLevel::kInfo, "run_lost")
          .With("task", jobs::ToString(ref))
          .With("run", number)
          .With("worker", worker.entry().id)
          .With("reason", std::string(reason)));
  counters_.Add("cactusshelf_lost_runs_total", reason);
  RemoveRun(worker, ref);
  const TaskStatus* task = tracker_.Find(ref);
  if (task != nullptr && task->last_run == number) tracker_.OnLost(ref, checkpoint, now.monotonic);
  placement_wanted_ = true;
}

// What the earlier incarnation reported ended with it. A run that was started since its last report
// may have been started by the present one.
void Scheduler::LoseRunsOfEarlierLife(WorkerState& worker, const Now& now) {
  std::vector<TaskRef> ended;
  for (const auto& [ref, run] : worker.runs()) {
    if (run.reported_by != 0) ended.push_back(ref);
  }
  for (const TaskRef& ref : ended) LoseRun(worker, ref, "worker_restarted", now);
}

void Scheduler::LoseAllRuns(WorkerState& worker, std::string_view reason, const Now& now) {
  while (!worker.runs().empty()) LoseRun(worker, worker.runs().begin()->first, reason, now);
}

void Scheduler::OnStartAnswer(const OrderAnswer& answer, const Now& now) {
  const PendingOrder order = TakeOrder(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  counters_.Add("cactusshelf_start_answers_total", ToString(answer.outcome));
  if (answer.outcome != OrderOutcome::kDone) {
    Log(LogEvent(LogLevel::kWarning, "start_failed")
            .With("task", jobs::ToString(order.task))
            .With("run", order.run)
            .With("worker", order.worker)
            .With("reason", std::string(ToString(answer.outcome)))
            .With("detail", answer.reason));
  }
  Run* run = worker->FindRun(order.task);
  if (run == nullptr || run->number != order.run) return;
  run->settled_at = ++worker->orders_answered;
  switch (answer.outcome) {
    case OrderOutcome::kDone:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kRunning;
      tracker_.OnBegun(order.task.job);
      return;
    case OrderOutcome::kNoAnswer:
    case OrderOutcome::kRelaySilent:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kUnsettled;
      worker->look_now = true;
      return;
    case OrderOutcome::kRejected:
    case OrderOutcome::kNoRoom:
      worker->no_starts_before = now.monotonic + options_.retry_period;
      break;
    case OrderOutcome::kOtherInstance:
      worker->visited = false;
      worker->look_now = true;
      break;
    default:
      break;
  }
  LoseRun(*worker, order.task, ToString(answer.outcome), now);
}

// The run that an answered order was about, or null if it is gone.
Run* Scheduler::TakeOrderedRun(const OrderAnswer& answer, PendingOrder& order) {
  order = TakeOrder(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return nullptr;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  Run* run = worker->FindRun(order.task);
  return run != nullptr && run->number == order.run ? run : nullptr;
}

void Scheduler::OnStopAnswer(const OrderAnswer& answer, const Now& /*now*/) {
  PendingOrder order;
  Run* run = TakeOrderedRun(answer, order);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  if (answer.outcome != OrderOutcome::kDone) return;
  WorkerState* worker = FindWorker(order.worker);
  run->stop_answered = true;
  run->settled_at = ++worker->orders_answered;
  worker->look_now = true;
}

void Scheduler::OnPaceAnswer(const OrderAnswer& answer, const Now& /*now*/) {
  PendingOrder order;
  Run* run = TakeOrderedRun(answer, order);
  if (run == nullptr) return;
  run->pace_in_flight = false;
  if (answer.outcome == OrderOutcome::kDone) run->pace_confirmed = order.percent;
}

}  // namespace cactusshelf::jobs
