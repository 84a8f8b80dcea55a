// Measures the cost of one start decision and of one worker report for several cell sizes.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusshelf/placement/cell_scheduler.h"

namespace cactusshelf {
namespace {

constexpr Time kBegin{std::chrono::hours(1)};
constexpr Epoch kEpoch = 1;
constexpr int kWorkersPerRack = 8;
constexpr int kClasses = 20;
constexpr int kTasksPerJob = 10;
constexpr std::int64_t kGib = std::int64_t{1} << 30;

// A cell with running tasks whose workers answer at once. Tasks end only when they are stopped.
class LoadedCell {
 public:
  LoadedCell(int workers, int tasks) : scheduler_(CellOptions{}, Random(1)) {
    std::vector<WorkerSpec> specs;
    for (int i = 0; i < workers; ++i) {
      WorkerSpec spec;
      spec.id = WorkerId("w" + std::to_string(i));
      spec.rack = RackId("r" + std::to_string(i / kWorkersPerRack));
      spec.domain = DomainId("d" + std::to_string(i / kWorkersPerRack % 7));
      spec.capacity = {16000, 60 * kGib, 0};
      spec.services.push_back({ServiceId("service"), 1, {2000, 8 * kGib, 0}});
      specs.push_back(std::move(spec));
    }
    scheduler_.ApplyTeams(now_, {{TeamId("team"),
                                  CustomerId("customer"),
                                  0,
                                  {std::int64_t{1} << 40, std::int64_t{1} << 60, 0}}});
    scheduler_.ApplyWorkers(now_, specs);
    scheduler_.SetAuthority(now_, Time::max());
    scheduler_.TakeOwnership(now_, kEpoch, now_);
    AnswerCommands();
    for (int i = 0; i < tasks / kTasksPerJob; ++i) {
      AdmitJob(kTasksPerJob);
    }
  }

  JobId AdmitJob(std::uint32_t tasks) {
    JobSpec job;
    job.id = JobId("job" + std::to_string(next_job_));
    job.team = TeamId("team");
    job.customer = CustomerId("customer");
    job.job_class = JobClass("class" + std::to_string(next_job_ % kClasses));
    job.tasks = tasks;
    job.size = {1000, 3 * kGib, 0};
    ++next_job_;
    scheduler_.AdmitJob(now_, job);
    AnswerCommands();
    return job.id;
  }

  void Cancel(const JobId& job) {
    scheduler_.CancelJob(now_, job);
    AnswerCommands();
  }

  // Answers commands until the scheduler emits no more.
  void AnswerCommands() {
    now_ += std::chrono::milliseconds(1);
    ++worker_time_.ms;
    for (std::vector<CellEffect> effects = scheduler_.TakeEffects(); !effects.empty();
         effects = scheduler_.TakeEffects()) {
      for (const CellEffect& effect : effects) {
        std::visit([this](const auto& any) { AnswerCommand(any); }, effect);
      }
    }
  }

  // Current report of worker `i`.
  WorkerState Report(int i) {
    WorkerState state = states_.at(WorkerId("w" + std::to_string(i)));
    state.worker_time = worker_time_;
    const WorkerTime measured{worker_time_.ms - 1};
    for (RunningTask& task : state.running) {
      task.usage = {800, 2 * kGib, 0};
      task.measured_at = measured;
    }
    state.services.push_back({ServiceId("service"), std::chrono::milliseconds(40), 100, measured});
    return state;
  }

  void Apply(int i, const WorkerState& state) {
    scheduler_.OnWorkerState(now_, WorkerId("w" + std::to_string(i)), state);
  }

  // Advances the clocks without handling timers.
  void AdvanceClocks() {
    now_ += std::chrono::microseconds(100);
    worker_time_.ms += 2;
  }

  std::size_t running() const {
    std::size_t count = 0;
    for (const auto& [id, state] : states_) {
      count += state.running.size();
    }
    return count;
  }

 private:
  void Confirm(const CommandHeader& header) {
    scheduler_.OnCommandResult(now_, header.id, {CommandStatus::kDone, kEpoch, 1, worker_time_});
  }
  void AnswerCommand(const StartTask& command) {
    RunningTask task;
    task.task = command.task;
    task.job_class = command.job_class;
    task.customer = command.customer;
    task.size = command.size;
    states_[command.header.worker].running.push_back(task);
    Confirm(command.header);
  }
  void AnswerCommand(const StopTask& command) {
    std::erase_if(states_[command.header.worker].running,
                  [&](const RunningTask& task) { return task.task == command.task; });
    Confirm(command.header);
  }
  void AnswerCommand(const ReadState& command) {
    WorkerState& state = states_[command.header.worker];
    state.epoch_held = kEpoch;
    state.incarnation = 1;
    state.worker_time = worker_time_;
    scheduler_.OnWorkerState(now_, command.header.worker, state);
  }
  void AnswerCommand(const JobFinished&) {}
  void AnswerCommand(const JobRefused&) {}
  template <typename Command>
  void AnswerCommand(const Command& command) {
    Confirm(command.header);
  }

  Time now_ = kBegin;
  WorkerTime worker_time_{1000};
  CellScheduler scheduler_;
  std::unordered_map<WorkerId, WorkerState> states_;
  int next_job_ = 0;
};

// One iteration admits a job of one task, chooses a worker, starts the task and cancels the job,
// including the messages with the worker.
void StartDecision(benchmark::State& state) {
  LoadedCell cell(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  for (auto _ : state) {
    cell.Cancel(cell.AdmitJob(1));
  }
  state.counters["running"] = static_cast<double>(cell.running());
}

// One iteration handles the report of one worker.
void WorkerReport(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  LoadedCell cell(workers, static_cast<int>(state.range(1)));
  int next = 0;
  for (auto _ : state) {
    state.PauseTiming();
    cell.AdvanceClocks();
    const WorkerState report = cell.Report(next);
    state.ResumeTiming();
    cell.Apply(next, report);
    state.PauseTiming();
    cell.AnswerCommands();
    state.ResumeTiming();
    next = (next + 1) % workers;
  }
  state.counters["running"] = static_cast<double>(cell.running());
}

void CellSizes(benchmark::internal::Benchmark* benchmark) {
  // The last size has as many tasks per worker as the target size.
  benchmark->Args({65, 800})->Args({520, 6400})->Args({5200, 6400})->Args({5200, 64000});
}

BENCHMARK(StartDecision)->Apply(CellSizes)->Iterations(20000);
BENCHMARK(WorkerReport)->Apply(CellSizes)->Iterations(20000);

}  // namespace
}  // namespace cactusshelf

BENCHMARK_MAIN();
