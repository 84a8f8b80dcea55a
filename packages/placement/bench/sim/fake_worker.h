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

// A task on a fake worker. Progress is in seconds of work; a checkpoint is "p<milliseconds>".
struct FakeTask {
  StartTask start;
  double progress = 0;
  double initial_progress = 0;  // Progress that the start named.
  std::string checkpoint;
  std::uint32_t permille = 1000;
  WorkerTime lease_until;
};

// A worker that keeps the rules stated in worker_messages.h, under virtual time.
class FakeWorker {
 public:
  // `work` gives the work of a task in seconds, `rate` its present speed (1 by default).
  using WorkFunction = std::function<double(const TaskId&)>;
  using RateFunction = std::function<double(const FakeTask&)>;

  FakeWorker(WorkerSpec spec, WorkFunction work);

  // The clock of the worker runs at this rate.
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  void set_rate(RateFunction rate) { rate_ = std::move(rate); }
  // A worker without fencing accepts commands of any epoch.
  void set_fencing(bool is_on) { has_fencing_ = is_on; }
  // Fails tasks for which this returns true when they end.
  std::function<bool(const StartTask&)> fails = [](const StartTask&) { return false; };
  // Fills in what a real worker measures.
  std::function<void(WorkerState&)> measure = [](WorkerState&) {};

  CommandResult Execute(Time now, const WorkerCommand& command);
  WorkerState State(Time now);

  // Runs tasks up to `now`: work is done, leases expire.
  void Advance(Time now);
  // All tasks end without a record, as in a crash; epochs and results are forgotten.
  void Restart(Time now);

  const WorkerSpec& spec() const { return spec_; }
  const std::map<TaskAttempt, FakeTask>& running() const { return running_; }
  const std::map<TaskAttempt, EndedTask>& ended() const { return ended_; }
  std::uint64_t incarnation() const { return incarnation_; }
  Resources Committed() const;
  // Ends a task from within, for instance for lack of memory.
  void Kill(const TaskAttempt& task) { End(task, TaskEnd::kFailed); }

  double lost_work_seconds = 0;  // Seconds of work that was done and not kept.
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

// Progress that a checkpoint of a fake worker stands for.
double ProgressOf(const std::string& checkpoint);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_FAKE_WORKER_H_
