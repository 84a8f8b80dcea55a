#include "run_loss.h"

#include <algorithm>

namespace cactusshelf::jobs {

bool IsListed(const HoldReport& report, const Run& run) {
  return std::any_of(report.running.begin(), report.running.end(), [&run](const RunningTask& it) {
    return it.task == run.task && it.run == run.number;
  });
}

bool HasEndedByReport(const WorkerState& worker, const Run& run, const HoldReport& report,
                      Time confirmed_at) {
  const bool same_incarnation = run.incarnation == worker.incarnation;
  if (!same_incarnation && confirmed_at < worker.incarnation_seen_at) return false;
  const bool reflects_orders = run.last_answer_sequence <= worker.hold_answer_sequence;
  // The run may be among the ends that the report has no room for.
  if (report.more_ended) return false;
  const bool cannot_begin = run.phase == RunPhase::kRunning || run.stop_answered;
  return reflects_orders && cannot_begin && !IsListed(report, run);
}

bool HasEndedByRestart(const Run& run, std::int64_t incarnation) {
  return run.incarnation != 0 && run.incarnation != incarnation;
}

bool HasEndedByLease(const WorkerState& worker, const Run& run, Time now) {
  const bool order_open = run.phase == RunPhase::kStarting;
  return !order_open && worker.AllLeasesExpired(now) && now >= run.may_run_until;
}

}  // namespace cactusshelf::jobs
