#ifndef CACTUSSHELF_STANDINS_WORKER_MODEL_H_
#define CACTUSSHELF_STANDINS_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/time.h"
#include "worker_commands.h"

namespace cactusshelf {

enum class TaskEventKind { kStarted, kStopped, kFinished, kFailed, kLeaseExpired };

struct TaskEvent {
  Time time;
  TaskEventKind kind = TaskEventKind::kStarted;
  TaskAttempt attempt;
  std::uint64_t epoch = 0;
};

struct RunningTask {
  TaskAttempt attempt;
  Resources resources;
  Time lease_end;
  std::int64_t share_millis = 1000;
  // Work done up to `progress_time`, at full speed.
  Duration progress = Duration::zero();
  Time progress_time;
  std::optional<Duration> run_time;
};

// Use of one task, sampled at `time`.
struct UsageSample {
  Time time;
  TaskAttempt attempt;
  Resources used;
};

struct WorkerCounts {
  // Starts that would have committed the worker beyond its capacity.
  std::uint64_t overcommit_attempts = 0;
  std::uint64_t stale_epochs = 0;
  std::uint64_t repeated_commands = 0;
  std::uint64_t repeated_attempts = 0;
};

// Tasks, leases, epoch and command results of one worker. Time is passed in.
class WorkerModel {
 public:
  explicit WorkerModel(Resources capacity) : capacity_(capacity) {}

  // Carries out the command, or returns the first result if the command id is known.
  CommandResult Execute(const WorkerCommand& command, Time now);

  // Ends tasks whose lease expired or whose work is done.
  void Advance(Time now);

  // Records the use of each running task, as the share `usage_factor` of its declared size.
  void SampleUsage(Time now);

  // Samples taken up to `now - lag`, the latest of each task.
  std::vector<UsageSample> Usage(Duration lag, Time now) const;

  // Every task fails as soon as it is started.
  bool fail_everything = false;
  double usage_factor = 0.6;

  std::uint64_t epoch() const { return epoch_; }
  const Resources& capacity() const { return capacity_; }
  Resources Committed() const;
  const std::map<TaskId, RunningTask>& tasks() const { return tasks_; }
  const std::vector<TaskEvent>& history() const { return history_; }
  const WorkerCounts& counts() const { return counts_; }

 private:
  CommandResult ExecuteNew(const WorkerCommand& command, Time now);
  RefusalReason Run(const InstallEpoch& install, std::uint64_t epoch, Time now, CommandResult&);
  RefusalReason Run(const StartTask& start, std::uint64_t epoch, Time now, CommandResult&);
  RefusalReason Run(const StopTask& stop, std::uint64_t epoch, Time now, CommandResult&);
  RefusalReason Run(const CheckpointTask& checkpoint, std::uint64_t epoch, Time now,
                    CommandResult& result);
  RefusalReason Run(const ThrottleTask& throttle, std::uint64_t epoch, Time now, CommandResult&);
  RefusalReason Run(const RenewLeases& renewal, std::uint64_t epoch, Time now, CommandResult&);

  RunningTask* Find(const TaskAttempt& attempt);
  bool Fits(const Resources& resources) const;
  void End(const TaskId& task, TaskEventKind kind, Time now);

  Resources capacity_;
  std::uint64_t epoch_ = 0;
  std::map<TaskId, RunningTask> tasks_;
  // Highest attempt of each task that was started here.
  std::map<TaskId, std::uint64_t> last_attempts_;
  std::map<CommandId, CommandResult> results_;
  std::vector<TaskEvent> history_;
  std::deque<UsageSample> samples_;
  WorkerCounts counts_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_WORKER_MODEL_H_
