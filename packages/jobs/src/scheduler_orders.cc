#include <algorithm>

#include "scheduler.h"

// Hold, stop and pace orders to workers.
namespace cactusshelf::jobs {
namespace {

// Maximum number of orders in flight to one worker, other than holds. Each needs a connection.
constexpr int kMaxOrdersInFlight = 2;
// What still runs on a worker that gets no more leases is stopped this long before the last one
// ends: time for the stop, for its repeat, and for the report of the end.
constexpr Duration kLastStopTime = std::chrono::milliseconds(1500);
// A draining worker keeps running for at least about this time. A task that needs longer is stopped
// and started on another worker.
constexpr Duration kMinDrainTime = std::chrono::milliseconds(1500);

}  // namespace

void Scheduler::AddRun(WorkerState& worker, Run run) {
  TaskStatus* task = tracker_.Find(run.task);
  if (task != nullptr && worker.FindRun(run.task) == nullptr) ++task->present_runs;
  if (task != nullptr) task->last_worker = worker.entry().id;
  worker.AddRun(std::move(run));
}

void Scheduler::RemoveRun(WorkerState& worker, const TaskRef& ref) {
  TaskStatus* task = tracker_.Find(ref);
  if (task != nullptr && worker.FindRun(ref) != nullptr) --task->present_runs;
  worker.RemoveRun(ref);
}

Scheduler::PendingOrder& Scheduler::AddPendingOrder(CallId call, const WorkerState& worker,
                                                    const TaskRef& task, std::int64_t run,
                                                    const Now& now) {
  PendingOrder& order = pending_[static_cast<std::uint64_t>(call)];
  order.made_at = now.monotonic;
  order.worker = worker.entry().id;
  order.incarnation = worker.incarnation;
  order.task = task;
  order.run = run;
  return order;
}

void Scheduler::Enqueue(WorkerState& worker, WorkerOrder order) {
  if (std::holds_alternative<HoldOrder>(order)) {
    orders_.push_back(std::move(order));
    return;
  }
  worker.queued_orders.push_back(std::move(order));
  SendQueuedOrders(worker);
}

void Scheduler::SendAtOnce(WorkerState& worker, WorkerOrder order) {
  orders_.push_back(std::move(order));
  ++worker.orders_in_flight;
}

void Scheduler::SendQueuedOrders(WorkerState& worker) {
  while (worker.orders_in_flight < kMaxOrdersInFlight && !worker.queued_orders.empty()) {
    orders_.push_back(std::move(worker.queued_orders.front()));
    worker.queued_orders.pop_front();
    ++worker.orders_in_flight;
  }
}

Scheduler::PendingOrder Scheduler::CompleteOrder(CallId call) {
  PendingOrder order = TakePendingOrder(call);
  WorkerState* worker = FindWorker(order.worker);
  if (worker == nullptr) return order;
  --worker->orders_in_flight;
  SendQueuedOrders(*worker);
  return order;
}

template <typename Predicate>
void Scheduler::CancelQueuedStarts(WorkerState& worker, const Predicate& obsolete, const Now& now) {
  std::vector<StartOrder> starts;
  std::erase_if(worker.queued_orders, [&](const WorkerOrder& it) {
    const auto* start = std::get_if<StartOrder>(&it);
    if (start == nullptr || !obsolete(*start)) return false;
    starts.push_back(*start);
    return true;
  });
  for (const StartOrder& start : starts) {
    pending_.erase(static_cast<std::uint64_t>(start.call));
    const Run* run = worker.FindRun(start.task);
    if (run != nullptr && run->number == start.run)
      MarkRunLost(worker, start.task, "not_sent", now);
  }
}

// Tasks whose starts have not been sent can start on another worker, or with another lease.
void Scheduler::CancelAllQueuedStarts(WorkerState& worker, const Now& now) {
  CancelQueuedStarts(
      worker, [](const StartOrder&) { return true; }, now);
}

void Scheduler::SendHolds(const Now& now) {
  for (auto& [id, worker] : workers_) {
    if (worker.hold_in_flight) continue;
    const bool unstored_ends = worker.last_stored_end != worker.last_processed_end;
    const bool awaited = unreported_workers_.contains(id);
    const bool idle =
        worker.runs().empty() && worker.token_accepted && worker.reachable && !awaited;
    Time due = worker.next_hold;
    // A worker answers a hold at once while it has unacknowledged ends, and so it does without a
    // lease, so holds are spaced out until the ends are stored or a lease can be granted.
    const bool awaits_quorum = worker.token_accepted && !quorum_.reached();
    const bool withheld = worker.token_accepted && !may_grant_leases_;
    if (unstored_ends || awaits_quorum || withheld) due += options_.retry_period;
    if (idle && !unstored_ends) due += options_.idle_hold_period;
    if (worker.report_needed_now && worker.reachable) due = now.monotonic;
    if (now.monotonic >= due) SendHold(worker, now);
  }
}

void Scheduler::SendHold(WorkerState& worker, const Now& now) {
  HoldOrder order;
  order.call = NextCall();
  order.worker = worker.entry().Target();
  order.token = token_;
  order.acknowledged_end = worker.AcknowledgeableEnd();
  // The lease of a worker that does not answer is not renewed, so that its tasks can soon start
  // elsewhere.
  const bool usable = worker.token_accepted && worker.reachable && worker.has_clock();
  const bool limited = lease_limited_.contains(worker.entry().id);
  if (usable && !limited) order.lease_end = GrantLease(worker, now);
  // Any other limited worker gets its next lease as soon as that is allowed.
  if (order.lease_end || (usable && limited && worker.entry().draining)) {
    const bool awaited = unreported_workers_.contains(worker.entry().id);
    const bool wait = !worker.runs().empty() && !worker.report_needed_now &&
                      worker.incarnation_confirmed && !awaited &&
                      worker.last_stored_end == worker.last_processed_end;
    if (wait) order.wait = options_.hold_wait;
  }
  if (order.lease_end || order.acknowledged_end > 0) order.incarnation = worker.incarnation;
  worker.hold_in_flight = true;
  worker.order_failed_since_hold = false;
  worker.hold_answer_sequence = worker.answer_sequence;
  PendingOrder& pending = AddPendingOrder(order.call, worker, {}, 0, now);
  pending.acknowledged_end = order.acknowledged_end;
  pending.renews_lease = order.lease_end.has_value();
  Enqueue(worker, std::move(order));
}

void Scheduler::SendStops(WorkerState& worker, const Now& now) {
  for (auto& [ref, run] : worker.runs()) {
    if (run.phase != RunPhase::kStopping || run.stop_in_flight || run.stop_answered) continue;
    const bool due = now.monotonic >= run.stop_sent_at + options_.stop_retry_period;
    if (due) SendStop(worker, run, now);
  }
}

void Scheduler::SendStop(WorkerState& worker, Run& run, const Now& now) {
  StopOrder order;
  order.call = NextCall();
  order.worker = worker.entry().Target();
  order.token = token_;
  order.task = run.task;
  order.run = run.number;
  run.stop_in_flight = true;
  run.stop_sent_at = now.monotonic;
  AddPendingOrder(order.call, worker, run.task, run.number, now);
  Log(LogEvent(LogLevel::kInfo, "run_stop")
          .With("task", jobs::ToString(run.task))
          .With("run", run.number)
          .With("worker", worker.entry().id));
  const bool start_open = run.started_at != Time{} && run.last_answer_sequence == 0;
  // Behind other orders the stop would come too late for a start that waits to be relayed.
  if (start_open) {
    SendAtOnce(worker, std::move(order));
  } else {
    Enqueue(worker, std::move(order));
  }
}

bool Scheduler::ShouldRun(const TaskRef& ref) {
  const TaskStatus* task = tracker_.Find(ref);
  return task != nullptr && task->phase == TaskPhase::kPlaced;
}

void Scheduler::StopObsoleteRuns(const JobKey& job, const Now& now) {
  const auto obsolete = [this, &job](const StartOrder& it) {
    return it.task.job == job && !ShouldRun(it.task);
  };
  for (auto& [id, worker] : workers_) {
    if (!worker.queued_orders.empty()) CancelQueuedStarts(worker, obsolete, now);
    bool stopping = false;
    auto it = worker.runs().lower_bound({job, {}});
    for (; it != worker.runs().end() && it->first.job == job; ++it) {
      if (it->second.phase == RunPhase::kStopping || ShouldRun(it->first)) continue;
      it->second.phase = RunPhase::kStopping;
      stopping = true;
    }
    if (stopping) SendStops(worker, now);
  }
}

void Scheduler::EvacuateDrainingWorker(WorkerState& worker, const Now& now) {
  const bool last_lease_ends = lease_limited_.contains(worker.entry().id) &&
                               now.monotonic >= worker.lease_expiry() - kLastStopTime;
  for (auto& [ref, run] : worker.runs()) {
    if (run.phase != RunPhase::kRunning) continue;
    const double left = 1.0 - run.progress_percent / kFullProgressPercent;
    const auto remaining = std::chrono::duration<double, Duration::period>(run.estimate) * left;
    if (run.long_running || remaining > kMinDrainTime || last_lease_ends)
      run.phase = RunPhase::kStopping;
  }
}

void Scheduler::SendPaceOrders(WorkerState& worker, const Now& now) {
  if (!worker.reachable) return;
  for (auto& [ref, run] : worker.runs()) {
    if (!run.best_effort || run.phase != RunPhase::kRunning) continue;
    if (run.cpu_share_percent == run.confirmed_cpu_share_percent || run.pace_order_in_flight)
      continue;
    PaceOrder order;
    order.call = NextCall();
    order.worker = worker.entry().Target();
    order.token = token_;
    order.task = ref;
    order.run = run.number;
    order.percent = run.cpu_share_percent;
    run.pace_order_in_flight = true;
    AddPendingOrder(order.call, worker, ref, run.number, now).percent = run.cpu_share_percent;
    Enqueue(worker, std::move(order));
  }
}

}  // namespace cactusshelf::jobs
