#ifndef CACTUSSHELF_PLACEMENT_BENCH_SIM_FAKE_WORKER_H_
#define CACTUSSHELF_PLACEMENT_BENCH_SIM_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/specs.h"
#include "cactusshelf/placement/worker_messages.h"

namespace cactusshelf {

// A task on a fake worker. Progress is in seconds; a checkpoint is "p<progress in ms>".
struct FakeTask {
  StartTask start;
  double progress = 0;
  double initial_progress = 0;  // From the checkpoint in the start.
  std::string checkpoint;
  std::uint32_t permille = 1000;
  WorkerTime lease_until;
};

// A worker that follows the rules in worker_messages.h, in virtual time.
class FakeWorker {
 public:
  // Run time of a task in seconds, and its current speed (1 by default).
  using WorkFunction = std::function<double(const TaskId&)>;
  using RateFunction = std::function<double(const FakeTask&)>;

  FakeWorker(WorkerSpec spec, WorkFunction work);

  // Sets the rate of the worker's clock.
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  void set_rate(RateFunction rate) { rate_ = std::move(rate); }
  // A worker without fencing accepts commands of any epoch.
  void set_fencing(bool is_on) { has_fencing_ = is_on; }
  // Fails tasks for which this returns true when they end.
  std::function<bool(const StartTask&)> fails = [](const StartTask&) { return false; };
  // Adds measurements to a report.
  std::function<void(WorkerState&)> measure = [](WorkerState&) {};

  CommandResult Execute(Time now, const WorkerCommand& command);
  WorkerState State(Time now);

  // Advances the tasks to `now`: they make progress and end, or their leases expire.
  void Advance(Time now);
  // Simulates a crash: all tasks, records of ended tasks, results and the epoch are lost.
  void Restart(Time now);

  const WorkerSpec& spec() const { return spec_; }
  const std::map<TaskAttempt, FakeTask>& running() const { return running_; }
  const std::map<TaskAttempt, EndedTask>& ended() const { return ended_; }
  std::uint64_t incarnation() const { return incarnation_; }
  Resources Committed() const;
  // Ends a task as failed without a command, for example for lack of memory.
  void Kill(const TaskAttempt& task) { End(task, TaskEnd::kFailed); }

  double lost_work_seconds = 0;  // Progress that was lost.
  std::uint64_t refused_attempts = 0;

 private:
  CommandStatus ExecuteOnce(Time now, const WorkerCommand& command);
  CommandStatus Start(const StartTask& command);
  void End(const TaskAttempt& task, TaskEnd end);
  WorkerTime Clock(Time now) const;

  WorkerSpec spec_;
  WorkFunction work_;
  RateFunction rate_ = [](const FakeTask&) { return 1.0; };
  bool has_fencing_ = true;
  double clock_rate_ = 1;
  Time booted_;
  Time advanced_until_;
  std::uint64_t incarnation_ = 1;
  Epoch epoch_ = 0;
  std::map<TaskAttempt, FakeTask> running_;
  std::map<TaskAttempt, EndedTask> ended_;
  std::set<TaskAttempt> used_attempts_;
  std::unordered_map<CommandId, CommandStatus> results_;
};

// Progress in seconds that a checkpoint of a fake worker contains.
double ProgressOf(const std::string& checkpoint);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_FAKE_WORKER_H_
