#include <algorithm>
#include <utility>

#include "run_loss.h"
#include "scheduler.h"

// Answers and reports of workers.
namespace cactusshelf::jobs {
namespace {

// Progress is reported in whole percent, which is too coarse to measure speed over a shorter time.
constexpr Duration kMinObservationTime = std::chrono::milliseconds(150);

// True if the worker may have carried out the order, or may still do so.
bool IsUnanswered(OrderOutcome outcome) {
  return outcome == OrderOutcome::kNoAnswer || outcome == OrderOutcome::kRelaySilent;
}

// Time since `time` in milliseconds, or -1 if `time` is zero.
std::int64_t MillisecondsSince(Time time, Time now) {
  if (time == Time{}) return -1;
  return ToMilliseconds(now - time);
}

}  // namespace

Scheduler::PendingOrder Scheduler::TakePendingOrder(CallId call) {
  const auto it = pending_.find(static_cast<std::uint64_t>(call));
  if (it == pending_.end()) return {};
  PendingOrder order = std::move(it->second);
  pending_.erase(it);
  return order;
}

void Scheduler::NoteWhetherAnswered(WorkerState& worker, OrderOutcome outcome) {
  if (!IsUnanswered(outcome)) return;
  worker.incarnation_confirmed = false;
  worker.order_failed_since_hold = true;
}

void Scheduler::OnHoldAnswer(const HoldAnswer& answer, const Now& now) {
  const PendingOrder order = TakePendingOrder(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  worker->hold_in_flight = false;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  NoteWhetherAnswered(*worker, answer.outcome);
  if (answer.outcome == OrderOutcome::kRelaySilent) {
    // The relay failed, not necessarily the worker: the hold is sent again through another relay.
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
    if (std::exchange(worker->reachable, false)) worker->unreachable_since = now.monotonic;
    worker->last_hold_failed = true;
    CancelAllQueuedStarts(*worker, now);
    // While its lease lasts, its runs can be saved.
    const bool lease_lasts = !worker->AllLeasesExpired(now.monotonic);
    const Time last_attempt_at = lease_lasts ? order.made_at : now.monotonic;
    worker->next_hold = last_attempt_at + options_.retry_period;
    return;
  }
  if (!worker->reachable) {
    Log(LogEvent(LogLevel::kInfo, "worker_reached")
            .With("worker", order.worker)
            .With("incarnation", answer.report.incarnation));
    placement_needed_ = true;
  }
  worker->reachable = true;
  worker->last_hold_failed = false;
  worker->next_hold = now.monotonic;
  const bool after_quorum = order.made_at >= quorum_.reached_at();
  OnTokenAccepted(*worker, answer.report, after_quorum, now);
  worker->token_confirmed_at = std::max(worker->token_confirmed_at, order.made_at);
  const bool same_incarnation = worker->incarnation == order.incarnation;
  if (same_incarnation && order.renews_lease) OnLeaseRenewed(*worker, now);
  if (same_incarnation && order.acknowledged_end > 0)
    worker->acknowledged_end = order.acknowledged_end;
  ApplyReport(*worker, answer.report, after_quorum, now);
}

void Scheduler::OnTokenAccepted(WorkerState& worker, const HoldReport& report, bool after_quorum,
                                const Now& now) {
  if (worker.incarnation != report.incarnation) {
    // Their leases are given by the clock of the earlier incarnation.
    CancelAllQueuedStarts(worker, now);
    // The stop of a start without an answer held for the earlier incarnation only.
    for (auto& [ref, run] : worker.runs()) run.stop_answered = false;
    worker.Reset(report.incarnation, MaxEarlierLease(worker, report), now.monotonic);
    worker.has_earlier_runs = !worker.runs().empty();
  }
  worker.SetClock(report.clock, now.monotonic);
  CheckIncarnationKnown(worker, now);
  worker.incarnation_confirmed = !worker.order_failed_since_hold;
  if (after_quorum && unreported_workers_.erase(worker.entry().id) > 0)
    OnAwaitedWorkerReported(worker);
  if (worker.token_accepted) return;
  worker.token_accepted = true;
  if (quorum_.OnTokenAccepted(worker.entry().id, now.monotonic))
    OnQuorumReached("workers", now.monotonic, now);
  placement_needed_ = true;
}

Duration Scheduler::MaxEarlierLease(const WorkerState& worker, const HoldReport& report) const {
  const auto it = stored_leases_.incarnations.find(worker.entry().id);
  const bool known = it != stored_leases_.incarnations.end() && it->second == report.incarnation;
  const bool first_report = worker.incarnation == 0;
  if (earlier_leases_bound_ || (first_report && known))
    return std::max(options_.lease, stored_leases_.lease);
  return options_.longest_lease;
}

void Scheduler::ApplyReport(WorkerState& worker, const HoldReport& report, bool after_quorum,
                            const Now& now) {
  for (const EndedRun& end : report.ended) {
    if (after_quorum && end.number > worker.last_processed_end) ApplyEnd(worker, end, now);
  }
  for (const RunningTask& running : report.running) ApplyRunning(worker, running, now);
  // If the ends changed no stored state and no batch is being stored, they count as stored.
  if (!tracker_.has_changes() && last_stored_batch_ + 1 == next_batch_) {
    worker.last_stored_end = worker.last_processed_end;
  }
  if (after_quorum) ResolveUnreportedRuns(worker, report, now);
  worker.report_needed_now = false;
  throttle_.Update(worker, interference_, now.monotonic);
  SendStops(worker, now);
  SendPaceOrders(worker, now);
}

void Scheduler::ApplyEnd(WorkerState& worker, const EndedRun& end, const Now& now) {
  worker.last_processed_end = end.number;
  worker.processed_ends_batch = next_batch_;
  placement_needed_ = true;
  Log(LogEvent(LogLevel::kInfo, "run_ended")
          .With("task", jobs::ToString(end.task))
          .With("run", end.run)
          .With("worker", worker.entry().id)
          .With("end", std::string(ToString(end.end))));
  counters_.Add("cactusshelf_run_ends_total", ToString(end.end));
  const Run* run = worker.FindRun(end.task);
  if (run != nullptr && run->number < end.run) {
    // A worker has one run of a task at a time, and their numbers rise.
    MarkRunLost(worker, end.task, "replaced", now);
  } else if (run != nullptr && run->number == end.run) {
    UpdateQuarantine(worker, *run, end.end, now);
    RemoveRun(worker, end.task);
  }
  tracker_.OnRunStarted(end.task.job);
  const bool was_tracked = tracker_.Find(end.task.job) != nullptr;
  tracker_.OnRunEnded(end.task, end.run, end.end, end.checkpoint, now.monotonic);
  const bool job_ended = was_tracked && tracker_.Find(end.task.job) == nullptr;
  if (job_ended) {
    Log(LogEvent(LogLevel::kInfo, "job_over")
            .With("job", end.task.job.str())
            .With("last_end", std::string(ToString(end.end))));
  }
  // A task may be reported as done by a worker that was considered lost, while a second run of the
  // task is on another worker.
  TaskStatus* task = tracker_.Find(end.task);
  if (task != nullptr && task->last_worker.empty()) task->last_worker = worker.entry().id;
  const bool second_run_present =
      task != nullptr && task->phase == TaskPhase::kDone && task->present_runs > 0;
  if (job_ended || second_run_present) StopObsoleteRuns(end.task.job, now);
}

void Scheduler::UpdateQuarantine(WorkerState& worker, const Run& run, RunEnd end, const Now& now) {
  if (!worker.quarantine.OnRunEnded(run, end, options_.quarantine, now.monotonic)) return;
  counters_.Add("cactusshelf_quarantines_total", "failures_of_several_jobs");
  Log(LogEvent(LogLevel::kWarning, "worker_quarantined")
          .With("worker", worker.entry().id)
          .With("failures_in_row", worker.quarantine.consecutive_failures()));
}

void Scheduler::ApplyRunning(WorkerState& worker, const RunningTask& running, const Now& now) {
  Run* run = worker.FindRun(running.task);
  if (run == nullptr) {
    AdoptRun(worker, running);
    return;
  }
  if (run->number != running.run) return;
  if (run->phase == RunPhase::kStartUnconfirmed || run->phase == RunPhase::kStarting) {
    run->phase = RunPhase::kRunning;
    tracker_.OnRunStarted(running.task.job);
  }
  run->incarnation = worker.incarnation;
  run->may_run_until = {};
  ApplyProgress(worker, *run, running.progress_percent, now);
  run->load = running.load;
  run->checkpoint = running.checkpoint;
  worker.quarantine.OnRunReported(*run, now.monotonic);
}

void Scheduler::ApplyProgress(WorkerState& worker, Run& run, int percent, const Now& now) {
  const Duration elapsed = now.monotonic - run.progress_changed_at;
  const bool known = run.progress_changed_at != Time{};
  const bool moved = percent != run.progress_percent;
  // The progress of best-effort tasks depends on the processors that their neighbours leave idle,
  // and long-running tasks have no end.
  const bool speed_measurable =
      !run.best_effort && !run.long_running && run.phase == RunPhase::kRunning;
  if (speed_measurable && known && elapsed >= kMinObservationTime) {
    const double progress = (percent - run.progress_percent) / kFullProgressPercent;
    worker.speed.Observe(progress, run.estimate, elapsed, now.monotonic);
  }
  if (speed_measurable && known && !moved && elapsed >= options_.stall_timeout) {
    run.phase = RunPhase::kStopping;
    counters_.Add("cactusshelf_stuck_runs_total", "no_progress");
    Log(LogEvent(LogLevel::kWarning, "run_stuck")
            .With("task", jobs::ToString(run.task))
            .With("run", run.number)
            .With("worker", worker.entry().id)
            .With("percent", percent)
            .With("ms", ToMilliseconds(elapsed)));
  }
  if (moved || !known) run.progress_changed_at = now.monotonic;
  run.progress_percent = percent;
}

// Adds a reported run that this owner does not track: an earlier owner started it, or it began long
// after its start was sent.
void Scheduler::AdoptRun(WorkerState& worker, const RunningTask& running) {
  const TaskStatus* task = tracker_.Find(running.task);
  const bool should_run =
      task != nullptr && task->phase == TaskPhase::kWaiting && running.run > task->last_ended_run;
  Run run = MakeAdoptedRun(worker, running.task);
  run.task = running.task;
  run.number = running.run;
  run.phase = should_run ? RunPhase::kRunning : RunPhase::kStopping;
  run.load = running.load;
  run.checkpoint = running.checkpoint;
  run.progress_percent = running.progress_percent;
  run.incarnation = worker.incarnation;
  run.confirmed_cpu_share_percent = kUnknownCpuShare;
  AddRun(worker, std::move(run));
  Log(LogEvent(LogLevel::kInfo, should_run ? "run_adopted" : "run_unwanted")
          .With("task", jobs::ToString(running.task))
          .With("run", running.run)
          .With("worker", worker.entry().id));
  if (!should_run) return;
  tracker_.OnPlaced(running.task, running.run);
  tracker_.OnRunStarted(running.task.job);
}

// A run uses capacity even if its job has ended. The need of a run of an unknown job is unknown, so
// the run is assumed to use all free capacity.
Run Scheduler::MakeAdoptedRun(const WorkerState& worker, const TaskRef& ref) {
  const JobLogView::Entry* entry = log_view_.Find(ref.job);
  const bool known = entry != nullptr && ref.task.step >= 0 &&
                     static_cast<std::size_t>(ref.task.step) < entry->job->spec.steps.size();
  if (known) return MakeRun(*entry->job, ref.task, 0);
  Run run;
  run.need = worker.Free();
  return run;
}

// Handles runs that the report should list but does not. They have ended or never started.
void Scheduler::ResolveUnreportedRuns(WorkerState& worker, const HoldReport& report,
                                      const Now& now) {
  for (auto& [ref, run] : worker.runs()) {
    const bool reflects_orders = run.last_answer_sequence <= worker.hold_answer_sequence;
    const bool unconfirmed = run.phase == RunPhase::kStartUnconfirmed;
    // The run may still begin. A stop prevents this.
    if (unconfirmed && reflects_orders && !IsListed(report, run)) run.phase = RunPhase::kStopping;
  }
  const auto ended = [&](const Run& run) {
    return HasEndedByReport(worker, run, report, EndsConfirmedAt());
  };
  MarkRunsLostIf(worker, ended, "not_reported", now);
}

// `ref` is passed by value, since callers pass the key of the map entry that is removed.
void Scheduler::MarkRunLost(WorkerState& worker, TaskRef ref, std::string_view reason,  // NOLINT
                            const Now& now) {
  const Run* run = worker.FindRun(ref);
  const std::string checkpoint = run->checkpoint;
  const std::int64_t number = run->number;
  const bool begun = run->phase != RunPhase::kStarting;
  Log(LogEvent(LogLevel::kInfo, "run_lost")
          .With("task", jobs::ToString(ref))
          .With("run", number)
          .With("worker", worker.entry().id)
          .With("reason", std::string(reason))
          .With("phase", std::string(ToString(run->phase)))
          .With("ms_since_start", MillisecondsSince(run->started_at, now.monotonic))
          .With("ms_since_lease", MillisecondsSince(worker.lease_sent_at(), now.monotonic))
          .With("ms_since_confirmed", MillisecondsSince(ownership_confirmed_at_, now.monotonic)));
  counters_.Add("cactusshelf_lost_runs_total", reason);
  RemoveRun(worker, ref);
  tracker_.OnRunLost(ref, number, begun, checkpoint, now.monotonic);
  placement_needed_ = true;
}

void Scheduler::ResolveRunsAfterRestart(WorkerState& worker, const Now& now) {
  if (!worker.has_earlier_runs) return;
  if (EndsConfirmedAt() < worker.incarnation_seen_at) {
    awaits_confirmation_ = true;
    return;
  }
  worker.has_earlier_runs = false;
  const auto ended = [&](const Run& run) { return HasEndedByRestart(run, worker.incarnation); };
  MarkRunsLostIf(worker, ended, "worker_restarted", now);
}

bool Scheduler::CheckIncarnation(WorkerState& worker, const PendingOrder& order,
                                 const OrderAnswer& answer, const Now& now) {
  NoteWhetherAnswered(worker, answer.outcome);
  if (!answer.clock || order.incarnation != worker.incarnation) return false;
  if (worker.IsClockPlausible(*answer.clock, order.made_at)) return true;
  Log(LogEvent(LogLevel::kWarning, "worker_restart_suspected")
          .With("worker", worker.entry().id)
          .With("incarnation", worker.incarnation)
          .With("clock_ms", answer.clock->count()));
  counters_.Add("cactusshelf_suspected_restarts_total", "clock");
  worker.SuspectRestart();
  CancelAllQueuedStarts(worker, now);
  return false;
}

void Scheduler::OnStartAnswer(const OrderAnswer& answer, const Now& now) {
  const PendingOrder order = CompleteOrder(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  counters_.Add("cactusshelf_start_answers_total", ToString(answer.outcome));
  if (answer.outcome != OrderOutcome::kDone) {
    LogEvent event(LogLevel::kWarning, "start_failed");
    event.With("task", jobs::ToString(order.task))
        .With("run", order.run)
        .With("worker", order.worker)
        .With("reason", std::string(ToString(answer.outcome)))
        .With("detail", answer.reason);
    // The run is given up at the end of the lease if the worker is not heard of again.
    if (IsUnanswered(answer.outcome))
      event.With("bound_to", order.incarnation)
          .With("lease_left_ms", MillisecondsSince(now.monotonic, worker->lease_expiry()));
    Log(std::move(event));
  }
  const bool same_incarnation = CheckIncarnation(*worker, order, answer, now);
  Run* run = worker->FindRun(order.task);
  if (run == nullptr || run->number != order.run) return;
  run->last_answer_sequence = ++worker->answer_sequence;
  switch (answer.outcome) {
    case OrderOutcome::kDone:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kRunning;
      if (!same_incarnation && answer.clock)
        worker->OnStartedByOtherIncarnation(*run, now.monotonic);
      tracker_.OnRunStarted(order.task.job);
      return;
    case OrderOutcome::kNoAnswer:
    case OrderOutcome::kRelaySilent:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kStartUnconfirmed;
      worker->report_needed_now = true;
      return;
    case OrderOutcome::kRejected:
    case OrderOutcome::kNoRoom:
      worker->starts_paused_until = now.monotonic + options_.retry_period;
      break;
    case OrderOutcome::kOtherInstance:
      worker->token_accepted = false;
      worker->report_needed_now = true;
      break;
    default:
      break;
  }
  MarkRunLost(*worker, order.task, ToString(answer.outcome), now);
}

Run* Scheduler::CompleteRunOrder(const OrderAnswer& answer, PendingOrder& order, const Now& now) {
  order = CompleteOrder(answer.call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return nullptr;
  if (answer.outcome == OrderOutcome::kFenced) fenced_ = true;
  CheckIncarnation(*worker, order, answer, now);
  Run* run = worker->FindRun(order.task);
  return run != nullptr && run->number == order.run ? run : nullptr;
}

void Scheduler::OnStopAnswer(const OrderAnswer& answer, const Now& now) {
  PendingOrder order;
  Run* run = CompleteRunOrder(answer, order, now);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  if (answer.outcome != OrderOutcome::kDone) return;
  WorkerState* worker = FindWorker(order.worker);
  run->stop_answered = true;
  run->last_answer_sequence = ++worker->answer_sequence;
  worker->report_needed_now = true;
}

void Scheduler::OnPaceAnswer(const OrderAnswer& answer, const Now& now) {
  PendingOrder order;
  Run* run = CompleteRunOrder(answer, order, now);
  if (run == nullptr) return;
  run->pace_order_in_flight = false;
  if (answer.outcome == OrderOutcome::kDone) run->confirmed_cpu_share_percent = order.percent;
}

}  // namespace cactusshelf::jobs
