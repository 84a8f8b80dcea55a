#ifndef CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_
#define CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/jobs/scheduler_options.h"
#include "cactusshelf/jobs/worker_calls.h"
#include "interference_model.h"
#include "worker_speed.h"

namespace cactusshelf::jobs {

// The longest time within which a worker's clock advances by `duration`, if it may be slower than
// the owner's by the fraction `max_clock_drift`.
Duration LongestTime(Duration duration, double max_clock_drift);

enum class RunPhase : std::uint8_t {
  kStarting,          // The start order is not answered yet.
  kStartUnconfirmed,  // The start order got no answer: the run may have begun, or may still begin.
  kRunning,
  kStopping,
};

std::string_view ToString(RunPhase phase);

// Run::confirmed_cpu_share_percent of a run that an earlier owner started.
inline constexpr int kUnknownCpuShare = -1;
inline constexpr double kFullProgressPercent = 100.0;

// One run of a task on one worker, from the decision to start it until it has certainly ended.
struct Run {
  TaskRef task;
  std::int64_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources need;                    // Counted against the worker's capacity.
  std::int64_t milliprocessors = 0;  // Requested, whether counted against the capacity or not.
  Duration estimate{};
  bool long_running = false;
  bool best_effort = false;
  std::string image;
  int image_index = 0;  // InterferenceModel::ImageIndex.
  Duration latency_target{};
  // When the run was placed; zero if an earlier owner did so.
  Time started_at;
  std::string checkpoint;
  std::int64_t load = 0;  // RunningTask::load.
  int progress_percent = 0;
  // Time of the first report with the current progress_percent; zero before any report.
  Time progress_changed_at;
  int cpu_share_percent = 100;            // As last ordered.
  int confirmed_cpu_share_percent = 100;  // As last confirmed by the worker.
  bool pace_order_in_flight = false;
  // The only incarnation of the worker that may begin the run; 0 if the answer to its start showed
  // the clock of another one.
  std::int64_t incarnation = 0;
  // Until then the run may be at work in an incarnation that its owner has not heard of.
  Time may_run_until;
  // WorkerState::answer_sequence at the last answer to an order for this run. Only the report of a
  // hold that was sent after this answer reflects the order.
  std::uint64_t last_answer_sequence = 0;
  bool stop_in_flight = false;
  bool stop_answered = false;
  Time stop_sent_at;
};

// The tasks of one serving image on one worker, as last reported.
struct ServingState {
  double pressure = 0;            // Highest pressure of the tasks.
  double base_pressure = 0;       // Without the predicted effect of best-effort neighbours.
  double peak_base_pressure = 0;  // Decaying maximum of base_pressure.
  bool has_backlog = false;  // The latency is too far above the target to show the present load.
  Time above_target_since;   // Start of the current period above the latency target.
};

// Pressure that best-effort tasks may still add to the serving tasks of one image on a worker.
struct PressureHeadroom {
  int image = 0;
  double headroom = 0;
};

// Decides from the failures on a worker whether tasks may start there. Failures of one job count
// once, since that job may fail on every worker. A worker in quarantine gets one task at a time as
// a probe, and is released once a run that started after the last failure has ended as done or has
// been at work for kProbationTime. Not thread-safe.
class WorkerQuarantine {
 public:
  // A long-running task that fails later than this after its start says nothing about its worker.
  static constexpr Duration kProbationTime = std::chrono::seconds(1);

  // Records the end of `run`. Returns true if it put the worker into quarantine or extended the
  // quarantine, whose initial duration is `quarantine`.
  bool OnRunEnded(const Run& run, RunEnd end, Duration quarantine, Time now);
  // Records that `run` is reported as at work.
  void OnRunReported(const Run& run, Time now);
  // Records that a task was placed on the worker.
  void OnPlaced(const TaskRef& task, Time now);
  // Records that a run has left the worker, whether it ended or was lost.
  void OnRunRemoved(const TaskRef& task);
  // Forgets all failures, for a new incarnation of the worker.
  void Reset() { *this = {}; }

  bool active(Time now) const { return now < until_; }
  bool CanProbe(Time now) const { return !probe_ && now >= next_probe_; }
  int consecutive_failures() const { return consecutive_failures_; }

 private:
  void OnSuccess(const Run& run);

  std::string last_failed_job_;
  int consecutive_failures_ = 0;  // Of runs of different jobs.
  Time last_failure_at_;
  Time until_;
  std::optional<TaskRef> probe_;
  Time next_probe_;
};

// Whether the owner's roster lists a worker: not, with all tasks that may run there, or as one on
// which any task may run. A higher value allows more to run.
enum class RosterEntry : std::uint8_t { kAbsent, kWithTasks, kAnyTask };

// The owner's view of one worker: its runs, the expiry of its lease, and which ends of runs are
// stored. Not thread-safe.
class WorkerState {
 public:
  // `options` must outlive the object.
  WorkerState(WorkerEntry entry, const SchedulerOptions& options)
      : entry_(std::move(entry)), options_(&options) {}

  const WorkerEntry& entry() const { return entry_; }
  void Update(WorkerEntry entry) { entry_ = std::move(entry); }

  // Resets the positions in the worker's list of ends and the observed load after another
  // incarnation of the worker has answered before `now`. No owner has granted it a lease of more
  // than `max_lease` before that.
  void Reset(std::int64_t incarnation, Duration max_lease, Time now);

  Run* FindRun(const TaskRef& task);
  Run& AddRun(Run run);
  void RemoveRun(const TaskRef& task);
  std::map<TaskRef, Run>& runs() { return runs_; }
  const std::map<TaskRef, Run>& runs() const { return runs_; }

  // Capacity that is not reserved by any run.
  Resources Free() const { return entry_.capacity - used_; }

