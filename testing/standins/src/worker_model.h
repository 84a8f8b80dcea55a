#ifndef CACTUSSHELF_STANDINS_WORKER_MODEL_H_
#define CACTUSSHELF_STANDINS_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/worker_messages.h"

namespace cactusshelf {

struct TaskEvent {
  enum class Kind { kStarted, kFinished, kFailed, kStopped, kLeaseExpired };

  WorkerTime time;
  Kind kind = Kind::kStarted;
  TaskAttempt task;
  CustomerId customer;
  // Epoch held by the worker.
  Epoch epoch = 0;
};

struct WorkerCounts {
  // Starts that would have committed the worker beyond its capacity.
  std::uint64_t overcommit_attempts = 0;
  // Starts of a task of which another attempt was running here.
  std::uint64_t double_starts = 0;
  std::uint64_t wrong_epochs = 0;
  std::uint64_t repeated_commands = 0;
  std::uint64_t used_attempts = 0;
};

// Tasks, leases, epoch and command results of one worker, by the rules in worker_messages.h.
// Time is passed in.
class WorkerModel {
 public:
  WorkerModel(Resources capacity, std::uint64_t incarnation)
      : capacity_(capacity), incarnation_(incarnation) {}

  // Carries out the command, or returns the first result if the command id is known.
  CommandResult Execute(const WorkerCommand& command, WorkerTime now);

  // Ends tasks whose lease expired or whose work is done.
  void Advance(WorkerTime now);

  // Measures the usage of all tasks, to be reported `usage_lag` later.
  void Measure(WorkerTime now);

  WorkerState State(WorkerTime now);

  // Every task fails as soon as it is started.
  bool fail_everything = false;
  // Usage as a share of the declared size.
  double usage_factor = 0.6;
  Duration usage_lag = std::chrono::seconds(10);
  // Run time of tasks at full rate by job class; tasks of other classes run until stopped.
  std::map<std::string, Duration> run_times;
  // Reported with the state, measured at the time of the last change.
  std::vector<ServiceMeasurement> services;

  const Resources& capacity() const { return capacity_; }
  Resources Committed() const;
  const std::vector<TaskEvent>& history() const { return history_; }
  const WorkerCounts& counts() const { return counts_; }

 private:
  struct Measurement {
    WorkerTime time;
    Resources usage;
  };
  struct Task {
    RunningTask report;
    WorkerTime lease_until;
    std::uint32_t permille = 1000;
    // Work done up to `progress_time`, in milliseconds at full rate.
    std::int64_t progress_ms = 0;
    WorkerTime progress_time;
    std::deque<Measurement> measurements;
  };

  CommandStatus CheckHeader(const WorkerCommand& command);
  CommandStatus Run(const InstallEpoch& command, WorkerTime now);
  CommandStatus Run(const StartTask& command, WorkerTime now);
  CommandStatus Run(const StopTask& command, WorkerTime now);
  CommandStatus Run(const CheckpointTask& command, WorkerTime now);
  CommandStatus Run(const ThrottleTask& command, WorkerTime now);
  CommandStatus Run(const RenewLeases& command, WorkerTime now);
  CommandStatus Run(const ReadState& command, WorkerTime now);

  Task* Find(const TaskAttempt& task);
  bool IsDone(const Task& task) const;
  void End(const std::string& task, TaskEnd end, WorkerTime now);

  Resources capacity_;
  std::uint64_t incarnation_;
  Epoch epoch_ = 0;
  // By task id.
  std::map<std::string, Task> tasks_;
  std::vector<EndedTask> ended_;
  // Attempts that were started or stopped.
  std::set<std::string> used_attempts_;
  // By command id.
  std::map<std::string, CommandResult> results_;
  std::vector<TaskEvent> history_;
  WorkerCounts counts_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_WORKER_MODEL_H_
