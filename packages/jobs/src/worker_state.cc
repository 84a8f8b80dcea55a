#include "worker_state.h"

#include <algorithm>

namespace cactusshelf::jobs {

using std::chrono::duration_cast;

Duration LongestTime(Duration duration, double max_clock_drift) {
  const std::chrono::duration<double, Duration::period> exact = duration;
  return duration_cast<Duration>(exact / (1.0 - max_clock_drift));
}

std::string_view ToString(RunPhase phase) {
  switch (phase) {
    case RunPhase::kStarting:
      return "starting";
    case RunPhase::kStartUnconfirmed:
      return "start_unconfirmed";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

namespace {

// Tolerance of clocks that are given in whole milliseconds.
constexpr WorkerClock kClockTolerance = std::chrono::milliseconds(5);

}  // namespace

void WorkerState::Reset(std::int64_t new_incarnation, Duration max_lease, Time now) {
  lease_expiry_ = std::max(lease_expiry_, now + LongestTime(max_lease, options_->max_clock_drift));
  incarnation = new_incarnation;
  incarnation_seen_at = now;
  incarnation_known = false;
  token_accepted = false;
  token_confirmed_at = {};
  last_processed_end = 0;
  last_stored_end = 0;
  acknowledged_end = 0;
  processed_ends_batch = 0;
  clock_known_ = false;
  quarantine.Reset();
  speed.Reset();
  serving_by_image.clear();
  best_effort_usage.clear();
  pressure_headrooms.reset();
}

Run* WorkerState::FindRun(const TaskRef& task) {
  const auto it = runs_.find(task);
  return it == runs_.end() ? nullptr : &it->second;
}

void WorkerState::AdjustUsage(const Run& run, int sign) {
  pressure_headrooms.reset();
  used_ += run.need * sign;
  const auto requested = static_cast<double>(run.milliprocessors);
  const bool serving = run.latency_target > Duration::zero();
  expected_use_ += sign * static_cast<std::int64_t>(
                              serving ? requested * options_->serving_utilization : requested);
  if (!run.long_running) short_task_use_ += run.need * sign;
  if (!serving) return;
  const int n = serving_runs_by_image_[run.image_index] += sign;
  if (n == 0) serving_runs_by_image_.erase(run.image_index);
}

int WorkerState::CountOtherServingImages(int image_index) const {
  const auto n = static_cast<int>(serving_runs_by_image_.size());
  return serving_runs_by_image_.contains(image_index) ? n - 1 : n;
}

Run& WorkerState::AddRun(Run run) {
  RemoveRun(run.task);
  AdjustUsage(run, 1);
  const TaskRef task = run.task;
  return runs_.insert_or_assign(task, std::move(run)).first->second;
}

void WorkerState::RemoveRun(const TaskRef& task) {
  const auto it = runs_.find(task);
  if (it == runs_.end()) return;
  AdjustUsage(it->second, -1);
  quarantine.OnRunRemoved(task);
  has_freed_room = true;
  runs_.erase(it);
}

int WorkerState::CountRunsOfStep(const JobKey& job, int occurrence, int step) const {
  int n = 0;
  for (auto it = runs_.lower_bound({job, {occurrence, step, 0}}); it != runs_.end(); ++it) {
    const TaskRef& ref = it->first;
    if (ref.job != job || ref.task.occurrence != occurrence || ref.task.step != step) break;
    ++n;
  }
  return n;
}

void WorkerState::SetClock(WorkerClock clock, Time now) {
  clock_known_ = true;
  restart_suspected_ = false;
  worker_clock_ = clock;
  clock_read_at_ = now;
}

bool WorkerState::IsClockPlausible(WorkerClock clock, Time sent_at) const {
  if (!clock_known_) return true;
  const std::chrono::duration<double, Duration::period> elapsed = sent_at - clock_read_at_;
  const double drift = options_->max_clock_drift;
  // The order may have been sent before the clock was read; then the clock may have been faster.
  const auto least = elapsed * (elapsed > Duration::zero() ? 1.0 - drift : 1.0 + drift);
  return clock >= worker_clock_ + duration_cast<WorkerClock>(least) - kClockTolerance;
}

void WorkerState::SuspectRestart() {
  restart_suspected_ = true;
  incarnation_confirmed = false;
  order_failed_since_hold = true;
  token_accepted = false;
  report_needed_now = true;
}

WorkerClock WorkerState::LeaseEnd(Duration lease, Time now) const {
  const std::chrono::duration<double, Duration::period> elapsed = now - clock_read_at_;
  const auto least = elapsed * (1.0 - options_->max_clock_drift);
  return worker_clock_ + duration_cast<WorkerClock>(least + lease);
}

void WorkerState::OnLeaseGranted(WorkerClock end, Time now) {
  const auto left = duration_cast<Duration>(end - worker_clock_);
  const Time slowest_end = clock_read_at_ + LongestTime(left, options_->max_clock_drift);
  lease_expiry_ = std::max({lease_expiry_, now, slowest_end});
  lease_sent_at_ = now;
}

Time WorkerState::LastRunEnd() const {
  Time end = lease_expiry_;
  for (const auto& [task, run] : runs_) end = std::max(end, run.may_run_until);
  return end;
}

std::int64_t WorkerState::AcknowledgeableEnd() const {
  return incarnation_confirmed && last_stored_end > acknowledged_end ? last_stored_end : 0;
}

void WorkerState::OnStartedByOtherIncarnation(Run& run, Time now) const {
  run.incarnation = 0;
  run.may_run_until = std::max(
      run.may_run_until, now + LongestTime(options_->longest_lease, options_->max_clock_drift));
}

}  // namespace cactusshelf::jobs
