#ifndef CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_MODEL_H_
#define CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_MODEL_H_

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cactusshelf/base/random.h"
#include "sim/fake_worker.h"
#include "sim/scenario.h"

namespace cactusshelf::sim {

inline constexpr Time kSimStart{std::chrono::hours(1)};

// Results of one run.
struct Metrics {
  double p99_ms = 0;            // Of requests to the service.
  double throughput = 0;        // Processor seconds of finished tasks per second.
  std::uint64_t evictions = 0;  // Tasks stopped by the scheduler or killed for lack of memory.
  double wasted_processor_seconds = 0;  // Progress that was lost.
  double start_p99_s = 0;               // From arrival to the first start of a task.
  double urgent_start_p99_s = 0;
  std::uint64_t overcommitted_steps =
      0;  // Steps at which a worker was committed beyond its capacity.
  std::uint64_t duplicate_task_steps = 0;  // Steps at which a task ran in two places.
};

// Simulated workers with ground truth that the schedulers do not see. Tasks slow the service on
// their worker, depending on the job class and the load. They slow each other when the processors
// are overloaded, and are killed when memory is exhausted. Measurements are noisy and late.
class CellModel {
 public:
  CellModel(const Scenario& scenario, std::uint64_t seed);

  // Advances all workers to `now`.
  void Step(Time now);

  // Executes a command on a worker. All schedulers use it, so that starts and evictions are counted
  // in the same way.
  CommandResult Execute(Time now, std::size_t worker, const WorkerCommand& command);

  FakeWorker& worker(std::size_t i) { return *workers_[i]->fake; }
  std::size_t size() const { return workers_.size(); }
  bool IsDown(std::size_t i) const { return workers_[i]->is_down; }
  void Cancel(const JobId& job) { cancelled_.insert(job); }

  Metrics Finish(Time now);

 private:
  struct Measurement {
    Time at;
    double p99_ms = 0;
    double load = 0;
    std::vector<std::pair<TaskAttempt, double>> processors;  // In order of attempts.
  };
  struct Running {
    const TaskAttempt* id;
    const FakeTask* task;
    const TaskTruth* truth;
  };
  struct ModelWorker {
    std::unique_ptr<FakeWorker> fake;
    double speed = 1;  // Of the batch tasks.
    bool is_down = false;
    std::deque<Measurement> measured;
  };

  void StepWorker(Time now, ModelWorker& worker);
  std::vector<Running> RunningOn(const ModelWorker& worker) const;
  bool KillForMemory(ModelWorker& worker, const std::vector<Running>& running);
  double Latency(Time now, const std::vector<Running>& running, double pressure) const;
  void Measure(Time now, ModelWorker& worker, const std::vector<Running>& running, double p99_ms);
  void FillReport(const ModelWorker& worker, WorkerState& state) const;
  void CheckDuplicateTasks();
  const TaskTruth& TruthOf(const TaskId& task) const { return scenario_.truth.at(task); }

  const Scenario& scenario_;
  Random random_;
  Time now_ = kSimStart;
  std::uint64_t steps_ = 0;
  std::vector<std::unique_ptr<ModelWorker>> workers_;
  std::unordered_set<JobId> cancelled_;
  std::unordered_map<TaskId, Time> first_start_;
  std::vector<float> latencies_;
  double finished_work_ = 0;
  double wasted_processor_seconds_ = 0;
  std::uint64_t evictions_ = 0;
  std::uint64_t overcommitted_steps_ = 0;
  std::uint64_t duplicate_task_steps_ = 0;
};

}  // namespace cactusshelf::sim

#endif  // CACTUSSHELF_PLACEMENT_BENCH_SIM_CELL_MODEL_H_
