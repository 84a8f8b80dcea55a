#ifndef CACTUSSHELF_JOBS_SCHEDULER_OPTIONS_H_
#define CACTUSSHELF_JOBS_SCHEDULER_OPTIONS_H_

#include "cactusshelf/base/time.h"

namespace cactusshelf::jobs {

// Settings of the owner of the workers. docs/operations.md lists them with defaults and ranges.
struct SchedulerOptions {
  // What runs on a worker ends so long after the last renewal. Longer leases let work outlive the
  // time without an owner after a power loss; shorter ones free the work of a lost worker sooner.
  Duration lease = std::chrono::seconds(4);
  // Workers shorten longer leases to this.
  Duration longest_lease = std::chrono::seconds(10);
  // Share by which a worker's clock may be slower than ours.
  double max_clock_drift = 0.02;
  // A hold of a worker that runs something waits so long for an end.
  Duration hold_wait = std::chrono::milliseconds(500);
  Duration idle_hold_period = std::chrono::milliseconds(1000);
  // Between tries to reach a worker that did not answer.
  Duration retry_period = std::chrono::milliseconds(250);
  // A stop that was not answered is repeated after this time.
  Duration stop_retry_period = std::chrono::milliseconds(300);
  // An owner that was replaced is refused by a worker, and so notices, within this time, if it
  // reaches any worker that its successor has reached.
  Duration fencing_detection_time = std::chrono::milliseconds(1200);
  // Pause between two placement passes, in which starts are collected.
  Duration placement_period = std::chrono::milliseconds(10);
  // No starts on a worker that failed the tasks of several jobs in a row, at first for this time.
  Duration quarantine = std::chrono::seconds(4);
  // A short task that makes no progress for so long is started again elsewhere. Resuming from a
  // checkpoint takes part of it.
  Duration stall_timeout = std::chrono::milliseconds(1200);
  // Share of a pool's processors that long-running tasks leave to short ones, whose callers wait.
  double short_task_reserve = 0.06;
  // Expected use of processors by a serving task, relative to what is reserved for it.
  double serving_utilization = 0.55;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SCHEDULER_OPTIONS_H_
