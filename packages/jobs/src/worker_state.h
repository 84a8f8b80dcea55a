#ifndef CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_
#define CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/jobs/scheduler_options.h"
#include "cactusshelf/jobs/worker_calls.h"
#include "interference_model.h"
#include "worker_speed.h"

namespace cactusshelf::jobs {

enum class RunPhase : std::uint8_t {
  kStarting,          // The start is not answered yet.
  kStartUnconfirmed,  // The start was not answered in time: it may have begun, or begin later.
  kRunning,
  kStopping,
};

inline constexpr int kUnknownCpuShare = -1;
inline constexpr double kFullProgressPercent = 100.0;  // Of a run's progress.

// One run of a task on one worker, from the decision to start it until it is known to be gone.
struct Run {
  TaskRef task;
  std::int64_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources need;                    // Counted against the worker's capacity.
  std::int64_t milliprocessors = 0;  // Wanted, whether counted or not.
  Duration estimate{};
  bool long_running = false;
  bool best_effort = false;
  std::string image;
  int image_index = 0;  // NeighbourModel::ImageIndex.
  Duration latency_target{};
  std::string checkpoint;
  std::int64_t load = 0;  // RunningTask::load.
  int progress_percent = 0;
  Time progress_changed_at;     // Of the report that first named this percentage; zero before any.
  int cpu_share_percent = 100;  // Percent, as last ordered.
  int confirmed_cpu_share_percent = 100;  // kUnknownPace: of a run that an earlier owner started.
  bool pace_order_in_flight = false;
  // Of the last report that named the run; 0 if none did.
  std::int64_t reported_incarnation = 0;
  // Orders answered by the worker before this run's last order; a hold that was sent later reports
  // on the run.
  std::uint64_t last_answer_sequence = 0;
  bool stop_in_flight = false;
  bool stop_answered = false;
  Time stop_sent_at;
};

// The tasks of one serving image on one worker, as last reported.
struct ServingState {
  double pressure = 0;            // Highest of the tasks.
  double base_pressure = 0;       // Without what best-effort neighbours are taken to add.
  double peak_base_pressure = 0;  // Of own_pressure, fading.
  bool has_backlog = false;       // Too far above the target to compare.
  Time above_target_since;        // Start of the present time above the target.
};

// Pressure that best-effort tasks may still add to the serving tasks of one image on a worker.
struct PressureHeadroom {
  int image = 0;
  double headroom = 0;
};

// What the owner knows of one worker: what runs there, when the lease of that ends, and which of
// its ends are stored. Not thread-safe.
class WorkerState {
 public:
  // `options` outlive the worker.
  WorkerState(WorkerEntry entry, const SchedulerOptions& options)
      : entry_(std::move(entry)), options_(&options) {}

  const WorkerEntry& entry() const { return entry_; }
  void Update(WorkerEntry entry) { entry_ = std::move(entry); }

  // Forgets the positions in its list of ends and what it served: another incarnation answers.
  // Leases that it was granted by the clock of the earlier incarnation may last long.
  void Reset(std::int64_t incarnation, Time now);

  Run* FindRun(const TaskRef& task);
  Run& AddRun(Run run);
  void RemoveRun(const TaskRef& task);
  std::map<TaskRef, Run>& runs() { return runs_; }
  const std::map<TaskRef, Run>& runs() const { return runs_; }

  // Capacity that no run is counted against.
  Resources Free() const { return entry_.capacity - used_; }

  // Processors that reserved tasks are expected to leave idle, less those that best-effort tasks
  // want.
  std::int64_t IdleMilliprocessors() const {
    return entry_.capacity.milliprocessors - expected_use_;
  }
  // Counted processors of tasks that end by themselves.
  std::int64_t short_task_milliprocessors() const { return short_task_use_; }
  // Images of tasks with a latency target, besides `image_index`.
  int CountOtherServingImages(int image_index) const;

  // Runs of a step on this worker.
  int CountRunsOfStep(const JobKey& job, int occurrence, int step) const;

  // The worker's clock was `clock` at a moment not after `now`.
  void SetClock(WorkerClock clock, Time now);
  bool has_clock() const { return clock_known_; }

  // End of a lease granted at `now`. Precondition: has_clock().
  WorkerClock LeaseEnd(Time now) const;
  // A lease that ends at `end` was sent at `now`.
  void OnLeaseGranted(WorkerClock end, Time now);
  // True if nothing that was started there before can still run.
  bool AllLeasesExpired(Time now) const { return now >= lease_expiry_; }
  Time lease_expiry() const { return lease_expiry_; }

  std::int64_t incarnation = 0;
  bool listed = true;
  bool token_accepted = false;             // It has accepted this owner's token.
  bool reachable = false;                  // The last order was answered.
  bool in_stored_roster = false;           // Its name is stored in the roster.
  std::int64_t last_processed_end = 0;     // Last end that was processed.
  std::int64_t last_stored_end = 0;        // Last end whose effect is stored.
  std::uint64_t processed_ends_batch = 0;  // Batch that stores the effect of end_seen.
  std::uint64_t answer_sequence = 0;
  bool hold_in_flight = false;
  std::uint64_t hold_answer_sequence = 0;  // orders_answered when the hold in flight was sent.
  Time next_hold;
  int orders_in_flight = 0;  // Besides holds.
  std::deque<WorkerOrder> queued_orders;
  bool report_needed_now =
      false;  // A run is unsettled: a report is wanted without waiting for an end.
  Time no_starts_before;
  std::map<int, ServingState> serving_by_image;  // By image index.
  BestEffortUsage best_effort_usage;             // As last reported.
  // Kept by the placer until the worker's runs, their pace or the report change.
  std::optional<std::vector<PressureHeadroom>> pressure_headrooms;
  Time reported_at;
  std::string last_failed_job;   // Of the last failure.
  int consecutive_failures = 0;  // Of different jobs.
  WorkerSpeed speed;             // Of short tasks.

 private:
  void AdjustUsage(const Run& run, int sign);

  WorkerEntry entry_;
  const SchedulerOptions* options_;
  std::map<TaskRef, Run> runs_;
  Resources used_;
  std::int64_t expected_use_ = 0;             // Milliprocessors.
  std::int64_t short_task_use_ = 0;           // Milliprocessors.
  std::map<int, int> serving_runs_by_image_;  // By image index.
  bool clock_known_ = false;
  WorkerClock worker_clock_{};
  Time clock_read_at_;
  Time lease_expiry_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_