  // Milliprocessors that tasks with reservations are expected to leave idle, less those requested
  // by best-effort tasks.
  std::int64_t IdleMilliprocessors() const {
    return entry_.capacity.milliprocessors - expected_use_;
  }
  // Reserved by tasks that are not long-running.
  const Resources& short_task_use() const { return short_task_use_; }
  // Number of images of tasks with a latency target, other than `image_index`.
  int CountOtherServingImages(int image_index) const;

  // Number of runs of a step on this worker.
  int CountRunsOfStep(const JobKey& job, int occurrence, int step) const;

  // Records that the worker's clock showed `clock` at some time not after `now`.
  void SetClock(WorkerClock clock, Time now);
  bool has_clock() const { return clock_known_ && !restart_suspected_; }

  // True if the present incarnation may have given an answer with the time `clock` to an order that
  // was sent at `sent_at`. A new incarnation has a new clock, which is far behind.
  bool IsClockPlausible(WorkerClock clock, Time sent_at) const;

  // An answer came from another incarnation than the present one. Until a report tells which, the
  // worker has no clock and has not accepted the token.
  void SuspectRestart();

  // End, on the worker's clock, of a lease that is granted at `now`. It is at most `lease` after
  // the time that the clock then shows, however slow the clock is. Precondition: has_clock().
  WorkerClock LeaseEnd(Duration lease, Time now) const;
  // Records that a lease until `end` was sent at `now`.
  void OnLeaseGranted(WorkerClock end, Time now);
  // When a lease was last sent; zero before that.
  Time lease_sent_at() const { return lease_sent_at_; }
  // Records that another incarnation than the present one seems to have begun `run` before `now`,
  // and assumes that it took the lease for the longest one.
  void OnStartedByOtherIncarnation(Run& run, Time now) const;
  // True once every granted lease has expired, so that no earlier run can still be running.
  bool AllLeasesExpired(Time now) const { return now >= lease_expiry_; }
  Time lease_expiry() const { return lease_expiry_; }
  // Records that no owner has granted a lease that ends after `end`.
  void LimitLeaseExpiry(Time end) { lease_expiry_ = std::min(lease_expiry_, end); }
  // After this time nothing runs there unless another lease is granted.
  Time LastRunEnd() const;

  // Number up to which a hold acknowledges ends, or 0 for none. Another incarnation that gets the
  // hold would take the number for that of an end of its own. Therefore ends are acknowledged only
  // once, and only while all orders are answered.
  std::int64_t AcknowledgeableEnd() const;

  std::int64_t incarnation = 0;
  // Every order that ended after the last answered hold was sent has got an answer, so that the
  // worker's incarnation has hardly changed since.
  bool incarnation_confirmed = false;
  bool order_failed_since_hold = false;  // An order got no answer after the last hold was sent.
  bool listed = true;
  bool token_accepted = false;  // The worker has accepted this owner's fencing token.
  // When the last hold was sent whose answer shows that the worker had accepted no later token.
  Time token_confirmed_at;
  Time incarnation_seen_at;       // When the present incarnation first reported.
  bool has_earlier_runs = false;  // Runs of earlier incarnations are not given up yet.
  // A lease may be granted to the present incarnation.
  bool incarnation_known = false;
  bool reachable = false;         // The last hold was answered.
  bool last_hold_failed = false;  // The last hold was not answered.
  bool lease_renewed = false;     // It has answered a hold with a lease of this owner.
  Time unreachable_since;         // Valid while the worker is not reachable.
  RosterEntry roster_entry = RosterEntry::kAbsent;  // In the last roster handed over to be stored.
  std::vector<TaskRef> roster_tasks;       // In the same roster, if roster_entry is kWithTasks.
  bool lost_in_roster = false;             // It was unreachable for long when that was made.
  bool in_stored_roster = false;           // The stored roster lists the worker for any task.
  std::int64_t last_processed_end = 0;     // Number of the last end that was processed.
  std::int64_t last_stored_end = 0;        // Number of the last end whose effect is stored.
  std::int64_t acknowledged_end = 0;       // Number up to which the worker has discarded ends.
  std::uint64_t processed_ends_batch = 0;  // Batch that stores the effect of last_processed_end.
  std::uint64_t answer_sequence = 0;  // Number of answered orders, for ordering them with holds.
  bool hold_in_flight = false;
  std::uint64_t hold_answer_sequence = 0;  // answer_sequence when the hold in flight was sent.
  Time next_hold;
  int orders_in_flight = 0;  // Other than holds.
  std::deque<WorkerOrder> queued_orders;
  // The state of a run is unclear: the next hold is sent at once and does not wait for an end.
  bool report_needed_now = false;
  Time starts_paused_until;     // The worker has refused a start.
  bool has_freed_room = false;  // A run has left since the last placement pass.
  WorkerQuarantine quarantine;
  std::map<int, ServingState> serving_by_image;  // By image index.
  BestEffortUsage best_effort_usage;             // As last reported.
  // Cached by the placer until the worker's runs, their CPU share or the report change.
  std::optional<std::vector<PressureHeadroom>> pressure_headrooms;
  Time reported_at;
  WorkerSpeed speed;  // Observed on short tasks.

 private:
  void AdjustUsage(const Run& run, int sign);

  WorkerEntry entry_;
  const SchedulerOptions* options_;
  std::map<TaskRef, Run> runs_;
  Resources used_;
  std::int64_t expected_use_ = 0;  // Milliprocessors.
  Resources short_task_use_;
  std::map<int, int> serving_runs_by_image_;  // By image index.
  bool clock_known_ = false;
  bool restart_suspected_ = false;
  WorkerClock worker_clock_{};
  Time clock_read_at_;
  Time lease_expiry_;
  Time lease_sent_at_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_WORKER_STATE_H_
