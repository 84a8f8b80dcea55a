#include <algorithm>

#include "worker_state.h"

namespace cactusshelf::jobs {
namespace {

// Number of consecutive failures of different jobs after which a worker is quarantined.
constexpr int kQuarantineFailureCount = 2;
constexpr int kMaxQuarantineFactor = 4;
// Minimum time between two probes of a worker in quarantine.
constexpr Duration kProbePeriod = std::chrono::seconds(1);

}  // namespace

bool WorkerQuarantine::OnRunEnded(const Run& run, RunEnd end, Duration quarantine, Time now) {
  if (end == RunEnd::kDone) OnSuccess(run);
  if (end != RunEnd::kFailed) return false;
  if (run.long_running && now - run.started_at > kProbationTime) return false;
  last_failure_at_ = now;
  const std::string job = run.task.job.str();
  if (last_failed_job_ == job) return false;
  last_failed_job_ = job;
  if (++consecutive_failures_ < kQuarantineFailureCount) return false;
  const int factor =
      std::min(consecutive_failures_ - kQuarantineFailureCount + 1, kMaxQuarantineFactor);
  until_ = now + quarantine * factor;
  return true;
}

void WorkerQuarantine::OnRunReported(const Run& run, Time now) {
  const bool at_work = run.long_running || run.progress_percent > 0;
  const bool proven = at_work && run.phase == RunPhase::kRunning &&
                      run.started_at > last_failure_at_ && now - run.started_at > kProbationTime;
  if (proven) OnSuccess(run);
}

void WorkerQuarantine::OnSuccess(const Run& run) {
  consecutive_failures_ = 0;
  last_failed_job_.clear();
  if (run.started_at <= last_failure_at_) return;
  until_ = {};
  probe_.reset();
}

void WorkerQuarantine::OnPlaced(const TaskRef& task, Time now) {
  if (!active(now)) return;
  probe_ = task;
  next_probe_ = now + kProbePeriod;
}

void WorkerQuarantine::OnRunRemoved(const TaskRef& task) {
  if (probe_ == task) probe_.reset();
}

}  // namespace cactusshelf::jobs
